"""Decisions: no sockets, no clock, no randomness but what is passed in."""
