"""The router's state in memory: open requests, the memory budget and the table of nodes."""
