"""Service discovery from Envoy's xDS: the endpoints of a cluster are the form servers."""
