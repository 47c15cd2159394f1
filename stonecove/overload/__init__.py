"""Overload of a fleet: what requests lead to over all routers together, without I/O.

`book` counts, for what clients meant, the tries, attempts, second copies, fills, fetches from the origin,
connections and probes that came of it, by cause and by second, and tells whether service came back.
"""
