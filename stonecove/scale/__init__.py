"""Scale runs: hollow routers beside real ones, stand-in control machines, and lines fitted to their costs."""
