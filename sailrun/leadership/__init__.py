"""Named tasks with one owner each, by leases of a majority of voters. Pure: messages and time in, messages
out.
"""
