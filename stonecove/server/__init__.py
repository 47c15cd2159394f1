"""Start and stop of a router: configuration, clock, timers, readiness, signals and the drain."""
