"""The thin front: the platform's text lines, for clients, form servers and the other nodes."""
