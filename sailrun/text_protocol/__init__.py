"""The front for the platform's text protocol, towards clients, form servers and the other nodes."""
