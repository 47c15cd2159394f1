"""Signed URLs and tokens: decides which requests are admitted. Decisions and codecs, without I/O.

`gate` decides; `formats` parses and signs tokens, `keys` has key rings, `routes` finds the policy of a path
and `canon` checks that a path is canonical. `seen`, `revoked`, `rates`, `verdicts` and `started` hold the
state that decisions depend on.
"""
