"""State-space explorer: runs every order of events, within given bounds, on the router's own code.

`scope` defines the bounds, `simulation` holds the router and its environment, `peers` simulates its sockets,
clients and servers, and `properties` defines the invariants. `fingerprint` and `visited` identify states,
`copying` restores them, `search` and `walk` choose the order of the steps. `trace` and `chart` report
counterexamples, `seeds` plants faults in the code, `codecs` and `channels` are two smaller machines, and
`reach` reports which lines were executed.
"""
