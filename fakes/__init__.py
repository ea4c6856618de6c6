"""Fakes of the platform, searchers and callers, for tests and benchmarks."""
