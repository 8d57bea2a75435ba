"""Hot restart: a predecessor process hands its listeners, state and sessions over to its successor."""
