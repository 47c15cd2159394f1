"""Services used by every layer: the clock, timers and the log. Nothing here blocks."""
