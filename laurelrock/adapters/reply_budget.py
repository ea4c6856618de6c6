"""Limits of the responses that a process receives.

A faulty server may send bytes without end, in the headers or in the body. Each
response is limited, and so is the memory of all responses that are being
received: if they exceed it together, the longest one is cut off.
"""

import typing

from laurelrock import errors

__all__ = ["Receiver", "ReplyBudget", "create_reply_budget"]

#: Maximum size in bytes of a response's headers, with those of the interim
#: responses before it.
MAX_HEAD_BYTES = 65_536
#: Maximum number of header fields. Each takes far more memory than its bytes.
MAX_HEADERS = 256
#: Maximum number of bytes, per byte of the body, that its transfer encoding may
#: add. A chunk of one byte has five bytes of framing.
MAX_FRAMING_RATIO = 8
#: Maximum number of responses before the one that belongs to a call: interim
#: responses and late ones to earlier calls.
MAX_OTHER_RESPONSES = 8
#: Fraction of the memory of all responses that one of them may take.
REPLY_FRACTION = 0.25
#: Memory in bytes for all responses if the settings give none.
DEFAULT_BYTES = 16_777_216


class Receiver(typing.Protocol):
    """A connection that receives a response."""

    def fail(self, error: errors.LaurelrockError) -> None:
        """Fails the call and resets the connection."""


class ReplyBudget:
    """The memory of all responses that are being received.

    Attributes:
        max_bytes: Maximum number of bytes of all responses together.
        held: Number of bytes received for each incomplete response.
        held_bytes: Sum of `held`.
        shed: Number of responses that were cut off for the sum's sake.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.held: dict[Receiver, int] = {}
        self.held_bytes = 0
        self.shed = 0

    def find_excess(
        self, received: int, body: int, headers: int, others: int
    ) -> str:
        """Returns which limit a response exceeds; empty if none.

        Args:
            received: Number of bytes received since the request.
            body: Number of them that are the response's body.
            headers: Number of header fields.
            others: Number of responses before this one.
        """
        max_body = int(self.max_bytes * REPLY_FRACTION)
        if body > max_body:
            return f"body of {body} bytes, more than {max_body}"
        framing = received - body
        if framing > MAX_HEAD_BYTES + MAX_FRAMING_RATIO * body:
            return f"{framing} bytes of headers and framing"
        if headers > MAX_HEADERS:
            return f"{headers} header fields"
        if others > MAX_OTHER_RESPONSES:
            return f"{others} other responses before the call's own"
        return ""

    def add(self, receiver: Receiver, count: int) -> None:
        """Adds received bytes, and cuts off the longest if that is too much."""
        self.held[receiver] = self.held.get(receiver, 0) + count
        self.held_bytes += count
        while self.held_bytes > self.max_bytes and self.held:
            longest = max(self.held, key=self.held.__getitem__)
            size = self.held[longest]
            self.release(longest)
            self.shed += 1
            longest.fail(
                errors.ReplyTooLongError(
                    f"{size} bytes received while all responses took more than"
                    f" {self.max_bytes} bytes"
                )
            )

    def release(self, receiver: Receiver) -> None:
        """Releases the bytes of a response that ended."""
        self.held_bytes -= self.held.pop(receiver, 0)


def create_reply_budget(max_bytes: int = DEFAULT_BYTES) -> ReplyBudget:
    """Returns a budget of which nothing is used."""
    return ReplyBudget(max_bytes)
