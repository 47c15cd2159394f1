"""The testbed: many routers together, as real processes or as simulated decisions, with faults injected."""
