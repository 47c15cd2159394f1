"""The explorer: plays every order of events, within stated bounds, on the router's own code.

`scope` states the bounds, `simulation` holds the router and everything around it, `peers` plays its sockets,
clients and servers, `properties` states what must hold. `fingerprint` and `visited` tell states apart,
`copying` goes back to one, `search` and `walk` choose the order of the steps. `trace` and `chart` report what
was found, `seeds` plants faults in the code on purpose, `codecs` and `channels` are two smaller machines, and
`reach` reports which lines were executed.
"""
