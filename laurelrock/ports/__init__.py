"""Interfaces through which the core reaches networks, platform and peers."""
