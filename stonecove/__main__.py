"""Starts one edge router: `python -m stonecove`."""

import sys

from stonecove.lifecycle.serve import main

if __name__ == "__main__":
    sys.exit(main())
