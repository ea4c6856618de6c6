"""Limits on the requests to searchers that are warming up."""

import typing

__all__ = ["WarmUpPolicy"]


class WarmUpPolicy(typing.NamedTuple):
    """How far the requests to a cold searcher may exceed what it takes.

    Attributes:
        overage: Factor on the requests per second that the searcher takes.
        slack: Number of requests that may reach it in a second in addition.
    """

    overage: float = 1.5
    slack: float = 5.0
