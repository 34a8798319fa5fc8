"""Cores of hosts over a store and a replica set in memory, on one clock.

Everything that happens is an event at a virtual time; the seed decides the
rest. Pairs in `cut` have no path: what is sent is lost, as in a partition.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable

from fescueshunt import errors, hosted
from fescueshunt.core import (
    filters,
    identity,
    position,
    replica_sets,
    session_items,
    sessions,
    store_items,
)
from fescueshunt.routing import items as routing_items
from fescueshunt.sessions import items as pipe_items
from fescueshunt_standins.hosted import kv, replicas, statements
from lib import hosted_routes, hosted_store, timeline

TICK_S = 0.02
HOP_S = 0.001
STORE_S = 0.004
STORE_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 0.8
PROMOTE_S = 0.3
DATABASE = hosted_routes.DATABASE
ROUTES = hosted_routes.ROUTES
STORE = "store"
DUTY_KEY = store_items.DUTY_KEY
ORIGIN = position.Position(position.Term(1), 0)
HOSTS_PREFIX = store_items.HOSTS_PREFIX
LOST = errors.ConnectionLostError("cut")


@dataclasses.dataclass(slots=True, eq=False)
class Link:
    """A connection of a host to a member."""

    host: str
    session: statements.UpstreamSession
    open: bool = True

    @property
    def member(self) -> replicas.Member:
        return self.session.member


@dataclasses.dataclass(slots=True, eq=False)
class Host:
    """A host's core, and what has to be kept for it."""

    name: str
    core: filters.Core
    links: dict[int, Link] = dataclasses.field(default_factory=dict)
    watched: int | None = None
    frozen_until: float = 0.0
    held_back: list[filters.Item] = dataclasses.field(default_factory=list)
    decisions: list[session_items.LogDecision] = dataclasses.field(
        default_factory=list
    )
    ready: bool = False


