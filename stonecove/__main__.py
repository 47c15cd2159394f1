"""Starts one edge router: `python -m stonecove`. With arguments, the command line."""

import sys

if __name__ == "__main__":
    if sys.argv[1:2] in ([], ["run"]):
        import signal

        # Guards against an end by one that comes while we import: they wait until the router heeds them.
        signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
    if len(sys.argv) > 1:
        from stonecove.commands.main import main as commands

        commands()
    else:
        from stonecove.server.serve import main

        sys.exit(main())
