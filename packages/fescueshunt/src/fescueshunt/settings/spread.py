"""The spread of settings between proxies, at a constant cost for each.

Digests go to a constant number of peers each period and at once after a
change (a rumour with anti-entropy). Who asks gets a patch of the revision it
has, and the whole document only where that isn't kept.
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
ASK_TIMEOUT_S = 0.3
OFFER_BYTES_PER_S = 4_000
OFFER_BURST_BYTES = 64_000
ENTRY_BYTES = 120
KEPT = 8
REACHABLE = frozenset(views.MemberState) - {views.MemberState.DEAD}


@dataclasses.dataclass(slots=True)
class SpreadState:
    """What the spread remembers.

    Attributes:
      document: what is in force here.
      kept: the newest documents that were in force, by revision.
      patches: from kept revisions to the document; None where there is none.
      peers: names of the other proxies that may be reached.
      send_at: when the next digests are due.
      asked_at: when a peer was last asked for its document.
      budget: bytes of documents that may be sent now; may be negative.
      budget_at: when `budget` was brought up to date.
    """

    document: document.Document = document.Document()
    kept: dict[int, document.Document] = dataclasses.field(default_factory=dict)
    patches: dict[int, patch.Patch | None] = dataclasses.field(
        default_factory=dict
    )
    peers: tuple[str, ...] = ()
    send_at: float = float("-inf")
    asked_at: float = float("-inf")
    budget: float = OFFER_BURST_BYTES
    budget_at: float = 0.0


class Spread(filters.Filter):
    """Tells peers of the revision in force, and offers or asks for more."""

    def __init__(self, me: identity.Identity, chance: random.Random) -> None:
        self._me = me
        self._chance = chance
        self._state = SpreadState()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields messages to peers; other items pass on."""
        match item:
            case views.FleetView():
                self._state.peers = tuple(
                    member.name
                    for member in item.members
                    if member.name != self._me.name
                    and member.state in REACHABLE
                )
            case views.SettingsView():
                self._keep(item.document)
                yield item
                yield from self._tell(item.at)
            case filters.Tick():
                yield from self._tick(item.at)
                yield item
            case core_items.PeerReceived(
                message=settings_sync.SettingsDigest()
            ):
                yield from self._compare(item.at, item.sender, item.message)
            case core_items.PeerReceived():
                pass
            case _:
                yield item

    def _keep(self, value: document.Document) -> None:
        state = self._state
        state.document = value
        state.kept[value.revision] = value
        state.patches.clear()
        if len(state.kept) > KEPT:
            del state.kept[next(iter(state.kept))]

    def _tick(self, now: float) -> Iterator[filters.Item]:
        if now < self._state.send_at:
            return
        has_joined = self._state.document.revision > 0
        period_s = PERIOD_S if has_joined else JOIN_PERIOD_S
        self._state.send_at = now + period_s
        yield from self._tell(now)

    def _tell(self, now: float) -> Iterator[filters.Item]:
        revision = self._state.document.revision
        peers = self._state.peers
        chosen = self._chance.sample(peers, min(FANOUT, len(peers)))
        for name in chosen:
            digest = settings_sync.SettingsDigest(revision, asks=revision == 0)
            yield core_items.SendPeer(now, name, digest)

    def _compare(
        self, now: float, sender: str, theirs: settings_sync.SettingsDigest
    ) -> Iterator[filters.Item]:
        mine = self._state.document.revision
        if theirs.revision > mine:
            yield from self._ask(now, sender)
        elif theirs.asks and theirs.revision < mine:
            yield from self._offer(now, sender, theirs.revision)
        elif theirs.asks or theirs.revision < mine:
            yield _send(now, sender, settings_sync.SettingsDigest(mine))

    def _ask(self, now: float, sender: str) -> Iterator[filters.Item]:
        if now - self._state.asked_at < ASK_TIMEOUT_S:
            return
        self._state.asked_at = now
        mine = self._state.document.revision
        digest = settings_sync.SettingsDigest(mine, asks=True)
        yield _send(now, sender, digest)

    def _offer(
        self, now: float, sender: str, revision: int
    ) -> Iterator[filters.Item]:
        state = self._state
        refill = (now - state.budget_at) * OFFER_BYTES_PER_S
        state.budget = min(state.budget + refill, OFFER_BURST_BYTES)
        state.budget_at = now
        if state.budget <= 0:
            return
        found = self._patch_from(revision)
        if found is not None:
            state.budget -= estimated_bytes(found.changed)
            yield _send(now, sender, settings_sync.SettingsPatch(found))
        else:
            state.budget -= estimated_bytes(state.document)
            offer = settings_sync.SettingsOffer(state.document)
            yield _send(now, sender, offer)

    def _patch_from(self, revision: int) -> patch.Patch | None:
        """Returns the patch from a kept revision; each is made once."""
        state = self._state
        if revision not in state.patches and revision in state.kept:
            before = state.kept[revision]
            found = patch.diff(before, state.document)
            state.patches[revision] = found
        return state.patches.get(revision)


def estimated_bytes(value: document.Document) -> int:
    """Returns about how many bytes `value` takes in a frame."""
    upstreams = sum(len(entry.upstreams) for entry in value.databases)
    entries = len(value.ranks) + len(value.groups) + len(value.databases)
    entries += len(value.services) + len(value.calendar) + upstreams
    entries += len(value.draining_hosts) + 2 * len(value.history) + 1
    return entries * ENTRY_BYTES


def _send(
    now: float, name: str, message: peer.PeerMessage
) -> core_items.SendPeer:
    return core_items.SendPeer(now, name, message)
