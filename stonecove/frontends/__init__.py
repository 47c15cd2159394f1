"""Frontends: translate client protocols into requests of the pipeline, and its answers into responses."""
