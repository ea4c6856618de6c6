"""Example deployments and the generator of their files."""
