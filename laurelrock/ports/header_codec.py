"""Interface that converts between the platform's headers and typed values."""

import typing

from laurelrock.adapters import http_wire

__all__ = ["CallerHeaders", "HeaderCodec", "SearcherHeaders"]


class CallerHeaders(typing.NamedTuple):
    """Values of the headers of a caller's request.

    Attributes:
        request_id: Id of this attempt of the caller; empty if none was sent.
        time_left_s: Time that the caller waits for the response, in seconds;
            None if it sent no valid deadline.
        key: Key of the caller's workspace; None if none, or several different
            ones, were sent.
    """

    request_id: bytes
    time_left_s: float | None
    key: bytes | None = None


class SearcherHeaders(typing.NamedTuple):
    """Values of the headers of a searcher's response.

    Attributes:
        request_id: Id of the request that the response belongs to; None if
            the header is absent.
        stamp: Stamp which proves that the searcher ran the request; None if the
            header is absent.
        not_run: Whether the searcher declares that it did not run the request.
        misplaced: Whether the request reached another searcher than the one
            that it was meant for.
        content_encoded: Whether the body has a content encoding, and so isn't
            the searcher's plain bytes.
        load: Numbers of running and of waiting calls; None if not reported.
        leaving: Whether the searcher declares that it is about to leave.
        pause_s: Time in seconds for which the searcher, which refused the
            request, wants none; None if it didn't say.
        limit_per_s: Requests per second that the searcher takes from all VMs
            together; None if it names no limit.
        warm_up_left_s: Time in seconds for which the searcher is still cold;
            None if it didn't say.
    """

    request_id: bytes | None
    stamp: bytes | None
    not_run: bool
    misplaced: bool
    content_encoded: bool
    load: tuple[int, int] | None
    leaving: bool = False
    pause_s: float | None = None
    limit_per_s: float | None = None
    warm_up_left_s: float | None = None


class HeaderCodec(typing.Protocol):
    """Functions that read and write the platform's headers."""

    def read_caller_headers(self, headers: http_wire.Headers) -> CallerHeaders:
        """Reads the headers of a caller's request."""

    def replace_key(
        self, headers: http_wire.Headers, workspace: str
    ) -> http_wire.Headers:
        """Returns a request's headers with the workspace instead of its key.

        Args:
            headers: Headers as the caller sent them.
            workspace: Name of the workspace; empty if there is none.
        """

    def encode_common_headers(
        self, headers: http_wire.Headers, caller_headers: CallerHeaders
    ) -> bytes:
        """Returns the header lines common to all calls of a request."""

    def encode_call_headers(self, searcher: str, left_s: float) -> bytes:
        """Returns the header lines specific to one call.

        Args:
            searcher: Id of the only searcher that may run the call.
            left_s: Time that the call may take, in seconds.
        """

    def read_searcher_headers(
        self, status: int, headers: http_wire.Headers
    ) -> SearcherHeaders:
        """Reads the status and headers of a searcher's response."""

    def forwarded_headers(
        self, headers: http_wire.Headers
    ) -> http_wire.Headers:
        """Returns those of a searcher's headers that the caller receives."""

    def query_response_headers(
        self, caller_headers: CallerHeaders, stamps: list[bytes], missing: int
    ) -> http_wire.Headers:
        """Returns the headers of the response to a query over shards.

        Args:
            caller_headers: Values of the caller's headers.
            stamps: Stamps of the shards in the response.
            missing: Number of shards left out of the response.
        """

    def gateway_response_headers(
        self, caller_headers: CallerHeaders
    ) -> http_wire.Headers:
        """Returns the headers of a response that the gateway itself makes."""
