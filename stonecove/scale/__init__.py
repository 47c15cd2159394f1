"""Scale runs: hollow and real routers, stand-in control machines, and lines fitted to their costs."""
