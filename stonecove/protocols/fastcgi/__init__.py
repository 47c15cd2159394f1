"""FastCGI for connections from web servers, without I/O."""
