"""The operator's own file: CUE-like typed records, checked against the schema that ships here. Off on the
platform.

`grammar` parses, `values` unifies, `evaluate` joins both, `records` are what the program gets, `reader` is
the way in.
"""
