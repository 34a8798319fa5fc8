"""SHOW: answers of what is in force, from the views of the other pipes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import filters, queries, settings_sync, statements, views
from fescueshunt.core import items as core_items
from fescueshunt.operators import known, listings

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.core import identity


class Show(filters.Filter):
    """Keeps the newest views and lists what they say."""

    def __init__(self, me: identity.Identity) -> None:
        self._known = known.Known(me)

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields answers."""
        match item:
            case queries.LocalQuery(statement=statements.Show()):
                yield from self._answer(item)
            case views.SettingsView():
                self._known.document = item.document
                self._forget_databases()
            case views.FleetView():
                self._known.fleet = item
                self._forget_proxies()
            case views.GroupView():
                self._known.groups[item.database] = item
            case core_items.PeerReceived(
                message=settings_sync.SettingsDigest() as digest
            ):
                self._hear(item.at, item.sender, digest.revision)
            case core_items.PeerReceived(
                message=settings_sync.SettingsOffer() as offer
            ):
                self._hear(item.at, item.sender, offer.document.revision)
            case core_items.PeerReceived(
                message=settings_sync.SettingsPatch() as message
            ):
                revision = message.patch.changed.revision
                self._hear(item.at, item.sender, revision)
            case core_items.PeerReceived():
                pass
            case _:
                yield item

    def _answer(self, asked: queries.LocalQuery) -> Iterator[filters.Item]:
        listing = listings.LISTINGS.get(asked.statement.subject)
        if listing is None:
            yield asked
            return
        rows = tuple(listing.rows(self._known, asked.at))
        table = statements.Table(listing.columns, rows)
        answer = statements.OperatorAnswer(table)
        yield queries.LocalReply(asked.at, asked.number, answer)

    def _hear(self, now: float, name: str, revision: int) -> None:
        self._known.heard[name] = known.Heard(revision, now)

    def _forget_databases(self) -> None:
        declared = {entry.name for entry in self._known.document.databases}
        for name in self._known.groups.keys() - declared:
            del self._known.groups[name]

    def _forget_proxies(self) -> None:
        members = {member.name for member in self._known.fleet.members}
        for name in self._known.heard.keys() - members:
            del self._known.heard[name]
