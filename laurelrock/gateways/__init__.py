"""The gateway role: a VM that serves callers by itself.

One process takes a request from its caller to the searchers and back. The
platform holds the configuration and lists the searchers.
"""
