"""Saves, which run at most once: runs, claims and ledgers."""
