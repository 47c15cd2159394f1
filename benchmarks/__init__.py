"""Measurements, each a program of its own; the last line is `key=value ...`, `--short` ends soon."""
