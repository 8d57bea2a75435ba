"""What outlasts a process: a node's own folder, with what its vote may never forget and what it would like to
remember.
"""
