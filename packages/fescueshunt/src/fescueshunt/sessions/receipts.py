"""Passes on the receipt of a commit only if its primary can be relied on.

While a primary is being replaced, it may still commit: a replica that restarts
is not fenced any more, and a new one may not be known to the host that promotes
another upstream. Such a commit is lost with the old primary. The promotion is
called only after no host relies on the old primary any more, so a receipt
proves a commit as long as this host does. Otherwise the commit is in doubt.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import (
    failures,
    filters,
    replica_sets,
    session_items,
)
from fescueshunt.sessions import items, steps

if TYPE_CHECKING:
    from collections.abc import Iterator

STATUS_REQUEST_INTERVAL_S = 0.1
REPLACED = "primary is being replaced"
UNCONFIRMED = "primary not confirmed"


@dataclasses.dataclass(slots=True)
class HeldReceipts:
    """The receipts of one database that wait for its primary's confirmation.

    Attributes:
      results: the results with these receipts, oldest first.
      status_requested_at: when the status of the members was last requested;
        local clock, seconds.
    """

    results: list[items.JobFinished] = dataclasses.field(default_factory=list)
    status_requested_at: float = replica_sets.NEVER


class ReceiptGuard(filters.Filter):
    """Holds the receipts of commits until the primary is confirmed.

    A commit whose primary has been replaced meanwhile is in doubt, and so is
    one whose primary is not confirmed before the answer is due.
    """

    def __init__(self) -> None:
        self._views: dict[str, replica_sets.ReplicaSetView] = {}
        self._held: dict[str, HeldReceipts] = collections.defaultdict(
            HeldReceipts
        )

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields the results of statements once they can be passed on."""
        match item:
            case items.JobFinished() if _has_commit_receipt(item):
                self._held[item.job.route.database].results.append(item)
                yield from self._release(item.job.route.database, item.at)
            case replica_sets.ReplicaSetView():
                self._views[item.database] = item
                yield from self._release(item.database, item.at)
                yield item
            case filters.Tick():
                # A later filter looks at each tick for statements that are
                # overdue. Those that end now are not.
                yield item
                for database in self._held:
                    yield from self._release(database, item.at)
            case _:
                yield item

    def _release(self, database: str, now: float) -> Iterator[filters.Item]:
        """Yields the results that need not wait any longer.

        A result is taken out before it is yielded, so that none is yielded
        twice if a later filter fails.
        """
        held = self._held[database]
        results, held.results = held.results, []
        for result in results:
            reason = self._reason_for_doubt(result, now)
            if self._is_proved(result, now):
                yield dataclasses.replace(result, at=now)
            elif reason:
                yield _in_doubt(result, reason, now)
            else:
                held.results.append(result)
        elapsed_s = now - held.status_requested_at
        if held.results and elapsed_s >= STATUS_REQUEST_INTERVAL_S:
            held.status_requested_at = now
            yield session_items.ConfirmationRequested(now, database)

    def _is_proved(self, result: items.JobFinished, now: float) -> bool:
        """Returns whether this host relies on the primary of the receipt."""
        view = self._views[result.job.route.database]
        return view.relies_on(result.upstream, now) and not _is_of_former_term(
            result, view
        )

    def _reason_for_doubt(self, result: items.JobFinished, now: float) -> str:
        """Returns why the commit is in doubt; "" if it may still be proved."""
        view = self._views[result.job.route.database]
        if view.has_replaced(result.upstream) or _is_of_former_term(
            result, view
        ):
            return REPLACED
        if now >= result.job.answer_deadline:
            return UNCONFIRMED
        return ""


def _has_commit_receipt(result: items.JobFinished) -> bool:
    return result.failure is None and steps.commits_changes(result.job)


def _is_of_former_term(
    result: items.JobFinished, view: replica_sets.ReplicaSetView
) -> bool:
    """Returns whether the primary has begun a term since the commit."""
    applied = result.reply.applied
    return applied is not None and applied.term.number < view.term


def _in_doubt(
    result: items.JobFinished, reason: str, now: float
) -> items.JobFinished:
    return dataclasses.replace(
        result,
        at=now,
        reply=None,
        failure=failures.Failure.IN_DOUBT,
        detail=reason,
    )
