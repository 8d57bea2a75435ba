"""The pure decisions of a node: events in, actions out. No socket, no clock, no other package of sailrun."""
