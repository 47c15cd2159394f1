"""The ground floor that everybody stands on: the clock, the timers and the log. Nothing here waits."""
