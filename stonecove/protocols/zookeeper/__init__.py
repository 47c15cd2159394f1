"""ZooKeeper client protocol, sessions, watches and registration, without I/O."""
