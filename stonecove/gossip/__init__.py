"""SWIM membership among the edge routers, without a third system and without I/O.

The package decides which routers are alive, silent, reachable only through others or ended, and from
that the share of the limits of warming nodes that this router may use. `claims` holds what routers state
about each other, `table` what this router believes of each, `gossip` the state that the failure detector and
joining share, `swarm` the protocol itself. `broadcasts` disseminates claims, `probing` chooses probe targets,
`health` is Lifeguard's local health, `view` numbers the agreed member sets, `shares` computes the share and
proves that all shares add up to at most 1, and `status` answers operators. Times are seconds of the host's
monotonic clock unless stated otherwise.
"""
