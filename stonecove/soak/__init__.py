"""Seeded soaks: real routers under signals, rude clients and failing servers, judged from outside."""
