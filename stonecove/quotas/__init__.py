"""Budgets that many routers share: leases, token buckets and quotas, without I/O.

`lending` holds all of the lessor's state and `quota` a router's side of admission; both are built on `leases`
and `buckets`. The sockets are in `fleet/lender.py` and `server/leases.py`.
"""
