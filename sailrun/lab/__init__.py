"""The laboratory: a world of form servers, clients, a registry and datagrams, written from the public pages,
in which real nodes are tried and watched (docs/lab.md). Never loaded by a node that serves.
"""
