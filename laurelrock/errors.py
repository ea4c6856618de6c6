"""Exceptions with codes.

Every failure is a subclass of `LaurelrockError`. Those that can be answered
to a caller also derive from `RefusalError`, which carries the HTTP status and
says whether the request was run.
"""

import typing

__all__ = ["LaurelrockError", "RefusalError"]

#: Whether a refused request was run by an upstream.
Ran = typing.Literal["no", "yes", "unknown"]


class LaurelrockError(Exception):
    """Base of all failures.

    Attributes:
        code: Stable identifier of the kind of failure.
        message: One sentence for a person.
    """

    #: Stable identifier of the kind of failure.
    code = "internal"

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message


class SettingsError(LaurelrockError):
    """A settings file is missing, unreadable or holds a bad value."""

    code = "settings-invalid"


class ManifestError(LaurelrockError):
    """A manifest does not satisfy its schema or contradicts itself."""

    code = "manifest-invalid"


class ListenError(LaurelrockError):
    """A port could not be opened."""

    code = "listen-failed"


class HeadError(LaurelrockError):
    """The object that names the manifest in force is malformed."""

    code = "head-invalid"


class DeltaError(LaurelrockError):
    """A delta is malformed or does not fit the document."""

    code = "delta-invalid"


class DigestError(LaurelrockError):
    """A manifest does not match the digest that its head names."""

    code = "digest-mismatch"


class GenerationConflictError(LaurelrockError):
    """Two different manifests claim the same generation."""

    code = "generation-conflict"


class PublishError(LaurelrockError):
    """A manifest could not be published."""

    code = "publish-failed"


class PublishConflictError(PublishError):
    """Another manifest is in force; nothing of this one is or will be.

    Attributes:
        generation: In force, 0 if there is none.
        publish_id: Of the run that put it in force.
        digest: Of its canonical JSON.
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
    """The manifest may or may not be in force.

    Attributes:
        publish_id: To be given again to learn the outcome.
    """

    code = "publish-unknown"

    def __init__(self, message: str, publish_id: str) -> None:
        super().__init__(message)
        self.publish_id = publish_id


class NotInForceError(PublishError):
    """The manifest is not yet in force at every daemon."""

    code = "not-in-force"


class FrameError(LaurelrockError):
    """A frame on the port between daemons could not be decoded."""

    code = "frame-invalid"


class PeerSilentError(LaurelrockError):
    """A peer did not answer in time."""

    code = "peer-silent"


class PlatformError(LaurelrockError):
    """The platform failed to answer; a write may have taken effect."""

    code = "platform-unavailable"


class VersionConflictError(LaurelrockError):
    """A conditional update found another version than expected."""

    code = "version-conflict"


class ObjectTooLargeError(LaurelrockError):
    """An object exceeds the size that the platform holds."""

    code = "object-too-large"


class EntryError(LaurelrockError):
    """An entry gave a caller no answer, or none that can be read.

    Attributes:
        ran: "no" where no connection was made, else "unknown".
    """

    code = "entry-unreachable"

    def __init__(self, message: str, ran: Ran) -> None:
        super().__init__(message)
        self.ran: Ran = ran


class SearcherError(LaurelrockError):
    """A call to a searcher failed.

    Attributes:
        sent: Whether any byte of the request may have left.
    """

    code = "searcher-failed"

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class SearcherProtocolError(SearcherError):
    """A searcher's reply breaks the contract."""

    code = "searcher-protocol"


class RefusalError(LaurelrockError):
    """A request that is answered with a problem document.

    Attributes:
        ran: Whether an upstream ran the request.
        retry_after_s: Seconds after which another attempt makes sense.
    """

    code = "refused"
    #: HTTP status of the answer.
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
    """The caller is not known."""

    code = "unauthorized"
    status = 401


class ForbiddenError(RefusalError):
    """The caller may not ask this application."""

    code = "forbidden"
    status = 403


class NotFoundError(RefusalError):
    """The path leads nowhere."""

    code = "not-found"
    status = 404


class MethodNotAllowedError(RefusalError):
    """The path does not take the method."""

    code = "method-not-allowed"
    status = 405


class InternalError(RefusalError):
    """The daemon failed in a way that it does not foresee."""

    code = "internal"
    status = 500


class UnknownApplicationError(RefusalError):
    """No application of that name is in the manifest."""

    code = "unknown-application"
    status = 404


class BodyTooLargeError(RefusalError):
    """The body exceeds the limit."""

    code = "body-too-large"
    status = 413


class NotReadyError(RefusalError):
    """The daemon has no manifest yet or is shutting down."""

    code = "not-ready"


class OverloadedError(RefusalError):
    """The request cannot meet its deadline under the present load."""

    code = "overloaded"


class CoverageError(RefusalError):
    """The coverage reached is below the least that was asked for."""

    code = "coverage-too-low"


class DeadlineError(RefusalError):
    """The deadline passed."""

    code = "deadline-exceeded"
    status = 504


class KeyConflictError(RefusalError):
    """The idempotency key was used with another body."""

    code = "key-conflict"
    status = 409


class KeyExpiredError(RefusalError):
    """The idempotency key is older than the ledger's floor."""

    code = "key-expired"
    status = 410


class OutcomeUnknownError(RefusalError):
    """The request may or may not have run."""

    code = "outcome-unknown"
    status = 502


class ResultNotKeptError(RefusalError):
    """The request ran, but its result was too large to be kept."""

    code = "result-not-kept"
    status = 410


class LedgerError(LaurelrockError):
    """A ledger object on the platform cannot be read."""

    code = "ledger-invalid"


class WriteUnsettledError(LaurelrockError):
    """A write may or may not have taken effect, and time ran out."""

    code = "write-unsettled"


class ConnectError(LaurelrockError):
    """No connection to an upstream; nothing was sent."""

    code = "connect-failed"


class CallBrokenError(LaurelrockError):
    """A connection ended before the answer; the call may have run."""

    code = "call-broken"


class CallGarbledError(CallBrokenError):
    """What came back is no answer to the call, which may have run."""

    code = "call-garbled"


class StoreError(LaurelrockError):
    """The platform's store gave no usable answer."""

    code = "store-failed"


class StoreHistoryError(StoreError):
    """The store no longer holds the changes since a revision."""

    code = "store-history-lost"


class FieldError(StoreError):
    """An object of the platform's store lacks a field or has a bad one."""

    code = "field-invalid"
