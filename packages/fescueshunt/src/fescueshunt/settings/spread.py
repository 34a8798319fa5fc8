"""Gossip filter: spreads settings at a constant cost per proxy.

A proxy sends its revision to FANOUT peers periodically and immediately after a
change (rumor mongering with anti-entropy). A peer that asks for settings gets a
patch for the revision that it has, or the complete document if there is no such
patch, for example because the proxy no longer keeps that revision.
Source: Demers et al., "Epidemic algorithms for replicated database
maintenance", PODC 1987.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import document, filters, patch, settings_sync, views
from fescueshunt.core import items as core_items

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

    from fescueshunt.core import identity, peer

FANOUT = 2
PERIOD_S = 0.5
JOIN_PERIOD_S = 0.1
REQUEST_TIMEOUT_S = 0.3
OFFER_BYTES_PER_S = 4_000
OFFER_BURST_BYTES = 64_000
ESTIMATED_ENTRY_BYTES = 120
MAX_RECENT_DOCUMENTS = 8
REACHABLE_STATES = frozenset(views.MemberState) - {views.MemberState.DEAD}


@dataclasses.dataclass(slots=True)
class GossipState:
    """The state of the filter. Times are in seconds, local clock.

    Attributes:
      document: the settings in force in this proxy.
      recent_documents: the newest documents that were in force, by revision.
      patches: the patch from each kept revision to `document`, or None if a
        patch cannot express the difference.
      peers: the names of the other proxies, except for dead ones.
      next_digests_at: when the next periodic digests are due.
      last_requested_at: when this proxy last requested a document from a peer.
      available_bytes: the size of the documents that may be sent now, in bytes.
        Negative after a document larger than this was sent.
      refilled_at: when `available_bytes` was last refilled.
    """

    document: document.Document = document.Document()
    recent_documents: dict[int, document.Document] = dataclasses.field(
        default_factory=dict
    )
    patches: dict[int, patch.Patch | None] = dataclasses.field(
        default_factory=dict
    )
    peers: tuple[str, ...] = ()
    next_digests_at: float = float("-inf")
    last_requested_at: float = float("-inf")
    available_bytes: float = OFFER_BURST_BYTES
    refilled_at: float = 0.0


class Gossip(filters.Filter):
    """Sends digests of the revision in force, and exchanges newer settings.

    Sent documents and patches are limited to OFFER_BYTES_PER_S on average, with
    bursts of up to OFFER_BURST_BYTES.
    """

    def __init__(
        self, local_proxy: identity.Identity, rng: random.Random
    ) -> None:
        self._local_proxy = local_proxy
        self._rng = rng
        self._state = GossipState()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields messages to peers.

        Fleet views and messages from peers end here; other items pass through.
        """
        match item:
            case views.FleetView():
                self._state.peers = tuple(
                    member.name
                    for member in item.members
                    if member.name != self._local_proxy.name
                    and member.state in REACHABLE_STATES
                )
            case views.SettingsView():
                self._update_document(item.document)
                yield item
                yield from self._send_digests(item.at)
            case filters.Tick():
                yield from self._handle_tick(item.at)
                yield item
            case core_items.PeerReceived(
                message=settings_sync.SettingsDigest()
            ):
                yield from self._handle_digest(
                    item.at, item.sender, item.message
                )
            case core_items.PeerReceived():
                pass
            case _:
                yield item

    def _update_document(self, settings: document.Document) -> None:
        state = self._state
        state.document = settings
        state.recent_documents[settings.revision] = settings
        state.patches.clear()
        if len(state.recent_documents) > MAX_RECENT_DOCUMENTS:
            del state.recent_documents[next(iter(state.recent_documents))]

    def _handle_tick(self, now: float) -> Iterator[filters.Item]:
        if now < self._state.next_digests_at:
            return
        has_joined = self._state.document.revision > 0
        period_s = PERIOD_S if has_joined else JOIN_PERIOD_S
        self._state.next_digests_at = now + period_s
        yield from self._send_digests(now)

    def _send_digests(self, now: float) -> Iterator[filters.Item]:
        revision = self._state.document.revision
        peers = self._state.peers
        targets = self._rng.sample(peers, min(FANOUT, len(peers)))
        for name in targets:
            digest = settings_sync.SettingsDigest(revision, asks=revision == 0)
            yield core_items.SendPeer(now, name, digest)

    def _handle_digest(
        self, now: float, sender: str, digest: settings_sync.SettingsDigest
    ) -> Iterator[filters.Item]:
        local_revision = self._state.document.revision
        if digest.revision > local_revision:
            yield from self._request_document(now, sender)
        elif digest.asks and digest.revision < local_revision:
            yield from self._send_newer_settings(now, sender, digest.revision)
        elif digest.asks or digest.revision < local_revision:
            yield _send(
                now, sender, settings_sync.SettingsDigest(local_revision)
            )

    def _request_document(
        self, now: float, sender: str
    ) -> Iterator[filters.Item]:
        if now - self._state.last_requested_at < REQUEST_TIMEOUT_S:
            return
        self._state.last_requested_at = now
        local_revision = self._state.document.revision
        digest = settings_sync.SettingsDigest(local_revision, asks=True)
        yield _send(now, sender, digest)

    def _send_newer_settings(
        self, now: float, sender: str, revision: int
    ) -> Iterator[filters.Item]:
        state = self._state
        refill = (now - state.refilled_at) * OFFER_BYTES_PER_S
        state.available_bytes = min(
            state.available_bytes + refill, OFFER_BURST_BYTES
        )
        state.refilled_at = now
        if state.available_bytes <= 0:
            return
        difference = self._patch_from(revision)
        if difference is not None:
            state.available_bytes -= estimate_bytes(difference.changed)
            yield _send(now, sender, settings_sync.SettingsPatch(difference))
        else:
            state.available_bytes -= estimate_bytes(state.document)
            offer = settings_sync.SettingsOffer(state.document)
            yield _send(now, sender, offer)

    def _patch_from(self, revision: int) -> patch.Patch | None:
        """Returns the patch from `revision` to the settings in force.

        Returns None if the revision is no longer kept or a patch cannot express
        the difference. A patch is computed once and then cached.
        """
        state = self._state
        if revision not in state.patches and revision in state.recent_documents:
            before = state.recent_documents[revision]
            difference = patch.diff(before, state.document)
            state.patches[revision] = difference
        return state.patches.get(revision)


def estimate_bytes(settings: document.Document) -> int:
    """Returns an estimate of the encoded size of `settings`, in bytes."""
    upstreams = sum(len(entry.upstreams) for entry in settings.databases)
    entries = (
        len(settings.ranks) + len(settings.groups) + len(settings.databases)
    )
    entries += len(settings.services) + len(settings.calendar) + upstreams
    entries += len(settings.draining_hosts) + 2 * len(settings.history) + 1
    return entries * ESTIMATED_ENTRY_BYTES


def _send(
    now: float, name: str, message: peer.PeerMessage
) -> core_items.SendPeer:
    return core_items.SendPeer(now, name, message)
