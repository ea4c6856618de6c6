"""Tests, one file a topic."""
