"""Supervision of several router instances on one host. Not used on the platform.

Decisions without I/O: `restart`, `rolling`, `placement`. Persistent state: `journal`, `runfile`. I/O:
`supervisor`, `control`, `lender`, `logs`, `probe`, `launch`. Tools: `traces`, `rollout_controller`.
"""
