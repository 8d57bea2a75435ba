"""Many processes under faults: a nemesis by seed, real processes or virtual time, and a checker of
histories.
"""
