"""The thin front: the platform's text lines, for households, form servers and the other nodes."""
