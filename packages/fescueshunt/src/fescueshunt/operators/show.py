"""Filter that answers SHOW from the newest views of the other pipes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import filters, queries, settings_sync, statements, views
from fescueshunt.core import items as core_items
from fescueshunt.operators import listings, show_state

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.core import identity


class Show(filters.Filter):
    """Keeps the newest views and answers SHOW statements from them."""

    def __init__(self, local_proxy: identity.Identity) -> None:
        self._state = show_state.ShowState(local_proxy)

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields answers to SHOW; views and messages from peers end here."""
        match item:
            case queries.LocalQuery(statement=statements.Show()):
                yield from self._answer(item)
            case views.SettingsView():
                self._state.document = item.document
                self._remove_undeclared_databases()
            case views.FleetView():
                self._state.fleet = item
                self._remove_former_members()
            case views.GroupView():
                self._state.groups[item.database] = item
            case core_items.PeerReceived(
                message=settings_sync.SettingsDigest() as digest
            ):
                self._record_revision(item.at, item.sender, digest.revision)
            case core_items.PeerReceived(
                message=settings_sync.SettingsOffer() as offer
            ):
                self._record_revision(
                    item.at, item.sender, offer.document.revision
                )
            case core_items.PeerReceived(
                message=settings_sync.SettingsPatch() as message
            ):
                revision = message.patch.changed.revision
                self._record_revision(item.at, item.sender, revision)
            case core_items.PeerReceived():
                pass
            case _:
                yield item

    def _answer(self, query: queries.LocalQuery) -> Iterator[filters.Item]:
        listing = listings.LISTINGS.get(query.statement.subject)
        if listing is None:
            yield query
            return
        rows = tuple(listing.rows(self._state, query.at))
        table = statements.Table(listing.columns, rows)
        answer = statements.OperatorAnswer(table)
        yield queries.LocalReply(query.at, query.number, answer)

    def _record_revision(
        self, now: float, peer_name: str, revision: int
    ) -> None:
        self._state.peer_revisions[peer_name] = show_state.PeerRevision(
            revision, now
        )

    def _remove_undeclared_databases(self) -> None:
        declared = {entry.name for entry in self._state.document.databases}
        for name in self._state.groups.keys() - declared:
            del self._state.groups[name]

    def _remove_former_members(self) -> None:
        members = {member.name for member in self._state.fleet.members}
        for name in self._state.peer_revisions.keys() - members:
            del self._state.peer_revisions[name]
