"""FastCGI towards web servers, without I/O."""
