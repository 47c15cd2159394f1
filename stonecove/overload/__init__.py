"""Overload of a fleet: the work that requests cause, summed over all routers. No I/O.

`amplification` counts, per second and kind, the tries, attempts, repeats, fills, fetches from the origin,
connections and probes that the requests of clients cause, and determines whether service has recovered.
"""
