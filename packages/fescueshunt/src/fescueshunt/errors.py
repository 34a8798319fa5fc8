"""Exception classes of fescueshunt, one for each kind of failure."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING, ClassVar

if TYPE_CHECKING:
    from fescueshunt.core import failures


class Outcome(enum.StrEnum):
    """What a caller may conclude about its request.

    DONE: the request succeeded. NOT_RUN: the request had no effect and never
    will have one. FAILED: the database rejected the request, which was rolled
    back. UNKNOWN: the request may have run; the caller can query its outcome
    later with the request id.
    """

    DONE = "done"
    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"


class FescueshuntError(Exception):
    """Base class of all errors.

    Attributes:
      code: the stable name of the error in frames, metrics and logs.
      outcome: what a caller may conclude about its request.
      detail: a description for people; programs use the class or the code.
      retry_after_s: seconds after which a retry may succeed, or 0 if unknown.
    """

    code: ClassVar[str] = "error"
    outcome: ClassVar[Outcome] = Outcome.NOT_RUN

    def __init__(self, detail: str = "", retry_after_s: float = 0.0) -> None:
        super().__init__(detail, retry_after_s)
        self.detail = detail
        self.retry_after_s = retry_after_s

    def __eq__(self, other: object) -> bool:
        return type(self) is type(other) and self.args == other.args

    def __hash__(self) -> int:
        return hash((type(self), self.args))

    def __str__(self) -> str:
        return f"{self.code}: {self.detail}" if self.detail else self.code


class FrameError(FescueshuntError):
    """A frame cannot be decoded, or its content is invalid."""

    code = "frame_invalid"


class FrameTooLargeError(FrameError):
    """A frame exceeds the maximum size."""

    code = "frame_too_large"


class FrameVersionError(FrameError):
    """A frame has a protocol version that this process does not support."""

    code = "frame_version"


class FrameOrderError(FrameError):
    """A frame arrived out of order on its connection."""

    code = "frame_order"


class FrameTimeoutError(FrameError):
    """No complete frame arrived in time."""

    code = "frame_timeout"


class ConnectionLostError(FescueshuntError):
    """A connection ended or became silent while a request was in flight."""

    code = "connection_lost"
    outcome = Outcome.UNKNOWN


class NobodyListensError(ConnectionLostError):
    """The machine at an address refused a connection: no process listens."""

    code = "nobody_listens"


class CallNotSentError(FescueshuntError):
    """A call was not sent, since it could no longer be sent in time."""

    code = "call_not_sent"


class SettingsError(FescueshuntError):
    """A setting is missing or invalid."""

    code = "settings_invalid"


@dataclasses.dataclass(frozen=True, slots=True)
class SettingProblem:
    """An invalid value in a settings file.

    Attributes:
      file: the path of the file.
      section: the section of the file.
      key: the key within the section.
      value: the invalid value.
      expected: a description of a valid value.
    """

    file: str
    section: str
    key: str
    value: str
    expected: str

    def __str__(self) -> str:
        return (
            f"{self.file}: [{self.section}] {self.key} = {self.value!r}: "
            f"{self.expected}"
        )


class InvalidSettingsError(SettingsError):
    """A settings file has one or more invalid settings.

    Attributes:
      problems: the invalid settings, in the order of the file.
    """

    def __init__(self, problems: list[SettingProblem]) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


class RequestInvalidError(FescueshuntError):
    """A request names an unknown service or database, or is incomplete."""

    code = "request_invalid"


class RequestExpiredError(FescueshuntError):
    """A request id is older than the retention period of request ids."""

    code = "request_expired"


class RequestIdReusedError(FescueshuntError):
    """A request id was already used for a different request."""

    code = "request_id_reused"


class RequestCancelledError(FescueshuntError):
    """The request was recorded as not run, so it will never run."""

    code = "request_cancelled"


class DeadlineError(FescueshuntError):
    """The request cannot be served before its deadline."""

    code = "deadline"


class OverloadedError(FescueshuntError):
    """The queue of the request's rank cannot serve the request in time."""

    code = "overloaded"


class RetryBudgetError(FescueshuntError):
    """The retry budget is exhausted."""

    code = "retry_budget"


class NoPrimaryError(FescueshuntError):
    """No primary with the support of a majority of its group is known."""

    code = "no_primary"


class NoRouteError(FescueshuntError):
    """No live proxy or upstream can take the request."""

    code = "no_route"


class TooStaleError(FescueshuntError):
    """No reachable upstream is known to have data as recent as requested."""

    code = "too_stale"


class PositionLostError(FescueshuntError):
    """The session's position is no longer part of the group's history."""

    code = "position_lost"


class TransactionLostError(FescueshuntError):
    """The transaction is unknown to this proxy, or it was rolled back."""

    code = "transaction_lost"


class StoppingError(FescueshuntError):
    """The proxy is shutting down and accepts no new sessions."""

    code = "stopping"


class StatementError(FescueshuntError):
    """The database rejected a statement; the request was rolled back."""

    code = "statement_rejected"
    outcome = Outcome.FAILED


class ResultTooLargeError(FescueshuntError):
    """The results exceed the size limit; the request was rolled back."""

    code = "result_too_large"
    outcome = Outcome.FAILED


class OutcomeUnknownError(FescueshuntError):
    """A write was not confirmed by its deadline; it may have run."""

    code = "outcome_unknown"
    outcome = Outcome.UNKNOWN


class StoreUnavailableError(FescueshuntError):
    """The platform's store did not answer; a change may have been made."""

    code = "store_unavailable"
    outcome = Outcome.UNKNOWN


class RevisionConflictError(FescueshuntError):
    """Another operator changed the settings first."""

    code = "revision_conflict"


class AccessDeniedError(FescueshuntError):
    """The operator's token is unknown, or its role forbids the operation."""

    code = "access_denied"


class StatementSyntaxError(FescueshuntError):
    """An operator's statement does not conform to the grammar."""

    code = "statement_syntax"


class DocumentUnreadableError(FescueshuntError):
    """A document that another program wrote cannot be read."""

    code = "document_unreadable"


class HistoryGoneError(StoreUnavailableError):
    """The store no longer keeps the changes since the given revision."""

    code = "history_gone"


class LeaseEndedError(StoreUnavailableError):
    """The lease has ended."""

    code = "lease_ended"


class RefusedError(FescueshuntError):
    """An upstream refused a connection.

    Attributes:
      failure: the reason for the refusal.
    """

    code = "connection_refused"

    def __init__(self, failure: failures.Failure, detail: str = "") -> None:
        super().__init__(detail)
        self.failure = failure


class LenderLostError(FescueshuntError):
    """The host that lent a connection, or the link to it, is gone.

    It tells nothing about the upstream.
    """

    code = "lender_lost"


class LoanRefusedError(FescueshuntError):
    """A host lends no connection at present.

    It tells nothing about the upstream.
    """

    code = "loan_refused"


class UpstreamLostError(FescueshuntError):
    """A host that lent a connection has lost it, or could not open it."""

    code = "upstream_lost"


class WiringError(FescueshuntError):
    """The pipes of a process and its border don't fit together."""

    code = "wiring"


def class_for_code(code: str) -> type[FescueshuntError]:
    """Returns the class with `code`, or FescueshuntError if it is unknown."""
    return _CLASS_BY_CODE.get(code, FescueshuntError)


def _find_classes(
    base: type[FescueshuntError],
) -> dict[str, type[FescueshuntError]]:
    classes = {base.code: base}
    for derived in base.__subclasses__():
        classes.update(_find_classes(derived))
    return classes


_CLASS_BY_CODE = _find_classes(FescueshuntError)
