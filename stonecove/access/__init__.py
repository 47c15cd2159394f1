"""Signed URLs and tokens: who may ask for what. Decisions and codecs; nothing here does I/O.

`gate` decides; `formats` reads tokens, `keys` holds keys, `routes` finds the policy of a path, `canon` has
the one form of a path, `seen`, `revoked`, `rates`, `verdicts` and `started` remember what the decisions need.
"""
