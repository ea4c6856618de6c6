"""How the searchers of a soak reply to requests."""

import typing
import zlib

from fakes import shards
from laurelrock.core import answer_schedule

__all__ = ["Reply", "create_reply", "record_of"]

#: Time in seconds for which a pausing searcher wants no requests.
PAUSE_S = 2.0
#: Start of a response whose body never ends, and the bytes that follow.
ENDLESS_HEAD = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n\r\n"
ENDLESS = b"x" * 16_384
#: Body of a failure, long enough to be taken for two records.
FAILURE_TEXT = b'{"error": "segment not found", "id": 417}'
#: Time after which a stuttering searcher answers a second time, in seconds.
STUTTER_S = 0.05
#: Last segment of the path of requests that crash the searchers that run them,
#: and the time that these take to crash, in seconds.
CRASHING_SEGMENT = "/crash"
CRASH_DELAY_S = 0.01


class Reply(typing.NamedTuple):
    """A searcher's reply to one request.

    Attributes:
        response: What the searcher sends.
        ran: Whether it runs the request.
        pause_s: Time in seconds for which it wants no requests; 0 if it
            doesn't say.
        crashes: Whether it crashes.
        misplaced: Whether it says that the request was for another searcher.
    """

    response: shards.ScriptedResponse
    ran: bool = True
    pause_s: float = 0.0
    crashes: bool = False
    misplaced: bool = False


def create_reply(
    service: str,
    name: str,
    behaviour: str,
    request: shards.Request,
    notices: tuple[str, ...],
) -> Reply:
    """Returns the reply of a searcher.

    Args:
        service: Service of the searcher.
        name: Id of the searcher.
        behaviour: How it behaves; a key of the replies below.
        request: The request.
        notices: Headers of all of its responses.
    """
    if request.headers.get("x-target-instance") not in (None, name):
        behaviour = "misplaced"
    elif behaviour == "healthy" and request.target.endswith(CRASHING_SEGMENT):
        hang = shards.ScriptedResponse((), "hang")
        return Reply(hang, crashes=True)
    stamp = f"X-Server-Stamp: {service}.{name}.{request.id}"
    body = record_of(service, request.id)
    success = shards.encode_response(request, "200 OK", body, stamp, *notices)
    failure = shards.encode_response(
        request, "500 Internal Server Error", b"", stamp, *notices
    )
    rejection = shards.encode_response(
        request, pick_failure(request.id), FAILURE_TEXT, stamp, *notices
    )
    refusal = shards.encode_response(
        request, "503 Service Unavailable", b"", "X-Not-Executed: 1", *notices
    )
    pause = shards.encode_response(
        request,
        "503 Service Unavailable",
        b"",
        "X-Not-Executed: 1",
        f"Retry-After: {PAUSE_S}",
        *notices,
    )
    wrong = shards.encode_response(request, "421 Misdirected Request", b"")
    scripted = shards.ScriptedResponse
    replies = {
        "healthy": Reply(scripted(((0.004, success),))),
        "slow": Reply(scripted(((0.25, success),))),
        "failing": Reply(scripted(((0.002, failure),))),
        "rejecting": Reply(scripted(((0.002, rejection),))),
        "stuttering": Reply(scripted(((0.004, success), (STUTTER_S, success)))),
        "stutter-fail": Reply(
            scripted(((0.002, rejection), (STUTTER_S, failure)))
        ),
        "full": Reply(scripted(((0, refusal),)), ran=False),
        "mute": Reply(scripted((), "hang")),
        "resetting": Reply(scripted(((0.002, b""),), "reset")),
        "cut": Reply(scripted(((0.002, success[:-4]),), "reset")),
        "pausing": Reply(scripted(((0, pause),)), ran=False, pause_s=PAUSE_S),
        "endless-head": Reply(shards.endless(success[:20], ENDLESS)),
        "endless-body": Reply(shards.endless(ENDLESS_HEAD, ENDLESS)),
        "misplaced": Reply(scripted(((0, wrong),)), ran=False, misplaced=True),
    }
    return replies[behaviour]


def pick_failure(request_id: str) -> str:
    """Returns the status below 500 with which a searcher fails a request."""
    number = zlib.crc32(request_id.encode())
    return shards.FAILURES_BELOW_500[number % len(shards.FAILURES_BELOW_500)]


def record_of(service: str, request_id: str) -> bytes:
    """Returns the only record in a searcher's response.

    It holds the service and the request id, padded to the record size.
    """
    name = f"{service}/{request_id}".encode()[: answer_schedule.RECORD_BYTES]
    return name.ljust(answer_schedule.RECORD_BYTES, b".")
