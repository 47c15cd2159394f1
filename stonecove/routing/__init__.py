"""Routing decisions without I/O.

Which cache gets a request, where a miss is filled, and what is retried or rejected.

`director.Director` takes the events of `events` and returns the actions of `actions`. The other modules hold
one part of the decision each.
"""
