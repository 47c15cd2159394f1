"""The common base of the errors that this program raises."""

from __future__ import annotations


class StonecoveError(Exception):
    """Base of all errors of this program. Each package derives its own, with fields where they carry facts."""
