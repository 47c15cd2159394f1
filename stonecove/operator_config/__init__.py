"""Reader of the operator file: CUE-like typed records, validated against the schema in this package.

The platform does not use an operator file; this package is not loaded there.

`grammar` parses the text into a syntax tree, `values` defines values and their unification, `evaluate`
evaluates syntax trees to values, `records` holds the typed result, and `reader` is the entry point.
"""
