"""Changes: from a statement to a document that is in the store, or isn't.

A change is a compare-and-swap that carries the operation's id. When its answer
is lost, the id is looked for in the store's history; while it isn't there and
the revision hasn't moved, the same swap is sent again, which can't take effect
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

SETTLE_S = 5.0
SETTLE_PAUSE_S = 0.2
STATEMENT_CHARS = 500
PROBLEM_COLUMNS = ("entry", "field", "found", "expected")


@dataclasses.dataclass(slots=True)
class Pending:
    """A change on its way into the store.

    Attributes:
      asked: the statement and where its answer goes.
      before: the document that the change replaces.
      after: the document to accept; None before it is made.
      deadline: when the operator is told that the outcome is unknown.
      settle_at: when the store is read back; None while a call is in flight.
      read_back: whether the store was read back before.
    """

    asked: core_items.OperatorAsked
    before: document.Document
    after: document.Document | None
    deadline: float
    settle_at: float | None = None
    read_back: bool = False


@dataclasses.dataclass(slots=True)
class ChangeState:
    """What the filter remembers: settings in force, changes by operation."""

    document: document.Document = document.Document()
    pending: dict[bytes, Pending] = dataclasses.field(default_factory=dict)


class Change(filters.Filter):
    """Brings changes into the store and answers when it is known that it did.

    Two operators who change the same revision race in the store; the one who
    comes second gets a conflict that shows the other's change.
    """

    def __init__(self) -> None:
        self._state = ChangeState()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields calls to the store, accepted documents and answers."""
        match item:
            case core_items.OperatorAsked(statement=statements.Change()):
                yield from self._ask(item)
            case views.SettingsView():
                self._state.document = item.document
                yield item
            case core_items.SettingsSwapped():
                yield from self._swapped(item)
            case core_items.SettingsSwapFailed(
                error=errors.SettingsError() as error
            ):
                yield from self._refuse(item.operation, error)
            case core_items.SettingsSwapFailed() | core_items.StoreReadFailed():
                self._settle_later(item.operation, item.at)
            case core_items.BackRead():
                yield from self._settle(item)
            case core_items.ArchiveRead():
                yield from self._roll_forward(item)
            case filters.Tick():
                yield from self._tick(item.at)
                yield item
            case _:
                yield item

    def _ask(self, asked: core_items.OperatorAsked) -> Iterator[filters.Item]:
        change = asked.statement
        before = self._state.document
        done = before.find_operation(change.operation)
        refusal = _refusal(before, change)
        if change.operation in self._state.pending:
            busy = errors.RequestIdReusedError("the operation is in flight")
            yield _answer(asked, error=busy)
        elif done is not None:
            yield _answer(asked, revision=done.revision)
        elif refusal is not None:
            yield _answer(asked, *refusal)
        elif change.verb is statements.Verb.ROLL_FORWARD:
            yield self._read_archive(asked, before)
        else:
            yield from self._make(asked, before)

    def _read_archive(
        self, asked: core_items.OperatorAsked, before: document.Document
    ) -> filters.Item:
        change = asked.statement
        if not 0 < change.target < before.revision:
            text = f"revision {change.target} is not before {before.revision}"
            return _answer(asked, errors.SettingsError(text))
        self._hold(asked, before, None)
        return core_items.ReadArchive(asked.at, change.operation, change.target)

    def _make(
        self, asked: core_items.OperatorAsked, before: document.Document
    ) -> Iterator[filters.Item]:
        try:
            content = actions.apply(before, asked.statement)
        except errors.SettingsError as exc:
            yield _answer(asked, exc)
            return
        yield from self._propose(asked, before, content)

    def _roll_forward(
        self, item: core_items.ArchiveRead
    ) -> Iterator[filters.Item]:
        held = self._state.pending.pop(item.operation, None)
        if held is None:
            return
        target = held.asked.statement.target
        if item.document.revision != target:
            text = f"the archive doesn't keep revision {target} any more"
            yield _answer(held.asked, errors.SettingsError(text))
            return
        yield from self._propose(held.asked, held.before, item.document)

    def _propose(
        self,
        asked: core_items.OperatorAsked,
        before: document.Document,
        content: document.Document,
    ) -> Iterator[filters.Item]:
        change = asked.statement
        found = validation.find_problems(content)
        changes = difference.between(before, content)
        if found:
            yield _invalid(asked, found)
        elif change.dry_run:
            yield _answer(asked, table=changes)
        elif not changes.rows:
            yield _answer(asked, table=changes, revision=before.revision)
        else:
            after = _next(before, content, asked)
            self._hold(asked, before, after)
            yield core_items.SwapSettings(
                asked.at, after, before.revision, before
            )

    def _hold(
        self,
        asked: core_items.OperatorAsked,
        before: document.Document,
        after: document.Document | None,
    ) -> None:
        self._state.pending[asked.statement.operation] = Pending(
            asked, before, after, asked.at + SETTLE_S
        )

    def _swapped(
        self, item: core_items.SettingsSwapped
    ) -> Iterator[filters.Item]:
        held = self._state.pending.get(item.operation)
        if held is None:
            return
        if item.done:
            yield from self._accept(item.at, held, held.after)
        elif item.version == held.before.revision:
            refused = errors.SettingsError("the store refused the document")
            yield from self._refuse(item.operation, refused)
        elif held.read_back:
            self._settle_later(item.operation, item.at)
        else:
            held.read_back = True
            yield core_items.ReadBack(item.at, item.operation)

    def _refuse(
        self, operation: bytes, error: errors.SettingsError
    ) -> Iterator[filters.Item]:
        held = self._state.pending.pop(operation, None)
        if held is not None:
            yield _answer(held.asked, error)

    def _settle(self, item: core_items.BackRead) -> Iterator[filters.Item]:
        held = self._state.pending.get(item.operation)
        if held is None:
            return
        found = item.document
        if found.find_operation(item.operation) is not None:
            yield from self._accept(item.at, held, found)
        elif found.revision <= held.before.revision:
            yield core_items.SwapSettings(
                item.at, held.after, held.before.revision, held.before
            )
        elif found.find_revision(held.after.revision) is None:
            yield self._give_up(held)
        else:
            del self._state.pending[item.operation]
            yield core_items.SettingsAccepted(item.at, found)
            yield _conflict(
                held.asked, found.find_revision(held.after.revision)
            )

    def _accept(
        self, now: float, held: Pending, found: document.Document
    ) -> Iterator[filters.Item]:
        operation = held.asked.statement.operation
        del self._state.pending[operation]
        yield core_items.SettingsAccepted(now, found)
        changes = difference.between(held.before, held.after)
        revision = held.after.revision
        yield _answer(held.asked, table=changes, revision=revision)

    def _settle_later(self, operation: bytes, now: float) -> None:
        held = self._state.pending.get(operation)
        if held is not None:
            held.settle_at = now + SETTLE_PAUSE_S

    def _tick(self, now: float) -> Iterator[filters.Item]:
        for operation, held in list(self._state.pending.items()):
            if now >= held.deadline:
                yield self._give_up(held)
            elif held.settle_at is not None and now >= held.settle_at:
                held.settle_at = None
                yield _read_again(now, operation, held)

    def _give_up(self, held: Pending) -> filters.Item:
        operation = held.asked.statement.operation
        del self._state.pending[operation]
        unknown = errors.StoreUnavailableError(
            f"look for operation {operation.hex()} in SHOW HISTORY"
        )
        return _answer(held.asked, unknown)


