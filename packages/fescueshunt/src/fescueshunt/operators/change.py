"""Filter that writes operators' changes to the settings store.

A change is a compare-and-swap whose document carries the operation id. If the
answer of the store is lost, the proxy reads the store back and looks for the
operation id in the document's history. While the id is missing and the revision
has not changed, the proxy sends the same swap again, which cannot take effect
twice.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import (
    document,
    filters,
    statement_text,
    statements,
    validation,
    views,
)
from fescueshunt.core import items as core_items
from fescueshunt.operators import actions, difference

if TYPE_CHECKING:
    from collections.abc import Iterator

OUTCOME_TIMEOUT_S = 5.0
READ_BACK_DELAY_S = 0.2
MAX_STATEMENT_CHARS = 500
PROBLEM_COLUMNS = ("entry", "field", "found", "expected")


@dataclasses.dataclass(slots=True)
class PendingChange:
    """A change whose outcome is not known yet.

    Attributes:
      request: the operator's statement, with the connection to answer on.
      before: the document that the change replaces.
      after: the document to write; None until a roll-forward has read the
        archive.
      deadline: when the operator is told that the outcome is unknown; seconds,
        local clock.
      read_back_at: when the store is read next; None while a call to the store
        is in flight.
      was_read_back: whether a swap that found another revision in the store
        has already led to an immediate read-back.
    """

    request: core_items.OperatorAsked
    before: document.Document
    after: document.Document | None
    deadline: float
    read_back_at: float | None = None
    was_read_back: bool = False


@dataclasses.dataclass(slots=True)
class ChangeState:
    """The state of the filter.

    Attributes:
      document: the settings in force.
      pending: the pending changes, by operation id.
    """

    document: document.Document = document.Document()
    pending: dict[bytes, PendingChange] = dataclasses.field(
        default_factory=dict
    )


class ChangeSettings(filters.Filter):
    """Writes changes to the store and answers once their outcome is known.

    If two operators change the same revision concurrently, the store accepts
    the first swap. The other operator gets a conflict error that contains the
    accepted change.
    """

    def __init__(self) -> None:
        self._state = ChangeState()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields calls to the store, accepted documents and answers.

        Statements that do not change the settings pass through.
        """
        match item:
            case core_items.OperatorAsked(statement=statements.Change()):
                yield from self._handle_request(item)
            case views.SettingsView():
                self._state.document = item.document
                yield item
            case core_items.SettingsSwapped():
                yield from self._handle_swapped(item)
            case core_items.SettingsSwapFailed(
                error=errors.SettingsError() as error
            ):
                yield from self._reject(item.operation, error)
            case core_items.SettingsSwapFailed() | core_items.StoreReadFailed():
                self._schedule_read_back(item.operation, item.at)
            case core_items.BackRead():
                yield from self._handle_read_back(item)
            case core_items.ArchiveRead():
                yield from self._handle_archive_read(item)
            case filters.Tick():
                yield from self._handle_tick(item.at)
                yield item
            case _:
                yield item

    def _handle_request(
        self, request: core_items.OperatorAsked
    ) -> Iterator[filters.Item]:
        change = request.statement
        before = self._state.document
        accepted = before.find_operation(change.operation)
        refusal = _find_refusal(before, change)
        if change.operation in self._state.pending:
            error = errors.RequestIdReusedError(
                "a change with this operation id is in progress"
            )
            yield _answer(request, error=error)
        elif accepted is not None:
            yield _answer(request, revision=accepted.revision)
        elif refusal is not None:
            yield _answer(request, *refusal)
        elif change.verb is statements.Verb.ROLL_FORWARD:
            yield self._request_archive(request, before)
        else:
            yield from self._apply(request, before)

    def _request_archive(
        self, request: core_items.OperatorAsked, before: document.Document
    ) -> filters.Item:
        change = request.statement
        if not 0 < change.target < before.revision:
            text = (
                f"there is no revision {change.target} before revision "
                f"{before.revision}, which is in force"
            )
            return _answer(request, errors.SettingsError(text))
        self._add_pending(request, before, None)
        return core_items.ReadArchive(
            request.at, change.operation, change.target
        )

    def _apply(
        self, request: core_items.OperatorAsked, before: document.Document
    ) -> Iterator[filters.Item]:
        try:
            content = actions.apply(before, request.statement)
        except errors.SettingsError as exc:
            yield _answer(request, exc)
            return
        yield from self._propose(request, before, content)

    def _handle_archive_read(
        self, item: core_items.ArchiveRead
    ) -> Iterator[filters.Item]:
        pending = self._state.pending.pop(item.operation, None)
        if pending is None:
            return
        target = pending.request.statement.target
        if item.document.revision != target:
            text = f"the archive no longer contains revision {target}"
            yield _answer(pending.request, errors.SettingsError(text))
            return
        yield from self._propose(pending.request, pending.before, item.document)

    def _propose(
        self,
        request: core_items.OperatorAsked,
        before: document.Document,
        content: document.Document,
    ) -> Iterator[filters.Item]:
        change = request.statement
        problems = validation.find_problems(content)
        changes = difference.build_table(before, content)
        if problems:
            yield _answer_invalid(request, problems)
        elif change.dry_run:
            yield _answer(request, table=changes)
        elif not changes.rows:
            yield _answer(request, table=changes, revision=before.revision)
        else:
            after = _next_revision(before, content, request)
            self._add_pending(request, before, after)
            yield core_items.SwapSettings(
                request.at, after, before.revision, before
            )

    def _add_pending(
        self,
        request: core_items.OperatorAsked,
        before: document.Document,
        after: document.Document | None,
    ) -> None:
        self._state.pending[request.statement.operation] = PendingChange(
            request, before, after, request.at + OUTCOME_TIMEOUT_S
        )

    def _handle_swapped(
        self, item: core_items.SettingsSwapped
    ) -> Iterator[filters.Item]:
        pending = self._state.pending.get(item.operation)
        if pending is None:
            return
        if item.done:
            yield from self._accept(item.at, pending, pending.after)
        elif item.version == pending.before.revision:
            error = errors.SettingsError("the store refused the document")
            yield from self._reject(item.operation, error)
        elif pending.was_read_back:
            self._schedule_read_back(item.operation, item.at)
        else:
            pending.was_read_back = True
            yield core_items.ReadBack(item.at, item.operation)

    def _reject(
        self, operation: bytes, error: errors.SettingsError
    ) -> Iterator[filters.Item]:
        pending = self._state.pending.pop(operation, None)
        if pending is not None:
            yield _answer(pending.request, error)

    def _handle_read_back(
        self, item: core_items.BackRead
    ) -> Iterator[filters.Item]:
        pending = self._state.pending.get(item.operation)
        if pending is None:
            return
        stored = item.document
        if stored.find_operation(item.operation) is not None:
            yield from self._accept(item.at, pending, stored)
        elif stored.revision <= pending.before.revision:
            yield core_items.SwapSettings(
                item.at, pending.after, pending.before.revision, pending.before
            )
        elif stored.find_revision(pending.after.revision) is None:
            yield self._report_unknown_outcome(pending)
        else:
            del self._state.pending[item.operation]
            yield core_items.SettingsAccepted(item.at, stored)
            yield _answer_conflict(
                pending.request, stored.find_revision(pending.after.revision)
            )

    def _accept(
        self, now: float, pending: PendingChange, stored: document.Document
    ) -> Iterator[filters.Item]:
        operation = pending.request.statement.operation
        del self._state.pending[operation]
        yield core_items.SettingsAccepted(now, stored)
        changes = difference.build_table(pending.before, pending.after)
        revision = pending.after.revision
        yield _answer(pending.request, table=changes, revision=revision)

    def _schedule_read_back(self, operation: bytes, now: float) -> None:
        pending = self._state.pending.get(operation)
        if pending is not None:
            pending.read_back_at = now + READ_BACK_DELAY_S

    def _handle_tick(self, now: float) -> Iterator[filters.Item]:
        for operation, pending in list(self._state.pending.items()):
            if now >= pending.deadline:
                yield self._report_unknown_outcome(pending)
            elif (
                pending.read_back_at is not None and now >= pending.read_back_at
            ):
                pending.read_back_at = None
                yield _build_read(now, operation, pending)

    def _report_unknown_outcome(self, pending: PendingChange) -> filters.Item:
        operation = pending.request.statement.operation
        del self._state.pending[operation]
        error = errors.StoreUnavailableError(
            f"look for operation {operation.hex()} in SHOW HISTORY"
        )
        return _answer(pending.request, error)


