"""Wire port: the platform's headers, as functions on typed values."""

import typing

from laurelrock.adapters import http_wire

__all__ = ["Facts", "Ticket", "Wire"]


class Ticket(typing.NamedTuple):
    """What a caller says of its request.

    Attributes:
        request_id: Of this attempt of the caller; empty where none was sent.
        patience_s: How long the caller waits; None where it doesn't say.
    """

    request_id: bytes
    patience_s: float | None


class Facts(typing.NamedTuple):
    """What a searcher says with its answer.

    Attributes:
        request_id: Of the request that it answers; None where not said.
        proof: That it ran the request; None where there is none.
        not_run: Whether it declares that it did not run the request.
        misplaced: Whether it is another searcher than the one asked.
        encoded: Whether the body is not the searcher's own bytes.
        load: Calls that run and that wait, where it tells.
    """

    request_id: bytes | None
    proof: bytes | None
    not_run: bool
    misplaced: bool
    encoded: bool
    load: tuple[int, int] | None


class Wire(typing.Protocol):
    """Reads and writes the platform's headers."""

    def read_ticket(self, headers: http_wire.Headers) -> Ticket:
        """Reads a caller's headers."""

    def encode_head(self, headers: http_wire.Headers, ticket: Ticket) -> bytes:
        """Returns the header lines that all calls of a request share."""

    def encode_target(self, searcher: str, left_s: float) -> bytes:
        """Returns the header lines of one call.

        Args:
            searcher: The only one that may run the call.
            left_s: Time that the call may take.
        """

    def read_facts(self, status: int, headers: http_wire.Headers) -> Facts:
        """Reads a searcher's headers."""

    def passed_on(self, headers: http_wire.Headers) -> http_wire.Headers:
        """Returns the headers of an answer that a caller gets."""

    def gathered(
        self, ticket: Ticket, proofs: list[bytes], missing: int
    ) -> http_wire.Headers:
        """Returns the headers of a query's answer."""

    def refused(self, ticket: Ticket) -> http_wire.Headers:
        """Returns the headers of an answer of one's own."""
