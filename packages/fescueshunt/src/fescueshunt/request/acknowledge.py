"""Acknowledgement: when a committed write may be called done."""

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
    """Holds commits until a majority of the group is seen to have them.

    A write whose term is over before that goes back to be settled by the
    ledger at the new primary, and so does one of a database that this proxy
    doesn't watch any more, since its group view ends. One that isn't confirmed
    by its deadline has an unknown outcome.
    """

    def __init__(self, me: identity.Identity) -> None:
        self._me = me
        self._held: dict[str, list[items.Committed]] = {}
        self._groups: dict[str, views.GroupView] = {}
        self._settings = document.Document()
        self._fleet = views.FleetView(0.0, ())
        self._watched: frozenset[str] = frozenset()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields the answers of commits as the group view confirms them."""
        match item:
            case items.Committed():
                database = item.work.req.database
                self._held.setdefault(database, []).append(item)
                yield from self._review(database, item.at)
            case views.GroupView():
                self._groups[item.database] = item
                yield item
                yield from self._review(item.database, item.at)
            case views.SettingsView():
                self._settings = item.document
                self._note_watched()
                yield item
            case views.FleetView():
                self._fleet = item
                self._note_watched()
                yield item
            case filters.Tick():
                yield item
                for database in list(self._held):
                    yield from self._review(database, item.at)
            case _:
                yield item

    def _review(self, database: str, now: float) -> Iterator[filters.Item]:
        view = self._groups.get(database)
        watched = database in self._watched
        kept: list[items.Committed] = []
        for held in self._held.pop(database, []):
            decided = _decide(held, view, now)
            if decided is None and not watched:
                decided = _settle(held, view, now)
            if decided is None:
                kept.append(held)
            else:
                yield decided
        if kept:
            self._held[database] = kept

    def _note_watched(self) -> None:
        watched = homes.watched_databases(
            self._settings.databases, self._fleet, self._me.name
        )
        self._watched = frozenset(database.name for database in watched)


def _decide(
    held: items.Committed, view: views.GroupView | None, now: float
) -> filters.Item | None:
    if view is not None and view.term > held.position.term:
        return _settle(held, view, now)
    if view is not None and is_confirmed(held, view):
        token = held.position if held.answer.error is None else None
        answer = dataclasses.replace(held.answer, token=token)
        work = dataclasses.replace(held.work, in_doubt=False)
        return outcome.finish(now, work, answer)
    if now >= held.work.deadline:
        return outcome.expire(now, held.work)
    return None


def is_confirmed(held: items.Committed, view: views.GroupView) -> bool:
    """Tells whether the durability that the service declares is reached.

    That an id never ran has to outlast every failover.
    """
    declared = held.work.service.durability
    if declared is document.Durability.PRIMARY and held.answer.error is None:
        return view.confirmed_at >= held.at
    return view.count_holders(held.position) >= len(view.states) // 2 + 1


def _settle(
    held: items.Committed, view: views.GroupView | None, now: float
) -> items.Retried:
    work = dataclasses.replace(
        held.work,
        in_doubt=True,
        suggested="",
        error=errors.NoPrimaryError("not confirmed here"),
    )
    brief = route.brief_of(view) if view is not None else None
    return items.Retried(now, work, brief)
