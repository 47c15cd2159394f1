"""Rolling a change of the settings out to a fleet of routers: messages and decisions, without I/O."""
