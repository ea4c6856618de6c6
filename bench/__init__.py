"""Experiments that print JSON lines."""
