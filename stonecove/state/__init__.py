"""What the edge router keeps in memory: open requests and the table of nodes."""
