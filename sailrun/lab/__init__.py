"""The laboratory: stand-ins for form servers, clients, the registry and the network, written from the public
documentation, in which real nodes run under observation (docs/lab.md). A serving node never imports it.
"""
