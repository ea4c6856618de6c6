"""Failure domains and regions: evacuations, cold searchers and homes."""
