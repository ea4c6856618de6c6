"""Benchmarks, fault scenarios and soak tests; they print JSON lines."""