def _build_read(
    now: float, operation: bytes, pending: PendingChange
) -> filters.Item:
    if pending.after is not None:
        return core_items.ReadBack(now, operation)
    target = pending.request.statement.target
    return core_items.ReadArchive(now, operation, target)


def _find_refusal(
    before: document.Document, change: statements.Change
) -> tuple[errors.FescueshuntError, document.Revision | None] | None:
    """Returns why `change` is refused before it reaches the store, or None.

    The second value of the pair is the newest accepted change if the revision
    that `change` expects is not in force, and None otherwise.
    """
    if len(change.operation) != statements.OPERATION_BYTES:
        text = f"an operation id must have {statements.OPERATION_BYTES} bytes"
        return errors.RequestInvalidError(text), None
    if before.revision == 0:
        return errors.SettingsError("no settings are in force yet"), None
    if change.if_revision not in (None, before.revision):
        text = f"revision {before.revision} is in force"
        newest = before.find_revision(before.revision)
        return errors.RevisionConflictError(text), newest
    return None


def _next_revision(
    before: document.Document,
    content: document.Document,
    request: core_items.OperatorAsked,
) -> document.Document:
    """Returns `content` as the revision that follows `before`."""
    change = request.statement
    entry = document.Revision(
        before.revision + 1,
        change.operation,
        request.operator,
        change.author or request.operator,
        change.reason,
        " ".join(statement_text.format_action(change))[:MAX_STATEMENT_CHARS],
        request.wall_s,
    )
    return dataclasses.replace(
        content,
        revision=entry.revision,
        operation=entry.operation,
        author=entry.author,
        reason=entry.reason,
        history=(*before.history, entry)[-document.MAX_HISTORY_ENTRIES :],
    )


def _answer_invalid(
    request: core_items.OperatorAsked, problems: tuple[validation.Problem, ...]
) -> core_items.AnswerOperator:
    rows = tuple((p.entry, p.field, p.value, p.expected) for p in problems)
    text = (
        f"invalid settings: {len(problems)} problem(s); "
        f"the first is {problems[0]}"
    )
    error = errors.SettingsError(text)
    table = statements.Table(PROBLEM_COLUMNS, rows)
    return _answer(request, error, table=table)


def _answer_conflict(
    request: core_items.OperatorAsked, accepted: document.Revision
) -> core_items.AnswerOperator:
    text = (
        f"revision {accepted.revision} by {accepted.author} was accepted "
        f"first: {accepted.statement} because {accepted.reason!r}"
    )
    return _answer(request, errors.RevisionConflictError(text), accepted)


def _answer(
    request: core_items.OperatorAsked,
    error: errors.FescueshuntError | None = None,
    conflict: document.Revision | None = None,
    table: statements.Table | None = None,
    revision: int = 0,
) -> core_items.AnswerOperator:
    answer = statements.OperatorAnswer(
        table, revision, request.statement.operation, conflict, error
    )
    return core_items.AnswerOperator(
        request.at, request.conn, request.seq, answer
    )
