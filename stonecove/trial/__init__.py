"""The proving ground: many routers together, as real processes or decisions alone, and faults in between."""
