"""The control address: operators' calls and the node's metrics. Depends on the core, but on no front."""
