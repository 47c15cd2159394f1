"""The common base of the errors that this program raises."""

from __future__ import annotations


class StonecoveError(Exception):
    """Base of all errors of this program. Packages derive their own, with fields for the facts."""
