"""Starts one edge router: `python -m stonecove`. With arguments, the command line."""

import sys

if __name__ == "__main__":
    if len(sys.argv) > 1:
        from stonecove.commands.main import main as commands
        commands()
    else:
        from stonecove.lifecycle.serve import main
        sys.exit(main())
