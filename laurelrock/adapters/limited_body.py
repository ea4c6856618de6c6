"""Reading of response bodies that may not end."""

import aiohttp

from laurelrock import errors

__all__ = ["MAX_BODY_BYTES", "read"]

#: Maximum size in bytes of a response body: several times the largest manifest
#: that the validator accepts.
MAX_BODY_BYTES = 16_777_216


async def read(response: aiohttp.ClientResponse) -> bytes:
    """Reads a response's body.

    Raises:
        ReplyTooLongError: The body exceeds `MAX_BODY_BYTES`; the connection is
            closed.
    """
    body = bytearray()
    async for piece in response.content.iter_any():
        body += piece
        if len(body) > MAX_BODY_BYTES:
            response.close()
            raise errors.ReplyTooLongError(
                f"body of more than {MAX_BODY_BYTES} bytes"
            )
    return bytes(body)
