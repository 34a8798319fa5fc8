"""Simulates hosts that share the quota of one account, on a fake clock.

Each host has the real gate, takeover pipe and quota pipe. Messages on a link
arrive in order, with random delays. Hosts may be killed, cut off from each
other or frozen, and the duty moves between them as its lease allows.
"""

from __future__ import annotations

import dataclasses
import itertools
import random

from fescueshunt.core import (
    accounts,
    filters,
    hosts,
    identity,
    peer_items,
    quotas,
    routes,
    sessions,
    store_items,
    texts,
)
from fescueshunt.quota import pipe as quota_pipe
from fescueshunt.sessions import items, quota_gate
from fescueshunt.takeover import pipe as takeover_pipe
from lib import replica_set_views, session_load, timeline

TICK_S = 0.02
ACCOUNT = texts.Word("acme")
BOUND = quotas.Bound(window_s=5.0, overage=0.1, slack=20.0)
LEASE_S = 1.2
GATED = (
    filters.Tick,
    items.JobSubmitted,
    quotas.ShareChanged,
    routes.RoutesView,
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Passed(filters.Item):
    """The gate has passed an operation on."""


class _Recorder(filters.Filter):
    """Stands behind the gate, in place of what runs statements."""

    def process(self, item: filters.Item):
        if isinstance(item, items.JobSubmitted):
            yield _Passed(item.at)
        else:
            yield item


@dataclasses.dataclass(slots=True, eq=False)
class Host:
    """A host process.

    Attributes:
      number: its number in the fleet.
      incarnation: which process of the host it is.
      core: its gate and its quota pipe.
      frozen_until: until when it stands still.
      deferred: what arrived meanwhile.
    """

    number: int
    incarnation: int
    core: filters.Core
    frozen_until: float = 0.0
    deferred: list[filters.Item] = dataclasses.field(default_factory=list)

    @property
    def name(self) -> str:
        """The name of the host."""
        return f"h{self.number}"


class QuotaFleet(timeline.VirtualClock):
    """Hosts with operations of one account.

    Attributes:
      ran_at: when an operation was passed on, in order.
      refused_at: when one was refused.
      quota: the quota in force.
    """

    def __init__(self, count: int, quota: accounts.Quota, seed: int) -> None:
        super().__init__()
        self.rng = random.Random(seed)
        self.ran_at: list[float] = []
        self.refused_at: list[float] = []
        self.quota = quota
        self.hosts: dict[int, Host] = {}
        self.cut: set[frozenset[int]] = set()
        self.held_up: set[frozenset[int]] = set()
        self._silent: set[int] = set()
        self._infos = {
            f"h{n}": hosts.HostInfo(f"h{n}", "z", f"127.0.0.1:{n + 1}")
            for n in range(count)
        }
        self._incarnations = itertools.count(1)
        self._links: dict[tuple[int, int], int] = {}
        self._link_ends: dict[int, tuple[int, int]] = {}
        self._arrivals: dict[tuple[int, int], float] = {}
        self._link_ids = itertools.count(1)
        self._revisions = itertools.count(1)
        self._clients = itertools.count(1)
        self._duty: store_items.StoredKey | None = None
        self._duty_until: dict[int, float] = {}
        for number in range(count):
            self.start(number)
        self.move_duty(0)
        self._tick()

    # Hosts.

    def start(self, number: int) -> None:
        """Starts a host, or a new process of it."""
        incarnation = next(self._incarnations)
        own = identity.Identity(f"h{number}", "z", "127.0.0.1:9", incarnation)
        gate = quota_gate.QuotaGate(BOUND, random.Random(incarnation))
        core = filters.Core(
            (
                filters.Pipe((gate, _Recorder()), GATED),
                takeover_pipe.build(own),
                quota_pipe.build(own, BOUND),
            )
        )
        host = Host(number, incarnation, core)
        self.hosts[number] = host
        self.feed(host, self._routes())
        view = store_items.LiveHostsView(
            self.now, frozenset(self._infos), self._infos
        )
        self.feed(host, view)
        entry = replica_set_views.make_entry("u0")
        reached = replica_set_views.make_view([entry], "u0", now=self.now)
        self.feed(host, reached)
        if self._duty is not None:
            keys = {store_items.DUTY_KEY: self._duty}
            self.feed(host, store_items.KeysListed(self.now, keys, 1))

    def kill(self, number: int) -> None:
        """Ends a process; its links end at once."""
        del self.hosts[number]
        for other in list(self.hosts):
            self._end_link(other, number)
            self._end_link(number, other)

    def freeze(self, number: int, seconds: float) -> None:
        """Lets a host stand still; what arrives is handled afterwards."""
        host = self.hosts[number]
        host.frozen_until = self.now + seconds
        self.call_later(seconds, lambda: self._thaw(host))

    def _thaw(self, host: Host) -> None:
        deferred, host.deferred = host.deferred, []
        for item in deferred:
            self.feed(host, dataclasses.replace(item, at=self.now))

    def set_quota(self, quota: accounts.Quota) -> None:
        """Puts another quota in force at all hosts."""
        self.quota = quota
        for host in list(self.hosts.values()):
            self.feed(host, self._routes())

    def _routes(self) -> routes.RoutesView:
        account = accounts.Account(ACCOUNT, self.quota)
        directory = accounts.Directory({ACCOUNT: account}, {})
        return routes.RoutesView(self.now, 1, {}, {}, 3.0, directory)

    # The duty.

    def move_duty(
        self, number: int, unaware: frozenset[int] = frozenset()
    ) -> None:
        """Gives the duty to a host, once the lease of the last has ended.

        Args:
          number: the number of the host.
          unaware: the hosts that don't learn of it.
        """
        self._duty_until = {number: float("inf")}
        revision = next(self._revisions)
        self._duty = store_items.StoredKey(f"h{number}", revision, revision)
        for host in list(self.hosts.values()):
            if host.number in unaware:
                continue
            if host.number == number:
                self._extend_lease(host)
            # A host that is cut off from the store learns of it late.
            is_cut_off = host.number != number and self.rng.random() < 0.1
            delay_s = self.rng.uniform(0, 6.0 if is_cut_off else 0.1)
            self.call_later(delay_s, self._duty_news(host, self._duty))

    def lose_duty(self) -> None:
        """Lets the lease of the duty's holder end; its host may not know."""
        until = self.now + LEASE_S
        self._duty_until = dict.fromkeys(self._duty_until, until)

    def _duty_news(self, host: Host, stored: store_items.StoredKey):
        item = store_items.KeyChanged(
            self.now, store_items.DUTY_KEY, stored, stored.revision
        )
        return lambda: self.feed(host, dataclasses.replace(item, at=self.now))

    def _extend_lease(self, host: Host) -> None:
        until = min(self._duty_until.get(host.number, 0.0), self.now + LEASE_S)
        lease = self._duty.lease if self._duty is not None else 0
        if until > self.now:
            self.feed(host, store_items.LeaseView(self.now, lease, until))

    # Time and operations.

    def _tick(self) -> None:
        self.call_later(TICK_S, self._tick)
        for host in list(self.hosts.values()):
            if host.number in self._duty_until:
                self._extend_lease(host)
            self.feed(host, filters.Tick(self.now, 0.0))

    def add_load(
        self, rate_per_s: float, duration_s: float, hosts_used: list[int]
    ) -> None:
        """Lets operations of the account arrive at some of the hosts."""
        end = self.now + duration_s

        def arrive() -> None:
            if self.now < end:
                self.operate(self.rng.choice(hosts_used))
                self.call_later(self.rng.expovariate(rate_per_s), arrive)

        arrive()

    def operate(self, number: int) -> None:
        """Lets an operation arrive at a host."""
        host = self.hosts.get(number)
        if host is None:
            return
        statement = sessions.Statement(
            texts.Word("s"), sessions.Verb.READ, texts.Line("READ x")
        )
        job = session_load.make_job(
            next(self._clients),
            ACCOUNT,
            statement,
            session_load.make_route(0),
            self.now,
        )
        job.connection_account = ACCOUNT
        self.feed(host, items.JobSubmitted(self.now, job))

    def feed(self, host: Host, item: filters.Item) -> None:
        """Feeds an item to a host and carries out its effects."""
        if self.hosts.get(host.number) is not host:
            return
        if self.now < host.frozen_until:
            if not isinstance(item, filters.Tick):
                host.deferred.append(item)
            return
        for effect in host.core.feed(item):
            match effect:
                case _Passed():
                    self.ran_at.append(self.now)
                case items.JobFinished():
                    self.refused_at.append(self.now)
                case peer_items.AskPeer():
                    self._ask(host, effect)
                case peer_items.AnswerPeer():
                    self._answer(host, effect)
                case peer_items.DropPeer():
                    self._drop(host, int(effect.host[1:]))

    # Links.

    def _ask(self, host: Host, asked: peer_items.AskPeer) -> None:
        target = int(asked.host[1:])
        ends = (host.number, target)
        if frozenset(ends) in self.cut or target not in self.hosts:
            self.call_later(0.05, lambda: self._lose(host, asked.host))
            return
        if ends not in self._links:
            link = next(self._link_ids)
            self._links[ends] = link
            self._link_ends[link] = ends
        link = self._links[ends]
        item = peer_items.PeerAsked(self.now, link, host.name, asked.message)
        self._deliver((link, 0), target, link, item)

    def _answer(self, host: Host, answered: peer_items.AnswerPeer) -> None:
        ends = self._link_ends.get(answered.link)
        if ends is None or self._links.get(ends) != answered.link:
            return
        item = peer_items.PeerAnswered(self.now, host.name, answered.message)
        self._deliver((answered.link, 1), ends[0], answered.link, item)

    def _deliver(
        self, way: tuple[int, int], target: int, link: int, item: filters.Item
    ) -> None:
        """Delivers an item in order, unless the link ends before."""
        delay_s = self.rng.uniform(0.001, 0.01)
        ends = self._link_ends[link]
        if frozenset(ends) in self.held_up:
            delay_s += self.rng.uniform(0.5, 4.0)
        at = max(self.now + delay_s, self._arrivals.get(way, 0.0) + 1e-6)
        self._arrivals[way] = at

        def arrive() -> None:
            host = self.hosts.get(target)
            is_open = self._links.get(ends) == link and link not in self._silent
            if host is not None and is_open:
                self.feed(host, dataclasses.replace(item, at=self.now))

        self.call_later(at - self.now, arrive)

    def silence(self, number: int) -> None:
        """Lets the open links of a host carry nothing any more."""
        self._silent |= {
            link
            for (opener, _), link in self._links.items()
            if opener == number
        }

    def _drop(self, host: Host, target: int) -> None:
        """Ends a link for its opener, who knows."""
        link = self._links.pop((host.number, target), None)
        if link is not None and target in self.hosts:
            ended = peer_items.PeerLinkEnded(self.now, link)
            self.feed(self.hosts[target], ended)

    def cut_link(self, number: int, other: int) -> None:
        """Cuts two hosts off from each other; links end."""
        self.cut.add(frozenset((number, other)))
        self._end_link(number, other)
        self._end_link(other, number)

    def _end_link(self, opener: int, target: int) -> None:
        link = self._links.pop((opener, target), None)
        if link is None:
            return
        if opener in self.hosts:
            self._lose(self.hosts[opener], f"h{target}")
        if target in self.hosts:
            ended = peer_items.PeerLinkEnded(self.now, link)
            self.feed(self.hosts[target], ended)

    def _lose(self, host: Host, name: str) -> None:
        self.feed(host, peer_items.PeerLost(self.now, name))

    # What tests look at.

    def most_in_window(self, since: float, until: float) -> int:
        """Returns the most operations that ran within one window."""
        times = [at for at in self.ran_at if since <= at <= until]
        most, first = 0, 0
        for index, at in enumerate(times):
            while at - times[first] > BOUND.window_s:
                first += 1
            most = max(most, index - first + 1)
        return most


def allowed(quota: accounts.Quota) -> float:
    """Returns how many operations may run in any window."""
    base = quota.rate_per_s * BOUND.window_s + quota.burst
    return base * (1 + BOUND.overage) + BOUND.slack
