"""The second address: staff's calls and the node's figures. Knows the core, and neither front."""
