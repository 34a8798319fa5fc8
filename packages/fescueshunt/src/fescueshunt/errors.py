"""Every failure of fescueshunt, one documented class each."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING, ClassVar

if TYPE_CHECKING:
    from fescueshunt.core import sessions


class Outcome(enum.StrEnum):
    """What a caller may conclude about its request.

    A `NOT_RUN` request had no effect and never will; a `FAILED` one was
    rejected by the database and rolled back; an `UNKNOWN` one may have run,
    and its outcome can be asked for later by its request id.
    """

    DONE = "done"
    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"


class FescueshuntError(Exception):
    """Base of all errors.

    Attributes:
      code: the stable name of the error in frames, metrics and logs.
      outcome: what a caller may conclude about its request.
      detail: a text for people; programs look at the class or the code.
      retry_after_s: seconds after which a retry may succeed, 0 for no advice.
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
    """A frame can't be decoded, or its content is not valid."""

    code = "frame_invalid"


class FrameTooLargeError(FrameError):
    """A frame is larger than the bound."""

    code = "frame_too_large"


class FrameVersionError(FrameError):
    """A frame has a version that this process doesn't know."""

    code = "frame_version"


class FrameOrderError(FrameError):
    """A frame came out of order on its connection."""

    code = "frame_order"


class FrameTimeoutError(FrameError):
    """No whole frame came in time."""

    code = "frame_timeout"


class ConnectionLostError(FescueshuntError):
    """A connection ended, or went silent, with a request in flight."""

    code = "connection_lost"
    outcome = Outcome.UNKNOWN


class SettingsError(FescueshuntError):
    """A setting is missing or invalid."""

    code = "settings_invalid"


@dataclasses.dataclass(frozen=True, slots=True)
class SettingProblem:
    """One invalid setting: where it stands, and what was expected there."""

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
      problems: all of them, in the order of the file.
    """

    def __init__(self, problems: list[SettingProblem]) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


class RequestInvalidError(FescueshuntError):
    """A request names an unknown service or database, or is incomplete."""

    code = "request_invalid"


class RequestExpiredError(FescueshuntError):
    """A request id is older than the time for which ids are kept."""

    code = "request_expired"


class RequestIdReusedError(FescueshuntError):
    """A request id was used before, for a different request."""

    code = "request_id_reused"


class RequestCancelledError(FescueshuntError):
    """The request id was settled as not run; it will never run."""

    code = "request_cancelled"


class DeadlineError(FescueshuntError):
    """The request can't be served before its deadline."""

    code = "deadline"


class OverloadedError(FescueshuntError):
    """The queue of the request's rank can't serve it in time."""

    code = "overloaded"


class RetryBudgetError(FescueshuntError):
    """The retry budget is spent."""

    code = "retry_budget"


class NoPrimaryError(FescueshuntError):
    """No primary is known that a majority of its group supports."""

    code = "no_primary"


class NoRouteError(FescueshuntError):
    """No live proxy or upstream can take the request."""

    code = "no_route"


class TooStaleError(FescueshuntError):
    """No reachable upstream is known to be as fresh as the request asks."""

    code = "too_stale"


class PositionLostError(FescueshuntError):
    """The session's position is not part of the group's history any more."""

    code = "position_lost"


class TransactionLostError(FescueshuntError):
    """The transaction is unknown here, or it was rolled back."""

    code = "transaction_lost"


class StoppingError(FescueshuntError):
    """The proxy is stopping and takes no new sessions."""

    code = "stopping"


class StatementError(FescueshuntError):
    """The database rejected a statement; the request was rolled back."""

    code = "statement_rejected"
    outcome = Outcome.FAILED


class ResultTooLargeError(FescueshuntError):
    """The results exceed the bound on answers; the request was rolled back."""

    code = "result_too_large"
    outcome = Outcome.FAILED


class OutcomeUnknownError(FescueshuntError):
    """A write couldn't be confirmed by its deadline; it may have run."""

    code = "outcome_unknown"
    outcome = Outcome.UNKNOWN


class StoreUnavailableError(FescueshuntError):
    """The platform's store gave no answer; the change may be in force."""

    code = "store_unavailable"
    outcome = Outcome.UNKNOWN


class RevisionConflictError(FescueshuntError):
    """Another operator changed the settings first."""

    code = "revision_conflict"


class AccessDeniedError(FescueshuntError):
    """The operator's token is unknown, or its role doesn't allow this."""

    code = "access_denied"


class StatementSyntaxError(FescueshuntError):
    """An operator's statement doesn't follow the grammar."""

    code = "statement_syntax"


class DocumentUnreadableError(FescueshuntError):
    """What another program wrote can't be read."""

    code = "document_unreadable"


class HistoryGoneError(StoreUnavailableError):
    """The store no longer knows the changes since the given revision."""

    code = "history_gone"


class LeaseEndedError(StoreUnavailableError):
    """The lease has ended."""

    code = "lease_ended"


class RefusedError(FescueshuntError):
    """An upstream turned a connection away; `failure` says why."""

    code = "connection_refused"

    def __init__(self, failure: sessions.Failure, detail: str = "") -> None:
        super().__init__(detail)
        self.failure = failure


def class_for_code(code: str) -> type[FescueshuntError]:
    """Returns the error class of `code`, or the base for an unknown one."""
    return _CLASS_BY_CODE.get(code, FescueshuntError)


def _index(base: type[FescueshuntError]) -> dict[str, type[FescueshuntError]]:
    found = {base.code: base}
    for derived in base.__subclasses__():
        found.update(_index(derived))
    return found


_CLASS_BY_CODE = _index(FescueshuntError)
