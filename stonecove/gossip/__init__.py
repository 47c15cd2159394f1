"""Membership among the edge routers themselves, without a third system and without I/O.

Who is there, who is silent, whom others reach and we don't, who is gone for good; and from that the
part of what cold nodes bear that this router may use. `claims` are what routers tell of each other,
`table` is what is believed of each, `swarm` probes and joins all parts, `broadcasts` spreads, `view`
numbers what all agree on, `shares` proves the sum. Times are seconds of the host's steady clock unless
said otherwise.
"""
