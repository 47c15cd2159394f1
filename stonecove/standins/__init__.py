"""Stand-ins for the outside systems, written from their published protocols. Loopback only."""
