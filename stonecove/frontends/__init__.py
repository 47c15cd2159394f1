"""Frontends: translate client protocols into requests of the pipeline and answers back."""
