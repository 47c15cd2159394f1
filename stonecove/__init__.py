"""stonecove: decisions for a front of directors before caches of large objects behind thin links."""

__version__ = "0.1.0"
