"""Filter that acknowledges committed writes once they are durable."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import (
    document,
    filters,
    homes,
    identity,
    views,
)
from fescueshunt.request import items, outcome, route

if TYPE_CHECKING:
    from collections.abc import Iterator


class Acknowledge(filters.Filter):
    """Delays the answer to a write until the write is durable.

    Durable means that a majority of the group has the write, or, for services
    that declare primary durability, that the primary was confirmed after it.
    If a newer term starts first, the write is retried as in doubt, and the
    ledger at the new primary decides its outcome. The same happens if this
    proxy stops watching the database, since it then gets no more group views.
    A write that is not durable by its deadline has an unknown outcome.
    """

    def __init__(self, local_proxy: identity.Identity) -> None:
        self._local_proxy = local_proxy
        self._pending: dict[str, list[items.Committed]] = {}
        self._groups: dict[str, views.GroupView] = {}
        self._settings = document.Document()
        self._fleet = views.FleetView(0.0, ())
        self._watched: frozenset[str] = frozenset()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields the answers to commits that group views show to be durable."""
        match item:
            case items.Committed():
                database = item.work.req.database
                self._pending.setdefault(database, []).append(item)
                yield from self._check_pending(database, item.at)
            case views.GroupView():
                self._groups[item.database] = item
                yield item
                yield from self._check_pending(item.database, item.at)
            case views.SettingsView():
                self._settings = item.document
                self._update_watched()
                yield item
            case views.FleetView():
                self._fleet = item
                self._update_watched()
                yield item
            case filters.Tick():
                yield item
                for database in list(self._pending):
                    yield from self._check_pending(database, item.at)
            case _:
                yield item

    def _check_pending(
        self, database: str, now: float
    ) -> Iterator[filters.Item]:
        view = self._groups.get(database)
        watched = database in self._watched
        still_pending: list[items.Committed] = []
        for commit in self._pending.pop(database, []):
            result = _check_commit(commit, view, now)
            if result is None and not watched:
                result = _retry_in_doubt(commit, view, now)
            if result is None:
                still_pending.append(commit)
            else:
                yield result
        if still_pending:
            self._pending[database] = still_pending

    def _update_watched(self) -> None:
        watched = homes.watched_databases(
            self._settings.databases, self._fleet, self._local_proxy.name
        )
        self._watched = frozenset(database.name for database in watched)


def _check_commit(
    commit: items.Committed, view: views.GroupView | None, now: float
) -> filters.Item | None:
    if view is not None and view.term > commit.position.term:
        return _retry_in_doubt(commit, view, now)
    if view is not None and is_durable(commit, view):
        token = commit.position if commit.answer.error is None else None
        answer = dataclasses.replace(commit.answer, token=token)
        work = dataclasses.replace(commit.work, in_doubt=False)
        return outcome.finish(now, work, answer)
    if now >= commit.work.deadline:
        return outcome.expire(now, commit.work)
    return None


def is_durable(commit: items.Committed, view: views.GroupView) -> bool:
    """Returns whether `commit` has the durability that its service declares.

    A commit whose answer is an error has recorded that its request never ran.
    That record must survive every failover, so it always needs a majority.
    """
    durability = commit.work.service.durability
    if (
        durability is document.Durability.PRIMARY
        and commit.answer.error is None
    ):
        return view.confirmed_at >= commit.at
    return view.count_holders(commit.position) >= len(view.states) // 2 + 1


def _retry_in_doubt(
    commit: items.Committed, view: views.GroupView | None, now: float
) -> items.RetryNeeded:
    work = dataclasses.replace(
        commit.work,
        in_doubt=True,
        suggested="",
        error=errors.NoPrimaryError("commit was not confirmed by this proxy"),
    )
    brief = route.group_brief(view) if view is not None else None
    return items.RetryNeeded(now, work, brief)