class World(timeline.VirtualClock):
    """Hosts, a store, a replica set of three, and the clock."""

    def __init__(self, seed: int = 0, hosts: int = 3) -> None:
        super().__init__()
        self.chance = random.Random(seed)
        self.store = kv.KeyValueStore()
        self.cut: set[frozenset[str]] = set()
        self.answers: dict[tuple[str, int], Callable] = {}
        self.promotion_s = PROMOTE_S
        self.lose_store_answers = 0.0
        self.lost_promotions = 0
        members = {
            f"u{n}": replicas.Member(
                f"u{n}",
                sessions.ReplicaRole.PRIMARY
                if n == 0
                else sessions.ReplicaRole.REPLICA,
            )
            for n in range(3)
        }
        self.replicas = replicas.ReplicaSet(
            members, self.reaches, self.call_later
        )
        self.draining: set[str] = set()
        self.hosts: dict[str, Host] = {}
        for number in range(hosts):
            self.start_host(f"h{number}")
        self._tick()

    # Time and paths.

    def _tick(self) -> None:
        self.call_later(TICK_S, self._tick)
        self.store.expire_leases(self.now)
        self.replicas.replicate()
        for host in list(self.hosts.values()):
            self.feed(host, filters.Tick(self.now, 0.0))
            self._watch(host)

    def reaches(self, one: str, other: str) -> bool:
        return frozenset((one, other)) not in self.cut

    def separate(self, one: str, *others: str) -> None:
        self.cut.update(frozenset((one, other)) for other in others)

    def heal(self) -> None:
        self.cut.clear()

    # Hosts.

    def start_host(self, name: str) -> Host:
        me = identity.Identity(name, "z", name, int(self.now * 1000))
        host = Host(name, hosted.build(me, 6.0))
        self.hosts[name] = host
        return host

    def stop_host(self, name: str) -> None:
        """Ends a host at once, as by a kill."""
        host = self.hosts.pop(name)
        for link in host.links.values():
            self._roll_back(link)

    def freeze(self, name: str, seconds: float) -> None:
        host = self.hosts[name]
        host.frozen_until = self.now + seconds
        self.call_later(seconds, lambda: self._thaw(host))

    def _thaw(self, host: Host) -> None:
        held, host.held_back = host.held_back, []
        for item in held:
            self.feed(host, dataclasses.replace(item, at=self.now))

    def feed(self, host: Host, item: filters.Item) -> None:
        if self.hosts.get(host.name) is not host:
            return
        if self.now < host.frozen_until:
            if not isinstance(item, filters.Tick):
                host.held_back.append(item)
            return
        for effect in host.core.feed(item):
            self._carry_out(host, effect)

    def _watch(self, host: Host) -> None:
        """Brings a host the store's news, if it has a path to the store."""
        if not self.reaches(host.name, STORE) or self.now < host.frozen_until:
            return
        if host.watched is None:
            host.watched = self.store.revision
            self._list(host)
            return
        for revision, key, stored in self.store.changes:
            if revision > host.watched:
                item = store_items.KeyChanged(self.now, key, stored, revision)
                self.feed(host, item)
        host.watched = self.store.revision

    def _list(self, host: Host) -> None:
        offered = hosted_routes.routes_view(self.now)
        self.feed(host, routing_items.RoutesRead(self.now, offered))
        self.feed(host, store_items.EntriesListed(self.now, self.entries()))
        keys = dict(self.store.keys)
        self.feed(
            host,
            store_items.KeysListed(self.now, keys, self.store.revision),
        )

    def entries(self) -> tuple[replica_sets.UpstreamEntry, ...]:
        return tuple(
            replica_sets.UpstreamEntry(
                member.name,
                DATABASE,
                f"127.0.0.1:{number + 1}",
                "z",
                2,
                member.name in self.draining,
                member.role,
            )
            for number, member in enumerate(self.replicas.members.values())
        )

    def publish_entries(self) -> None:
        for host in self.hosts.values():
            if self.reaches(host.name, STORE):
                for entry in self.entries():
                    item = store_items.EntryChanged(self.now, entry)
                    self.feed(host, item)

    # Effects.

    def _carry_out(self, host: Host, effect: filters.Item) -> None:
        match effect:
            case session_items.OpenLink():
                self._open(host, effect)
            case session_items.CallLink():
                self._call(host, effect)
            case session_items.CloseLink():
                link = host.links.pop(effect.link, None)
                if link is not None:
                    self._roll_back(link)
            case session_items.SendSessionAnswer():
                answer = self.answers.pop((host.name, effect.client), None)
                if answer is not None:
                    self.call_later(HOP_S, lambda: answer(effect.answer))
            case store_items.CallPromotion():
                self._promote(host, effect)
            case session_items.LogDecision():
                host.decisions.append(effect)
            case pipe_items.ReadinessView():
                host.ready = effect.ready
            case (
                store_items.AskLease()
                | store_items.RenewLease()
                | store_items.EndLease()
                | store_items.WriteKey()
                | store_items.ReadKey()
            ):
                self._ask_store(host, effect)

    def _ask_store(self, host: Host, effect: filters.Item) -> None:
        sent_at = self.now
        delay_s = STORE_S * self.chance.uniform(0.5, 2.0)
        unanswered = hosted_store.unanswered(effect, sent_at)

        def arrive() -> None:
            answer = None
            if self.reaches(host.name, STORE):
                answer = hosted_store.answer(
                    self.store, effect, sent_at, self.now
                )
            lost = self.chance.random() < self.lose_store_answers
            if answer is None or lost:
                wait_s = STORE_TIMEOUT_S
                self.call_later(wait_s, lambda: self._give(host, unanswered))
            else:
                self.call_later(HOP_S, lambda: self._give(host, answer))

        self.call_later(delay_s, arrive)

    def _give(self, host: Host, item: filters.Item | None) -> None:
        if item is not None:
            self.feed(host, dataclasses.replace(item, at=self.now))

    def _promote(self, host: Host, effect: store_items.CallPromotion) -> None:
        if self.lost_promotions:
            self.lost_promotions -= 1
            unknown = store_items.PromotionCompleted(
                self.now, effect.database, effect.upstream, None, "lost"
            )
            self.call_later(CALL_TIMEOUT_S, lambda: self._give(host, unknown))
            return
        done = self.replicas.promote(
            effect.upstream, self.promotion_s, self.now, effect.token
        )
        answer = store_items.PromotionCompleted(
            self.now, effect.database, effect.upstream, done, ""
        )
        self.call_later(2 * HOP_S, lambda: self._give(host, answer))

    # Upstreams.

    def _open(self, host: Host, effect: session_items.OpenLink) -> None:
        member = self.replicas.members[effect.entry.upstream]

        def arrive() -> None:
            if not self.reaches(host.name, member.name):
                return
            if not member.up:
                self.feed(
                    host,
                    session_items.LinkFailed(self.now, effect.link, LOST),
                )
                return
            session = statements.UpstreamSession(member)
            host.links[effect.link] = Link(host.name, session)
            self.feed(host, session_items.LinkOpened(self.now, effect.link))

        self.call_later(0.005, arrive)

    def crash(self, name: str) -> None:
        """Ends a member's process; its log stays."""
        member = self.replicas.members[name]
        member.up = False
        for host in list(self.hosts.values()):
            for number, link in list(host.links.items()):
                if link.member is member:
                    del host.links[number]
                    self._roll_back(link)
                    if self.reaches(host.name, name):
                        item = session_items.LinkFailed(self.now, number, LOST)
                        self.feed(host, item)

    def restart(self, name: str) -> None:
        """Brings a member back with its log, as a replica if one leads."""
        member = self.replicas.members[name]
        leader = self.replicas.primary()
        member.up = True
        member.paused_term = 0
        if leader is not None and leader.term > member.term:
            member.role = sessions.ReplicaRole.REPLICA

    def _roll_back(self, link: Link) -> None:
        link.open = False
        link.session.roll_back()

    def _call(self, host: Host, effect: session_items.CallLink) -> None:
        link = host.links.get(effect.link)
        if link is None:
            return
        self.call_later(HOP_S, lambda: self._arrive(host, effect, link))

    def _arrive(
        self, host: Host, effect: session_items.CallLink, link: Link
    ) -> None:
        if not self.reaches(host.name, link.member.name) or not link.open:
            return
        self.call_later(
            replicas.STATEMENT_DURATION_S,
            lambda: self._execute(host, effect, link),
        )

    def _execute(
        self, host: Host, effect: session_items.CallLink, link: Link
    ) -> None:
        if not link.open or not link.member.up:
            return

        def reply(
            failure: sessions.Failure | None = None,
            rows: tuple[str, ...] = (),
            status: sessions.ReplicaStatus | None = None,
        ) -> None:
            answer = sessions.UpstreamReply(
                rows,
                "" if failure else "receipt",
                failure,
                "",
                link.session.state,
                link.member.applied_position(),
                status,
            )

            def deliver() -> None:
                if link.open and self.reaches(host.name, link.member.name):
                    item = session_items.LinkReplied(
                        self.now, effect.link, answer
                    )
                    self.feed(host, item)

            self.call_later(HOP_S, deliver)

        statements.run(self.replicas, link.session, effect.call, reply)

    # Clients.

    def open_session(self, host: str, client: int, name: str) -> None:
        item = session_items.SessionRequested(self.now, client, name)
        self.feed(self.hosts[host], item)

    def ask(
        self,
        host: str,
        client: int,
        verb: sessions.Verb,
        argument: str = "",
        answered: Callable[[sessions.SessionAnswer], None] | None = None,
        *,
        read_only: bool = False,
    ) -> list[sessions.SessionAnswer]:
        """Sends a statement; the answer is added to the list returned."""
        got: list[sessions.SessionAnswer] = []

        def take(answer: sessions.SessionAnswer) -> None:
            got.append(answer)
            if answered is not None:
                answered(answer)

        self.answers[(host, client)] = take
        statement = sessions.Statement(
            f"s{next(self._sequence)}",
            verb,
            argument,
            argument=argument,
            read_only=read_only,
        )
        item = session_items.StatementReceived(self.now, client, statement)
        if host in self.hosts:
            self.feed(self.hosts[host], item)
        return got
