"""Scale runs: hollow routers beside real ones, stand-in control machines, and slopes fitted to what they cost."""
