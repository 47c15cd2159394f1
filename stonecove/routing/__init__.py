"""Routing decisions without I/O.

They select the cache for a request and the source that fills a miss, and decide what is retried or rejected.

`director.Director` takes the events of `events` and returns the actions of `actions`. Each other module holds
one aspect of the decision.
"""
