"""An edge router: decides on requests to caches of large objects behind links of limited capacity."""

__version__ = "0.1.0"
