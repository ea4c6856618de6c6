"""Adapter to the users' platform.

Only this package knows the names of the platform's settings, objects and
headers. It makes no decisions; it only converts them to the types of
`laurelrock.core` and `laurelrock.ports` and back.
"""
