"""The command line. Each command imports what it uses when it is called, so that `run` costs nothing more."""
