"""What every layer uses: the clock, the timers and the log. Nothing here waits."""
