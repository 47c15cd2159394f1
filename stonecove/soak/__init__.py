"""Seeded soak tests of real routers, judged by the observations of misbehaving clients and servers."""
