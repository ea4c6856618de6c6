"""Errors: the exception classes of the package and their stable codes.

Every exception is a subclass of `LaurelrockError`. Those that are returned to
a caller also derive from `RefusalError`, which carries the HTTP status and
whether the request was executed.
"""

import typing

__all__ = ["LaurelrockError", "RefusalError"]

#: Whether an upstream executed a refused request.
Ran = typing.Literal["no", "yes", "unknown"]


class LaurelrockError(Exception):
    """Base class of all exceptions of the package.

    Attributes:
        code: Stable identifier of the kind of failure.
        message: Human-readable description of the failure.
    """

    #: Stable identifier of the kind of failure.
    code = "internal"

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message


class SettingsError(LaurelrockError):
    """A settings file is missing, unreadable or contains an invalid value."""

    code = "settings-invalid"


class ManifestError(LaurelrockError):
    """A manifest violates its schema or is inconsistent."""

    code = "manifest-invalid"


class ConfigurationFileError(LaurelrockError):
    """A file that a check needs is unreadable, or not what it should be.

    Attributes:
        line: Line of a syntax error, from 1; 0 for another failure.
    """

    code = "file-unreadable"

    def __init__(self, message: str, line: int = 0) -> None:
        super().__init__(message)
        self.line = line


class FileSyntaxError(ConfigurationFileError):
    """A file is not a JSON document."""

    code = "syntax"


class FileContentError(ConfigurationFileError):
    """A file contains something else than expected."""

    code = "file-invalid"


class ListenError(LaurelrockError):
    """A port could not be opened."""

    code = "listen-failed"


class HeadError(LaurelrockError):
    """The object that names the manifest in force is malformed."""

    code = "head-invalid"


class DeltaError(LaurelrockError):
    """A delta is malformed or does not apply to its base document."""

    code = "delta-invalid"


class DigestError(LaurelrockError):
    """A manifest does not match the digest in its head."""

    code = "digest-mismatch"


class GenerationConflictError(LaurelrockError):
    """Two different manifests have the same generation."""

    code = "generation-conflict"


class PublishError(LaurelrockError):
    """A manifest could not be published."""

    code = "publish-failed"


class PublishConflictError(PublishError):
    """Another manifest is in force; this one was not and won't be published.

    Attributes:
        generation: Generation in force, 0 if there is none.
        publish_id: Publish id of the manifest in force.
        digest: Digest of the canonical JSON of the manifest in force.
    """

    code = "publish-conflict"

    def __init__(
        self,
        message: str,
        generation: int,
        publish_id: str = "",
        digest: str = "",
    ) -> None:
        super().__init__(message)
        self.generation = generation
        self.publish_id = publish_id
        self.digest = digest


class PublishUnknownError(PublishError):
    """It is unknown whether the manifest was published.

    Attributes:
        publish_id: Publish id to retry with, which reveals the outcome.
    """

    code = "publish-unknown"

    def __init__(self, message: str, publish_id: str) -> None:
        super().__init__(message)
        self.publish_id = publish_id


class NotInForceError(PublishError):
    """The manifest is not yet in force at every daemon."""

    code = "not-in-force"


class FrameError(LaurelrockError):
    """A message frame from another daemon could not be decoded."""

    code = "frame-invalid"


class PeerSilentError(LaurelrockError):
    """A peer did not respond within the timeout."""

    code = "peer-silent"


class PlatformError(LaurelrockError):
    """A request to the platform failed; a write may have taken effect."""

    code = "platform-unavailable"


class VersionConflictError(LaurelrockError):
    """A conditional update found a version other than the expected one."""

    code = "version-conflict"


class ObjectTooLargeError(LaurelrockError):
    """An object exceeds the platform's size limit."""

    code = "object-too-large"


class EntryError(LaurelrockError):
    """An entry sent no response to a caller, or one that can't be decoded.

    Attributes:
        ran: Whether the request was executed: "no" if no connection could be
            opened, otherwise "unknown".
    """

    code = "entry-unreachable"

    def __init__(self, message: str, ran: Ran) -> None:
        super().__init__(message)
        self.ran: Ran = ran


