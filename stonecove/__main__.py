"""Run one edge router with `python -m stonecove`; with arguments, run the command line."""

import sys

if __name__ == "__main__":
    if sys.argv[1:2] in ([], ["run"]):
        import signal

        # A signal during the imports must not end the process: it waits until the router handles it.
        signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
    if len(sys.argv) > 1:
        from stonecove.commands.main import main as commands

        commands()
    else:
        from stonecove.server.serve import main

        sys.exit(main())
