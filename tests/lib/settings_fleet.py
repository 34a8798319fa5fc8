"""Simulates the settings pipes of many proxies.

The network, the store and the clock are simulated as well.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import random

from fescueshunt import errors
from fescueshunt.core import document, filters, identity, items, views
from fescueshunt.settings import pipe

TICK_S = 0.02
HOP_S = 0.0014


@dataclasses.dataclass(slots=True)
class FakeStore:
    """A settings store that can be down or return an old document.

    Attributes:
      documents: all accepted documents, oldest first.
      down: whether every read fails.
      revisions_behind: how many revisions the document returned by a read is
        behind the newest one.
      calls: the number of reads that proxies have started.
    """

    documents: list[document.Document] = dataclasses.field(
        default_factory=lambda: [document.Document()]
    )
    down: bool = False
    revisions_behind: int = 0
    calls: int = 0

    def read(self) -> document.Document:
        """Returns the document that a proxy reads at this time."""
        return self.documents[
            max(len(self.documents) - 1 - self.revisions_behind, 0)
        ]

    def accept(self) -> document.Document:
        """Adds an empty document with the next revision, and returns it."""
        accepted = document.Document(revision=len(self.documents))
        self.documents.append(accepted)
        return accepted


class SettingsFleet:
    """Runs the settings pipe of each proxy on one simulated clock.

    Attributes:
      now: the current time, in seconds.
      store: the settings store of all proxies.
      published: the revisions that each proxy put in force since its start, by
        the proxy's name.
      sent: the number of messages sent between proxies, by type name.
    """

    def __init__(self, size: int, zones: int = 4, seed: int = 1) -> None:
        self.now = 0.0
        self.store = FakeStore()
        self.published: dict[str, list[int]] = {}
        self.sent = collections.Counter()
        self._size = size
        self._seed = seed
        self._cores: dict[str, filters.Core] = {}
        self._events: list = []
        self._event_numbers = itertools.count()
        self._fleet_view = views.FleetView(
            0.0,
            tuple(
                views.Member(f"p{n}", f"z{n % zones}", "", 1)
                for n in range(size)
            ),
        )

    def start(self, name: str) -> None:
        """Starts the proxy `name`, or restarts it with empty state."""
        member = self._fleet_view.find(name)
        local_proxy = identity.Identity(name, member.zone, "")
        rng = random.Random(f"{self._seed}/{name}")
        self._cores[name] = filters.Core((pipe.build(local_proxy, rng),))
        self.published[name] = []
        self.feed(name, dataclasses.replace(self._fleet_view, at=self.now))

    def start_all(self) -> None:
        """Starts every proxy."""
        for member in self._fleet_view.members:
            self.start(member.name)

    def run(self, seconds: float) -> None:
        """Advances the clock and feeds each proxy a tick every TICK_S."""
        end = self.now + seconds
        tick_at = self.now
        while tick_at < end:
            tick_at += TICK_S
            self._deliver(tick_at)
            self.now = tick_at
            for name in tuple(self._cores):
                self.feed(name, filters.Tick(tick_at, tick_at))

    def feed(self, name: str, item: filters.Item) -> None:
        """Feeds one item to a proxy and schedules the resulting events."""
        for effect in self._cores[name].feed(item):
            match effect:
                case views.SettingsView():
                    self.published[name].append(effect.document.revision)
                case items.SendPeer():
                    self.sent[type(effect.message).__name__] += 1
                    self._schedule(
                        self.now + HOP_S,
                        effect.name,
                        items.PeerReceived(0.0, name, effect.message),
                    )
                case items.ReadSettings():
                    self._start_read(name, effect)

    def revisions(self) -> set[int]:
        """Returns the revisions in force in any proxy; 0 stands for none."""
        return {
            max(published, default=0) for published in self.published.values()
        }

    def _start_read(self, name: str, call: items.ReadSettings) -> None:
        self.store.calls += 1
        is_new = self.store.read().revision > call.above
        wait_s = (
            HOP_S
            if is_new or self.store.revisions_behind
            else call.wait_s + HOP_S
        )
        self._schedule(self.now + wait_s, name, call)

    def _answer_read(self, name: str) -> None:
        if self.store.down:
            failed = errors.StoreUnavailableError()
            self.feed(name, items.SettingsReadFailed(self.now, failed))
            return
        stored = self.store.read()
        self.feed(name, items.SettingsRead(self.now, stored, stored.revision))

    def answer_waiting_reads(self) -> None:
        """Answers all waiting reads, as the store does when it changes."""
        waiting, self._events = self._events, []
        for at, _, name, item in waiting:
            is_read = isinstance(item, items.ReadSettings)
            self._schedule(self.now + HOP_S if is_read else at, name, item)

    def _schedule(self, at: float, name: str, item: filters.Item) -> None:
        heapq.heappush(
            self._events, (at, next(self._event_numbers), name, item)
        )

    def _deliver(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            at, _, name, item = heapq.heappop(self._events)
            if name not in self._cores:
                continue
            self.now = at
            if isinstance(item, items.ReadSettings):
                self._answer_read(name)
            else:
                self.feed(name, dataclasses.replace(item, at=at))
