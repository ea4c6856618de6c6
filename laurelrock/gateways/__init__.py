"""Gateway: the role of a VM that serves callers by itself.

Owns the way of a request from its caller to searchers and back in one
process, on a platform that holds the configuration and lists the searchers.
"""
