"""Stand-ins for the platform, searchers and callers."""
