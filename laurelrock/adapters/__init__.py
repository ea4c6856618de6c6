"""Implementations of the ports on real sockets, files and clocks."""
