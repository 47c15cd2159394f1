"""Connections over sockets, on trio."""
