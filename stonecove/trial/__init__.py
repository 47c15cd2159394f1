"""The testbed: runs many routers, as real processes or simulated, and injects faults."""
