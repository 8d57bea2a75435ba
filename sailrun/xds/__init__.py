"""Envoy's clusters and endpoints as a registry of form servers."""
