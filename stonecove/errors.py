"""The common base class of the program's errors."""

from __future__ import annotations


class StonecoveError(Exception):
    """Base class of the program's errors. Packages derive their own, with attributes for details."""
