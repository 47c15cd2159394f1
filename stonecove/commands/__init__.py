"""Command line interface.

Each command imports its dependencies when it is invoked, so that `run` does not pay for them.
"""
