"""ZooKeeper's protocol, sessions and recipes, without I/O."""
