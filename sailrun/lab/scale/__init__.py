"""The scale run: a few real processes and many hollow nodes, with the resource use of each role.

A hollow node is the agent of a real node with its own sockets, without clients, form servers or a core.
"""
