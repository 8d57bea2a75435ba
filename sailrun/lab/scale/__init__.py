"""The scale run: a few real processes and many hollow nodes, with what each role costs.

A hollow node is the agent of a real node with its own sockets, without clients, form servers or a core.
"""
