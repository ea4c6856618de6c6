"""Adapter to the users' platform.

Only this package knows the names of the platform's settings, objects and
headers. It takes no decision: it turns them into the types of
`laurelrock.core` and `laurelrock.ports` and back.
"""
