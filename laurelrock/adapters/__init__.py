"""The ports on real sockets, files and clocks."""
