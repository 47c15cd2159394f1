"""What many routers share of one budget: leases, token buckets, quotas. Decisions only; no I/O here.

`lending` is the lessor's whole side and `quota` a router's side of admission; `leases` and `buckets` are the
parts that they are made of. The sockets are in `fleet/lender.py` and `server/leases.py`.
"""
