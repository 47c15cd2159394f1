"""Start and stop: configuration, clock, timers, readiness, signals and the drain."""