class SearcherError(LaurelrockError):
    """A call to a searcher failed.

    Attributes:
        sent: Whether any byte of the request may have been sent.
    """

    code = "searcher-failed"

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class SearcherProtocolError(SearcherError):
    """A searcher's response violates the protocol."""

    code = "searcher-protocol"


class RefusalError(LaurelrockError):
    """A request was refused; the response is a problem document.

    Attributes:
        ran: Whether an upstream executed the request.
        retry_after_s: Delay before a retry may succeed, in seconds, or None
            if no delay is advised.
    """

    code = "refused"
    #: HTTP status of the response.
    status = 503

    def __init__(
        self,
        message: str,
        ran: Ran = "no",
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.ran: Ran = ran
        self.retry_after_s = retry_after_s


class BadRequestError(RefusalError):
    """The request is malformed."""

    code = "bad-request"
    status = 400


class UnauthorizedError(RefusalError):
    """The caller could not be authenticated."""

    code = "unauthorized"
    status = 401


class ForbiddenError(RefusalError):
    """The caller lacks the right to use this application."""

    code = "forbidden"
    status = 403


class NotFoundError(RefusalError):
    """No resource exists at the path."""

    code = "not-found"
    status = 404


class MethodNotAllowedError(RefusalError):
    """The resource does not support the HTTP method."""

    code = "method-not-allowed"
    status = 405


class InternalError(RefusalError):
    """The daemon failed with an unexpected exception."""

    code = "internal"
    status = 500


class UnknownApplicationError(RefusalError):
    """The manifest has no application with that name."""

    code = "unknown-application"
    status = 404


class BodyTooLargeError(RefusalError):
    """The request body exceeds the size limit."""

    code = "body-too-large"
    status = 413


class NotReadyError(RefusalError):
    """The daemon has no manifest yet, or a save's key could not be claimed."""

    code = "not-ready"


class OverloadedError(RefusalError):
    """No capacity is available for the request, which was not executed."""

    code = "overloaded"


class CoverageError(RefusalError):
    """The coverage reached is below the requested minimum."""

    code = "coverage-too-low"


class DeadlineError(RefusalError):
    """The request's deadline passed."""

    code = "deadline-exceeded"
    status = 504


class KeyConflictError(RefusalError):
    """The idempotency key was already used with a different body."""

    code = "key-conflict"
    status = 409


class KeyExpiredError(RefusalError):
    """The idempotency key is older than the oldest one the ledger tracks."""

    code = "key-expired"
    status = 410


class OutcomeUnknownError(RefusalError):
    """It is unknown whether the request was executed."""

    code = "outcome-unknown"
    status = 502


class ResultNotKeptError(RefusalError):
    """The request was executed, but its result was too large to store."""

    code = "result-not-kept"
    status = 410


class LedgerError(LaurelrockError):
    """A ledger object on the platform cannot be read."""

    code = "ledger-invalid"


class WriteUnsettledError(LaurelrockError):
    """The deadline passed before a write's outcome was known."""

    code = "write-unsettled"


class ConnectError(LaurelrockError):
    """No connection to an upstream could be opened; nothing was sent."""

    code = "connect-failed"


class NoMoreWorkError(ConnectError):
    """An upstream leaves or asked for a pause; the call was not sent."""

    code = "no-more-work"


class CallDroppedError(ConnectError):
    """A call that waited for a connection was dropped; it was not sent."""

    code = "call-dropped"


class CallBrokenError(LaurelrockError):
    """A connection ended before the response; the call may have executed."""

    code = "call-broken"


class CallGarbledError(CallBrokenError):
    """The response does not match the call, which may have executed."""

    code = "call-garbled"


class ReplyTooLongError(CallGarbledError):
    """The response exceeds a limit, or doesn't end; it was cut off."""

    code = "reply-too-long"


class StoreError(LaurelrockError):
    """The platform's store returned no usable response."""

    code = "store-failed"


class StoreHistoryError(StoreError):
    """The store no longer has the changes since a revision."""

    code = "store-history-lost"


class StoreEraError(StoreHistoryError):
    """The store came back from a copy, so its revisions went back."""

    code = "store-restored"


class FieldError(StoreError):
    """An object in the platform's store has a missing or invalid field."""

    code = "field-invalid"
