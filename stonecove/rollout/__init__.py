"""Roll-out of settings changes to a fleet of routers: records and decisions, without I/O."""