def _read_again(now: float, operation: bytes, held: Pending) -> filters.Item:
    if held.after is not None:
        return core_items.ReadBack(now, operation)
    target = held.asked.statement.target
    return core_items.ReadArchive(now, operation, target)


def _refusal(
    before: document.Document, change: statements.Change
) -> tuple[errors.FescueshuntError, document.Revision | None] | None:
    """Returns why `change` is refused at sight, and the other's change."""
    if len(change.operation) != statements.OPERATION_BYTES:
        text = f"an operation has {statements.OPERATION_BYTES} bytes"
        return errors.RequestInvalidError(text), None
    if before.revision == 0:
        return errors.SettingsError("no settings are in force yet"), None
    if change.if_revision not in (None, before.revision):
        text = f"revision {before.revision} is in force"
        newest = before.find_revision(before.revision)
        return errors.RevisionConflictError(text), newest
    return None


def _next(
    before: document.Document,
    content: document.Document,
    asked: core_items.OperatorAsked,
) -> document.Document:
    """Returns `content` as the revision that follows `before`."""
    change = asked.statement
    entry = document.Revision(
        before.revision + 1,
        change.operation,
        asked.operator,
        change.author or asked.operator,
        change.reason,
        " ".join(statement_text.format_action(change))[:STATEMENT_CHARS],
        asked.wall_s,
    )
    return dataclasses.replace(
        content,
        revision=entry.revision,
        operation=entry.operation,
        author=entry.author,
        reason=entry.reason,
        history=(*before.history, entry)[-document.MAX_HISTORY_ENTRIES :],
    )


def _invalid(
    asked: core_items.OperatorAsked, found: tuple[validation.Problem, ...]
) -> core_items.AnswerOperator:
    rows = tuple((p.entry, p.field, p.value, p.expected) for p in found)
    text = f"{len(found)} invalid; the first is {found[0]}"
    error = errors.SettingsError(text)
    table = statements.Table(PROBLEM_COLUMNS, rows)
    return _answer(asked, error, table=table)


def _conflict(
    asked: core_items.OperatorAsked, other: document.Revision
) -> core_items.AnswerOperator:
    text = (
        f"revision {other.revision} by {other.author} came first: "
        f"{other.statement} because {other.reason!r}"
    )
    return _answer(asked, errors.RevisionConflictError(text), other)


def _answer(
    asked: core_items.OperatorAsked,
    error: errors.FescueshuntError | None = None,
    conflict: document.Revision | None = None,
    table: statements.Table | None = None,
    revision: int = 0,
) -> core_items.AnswerOperator:
    answer = statements.OperatorAnswer(
        table, revision, asked.statement.operation, conflict, error
    )
    return core_items.AnswerOperator(asked.at, asked.conn, asked.seq, answer)
