"""Simulation of hosts with an in-memory store and replica set.

All events happen in virtual time; random choices depend only on the seed.
Messages between the nodes of a partitioned pair are lost. A judge compares what
upstreams ran with what clients sent and received, in every run.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable

from fescueshunt import hosted
from fescueshunt.core import (
    failures,
    filters,
    identity,
    session_items,
    sessions,
    store_items,
)
from fescueshunt.routing import items as routing_items
from fescueshunt.sessions import items as pipe_items
from fescueshunt_standins.hosted import kv, replicas, statements
from lib import (
    hosted_members,
    hosted_nodes,
    hosted_routes,
    hosted_store,
    promotion_network,
    simulated_judge,
    timeline,
)

TICK_S = 0.02
LATENCY_S = 0.001
STORE_DELAY_S = 0.004
STORE_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = promotion_network.CALL_TIMEOUT_S
PROMOTION_S = 0.3
DATABASE = hosted_routes.DATABASE
ROUTES = hosted_routes.ROUTES
STORE = "store"
DUTY_KEY = store_items.DUTY_KEY
HOSTS_PREFIX = store_items.HOSTS_PREFIX
OUTAGE = hosted_members.OUTAGE


class World(timeline.VirtualClock):
    """Simulated hosts, a store and a replica set of three on one clock."""

    def __init__(self, seed: int = 0, hosts: int = 3) -> None:
        super().__init__()
        self.rng = random.Random(seed)
        self.judged = simulated_judge.SimulatedJudge()
        self.store = kv.KeyValueStore()
        self.partitions: set[frozenset[str]] = set()
        self.answers: dict[tuple[str, int], Callable] = {}
        self.promotion_time_s = PROMOTION_S
        self.store_answer_loss_rate = 0.0
        self.loses_call: Callable[[filters.Item], bool] = lambda call: False
        self.promotion_answers_to_lose = 0
        self.on_exception: Callable[[Exception], None] | None = None
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
        self.promotion_network = promotion_network.PromotionNetwork(self)
        self.draining: set[str] = set()
        self.addresses: dict[str, str] = {}
        self.started_ms: dict[str, int] = {}
        self.unlisted: set[str] = set()
        self.ended: set[str] = set()
        self.hosts: dict[str, hosted_nodes.Host] = {}
        for number in range(hosts):
            self.start_host(f"h{number}")
        self._tick()

    # Virtual time and network partitions.

    def run(self, seconds: float) -> None:
        """Advances the clock; fails if the judge has found a violation."""
        super().run(seconds)
        assert not self.judged.judge.violations, self.judged.judge.violations

    def _tick(self) -> None:
        self.call_later(TICK_S, self._tick)
        self.store.expire_leases(self.now)
        self.replicas.replicate()
        for host in list(self.hosts.values()):
            self.feed(host, filters.Tick(self.now, 0.0))
            self._deliver_store_changes(host)

    def reaches(self, node: str, other: str) -> bool:
        return frozenset((node, other)) not in self.partitions

    def partition(self, node: str, *others: str) -> None:
        self.partitions.update(frozenset((node, other)) for other in others)

    def heal(self) -> None:
        self.partitions.clear()

    # Hosts.

    def start_host(self, name: str) -> hosted_nodes.Host:
        local_host = identity.Identity(name, "z", name, int(self.now * 1000))
        host = hosted_nodes.Host(name, hosted.build(local_host, 6.0))
        self.hosts[name] = host
        return host

    def kill_host(self, name: str) -> None:
        """Removes a host without a graceful shutdown."""
        host = self.hosts.pop(name)
        for conn in host.connections.values():
            self._roll_back(conn)
        self.judged.end_host(name)

    def freeze(self, name: str, seconds: float) -> None:
        host = self.hosts[name]
        host.frozen_until = self.now + seconds
        self.call_later(seconds, lambda: self._unfreeze(host))

    def _unfreeze(self, host: hosted_nodes.Host) -> None:
        deferred, host.deferred_items = host.deferred_items, []
        for item in deferred:
            self.feed(host, dataclasses.replace(item, at=self.now))

    def feed(self, host: hosted_nodes.Host, item: filters.Item) -> None:
        if self.hosts.get(host.name) is not host:
            return
        if self.now < host.frozen_until:
            if not isinstance(item, filters.Tick):
                host.deferred_items.append(item)
            return
        self.judged.take_item(host.name, item)
        for effect in host.core.feed(item, self.on_exception):
            self.judged.take_effect(host.name, effect)
            self._execute(host, effect)

    def _deliver_store_changes(self, host: hosted_nodes.Host) -> None:
        """Feeds a host the latest store changes if it can reach the store."""
        if not self.reaches(host.name, STORE) or self.now < host.frozen_until:
            return
        if host.watched_revision is None:
            host.watched_revision = self.store.revision
            self._feed_snapshot(host)
            return
        for revision, key, stored in self.store.changes:
            if revision > host.watched_revision:
                item = store_items.KeyChanged(self.now, key, stored, revision)
                self.feed(host, item)
        host.watched_revision = self.store.revision

    def _feed_snapshot(self, host: hosted_nodes.Host) -> None:
        view = hosted_routes.routes_view(self.now)
        self.feed(host, routing_items.RoutesRead(self.now, view))
        entries = hosted_members.entries(self)
        self.feed(host, store_items.EntriesListed(self.now, entries))
        keys = dict(self.store.keys)
        self.feed(
            host,
            store_items.KeysListed(self.now, keys, self.store.revision),
        )

    def publish_entries(self) -> None:
        for host in self.hosts.values():
            if self.reaches(host.name, STORE):
                for entry in hosted_members.entries(self):
                    item = store_items.EntryChanged(self.now, entry)
                    self.feed(host, item)

    # Effects of the cores.

    def _execute(self, host: hosted_nodes.Host, effect: filters.Item) -> None:
        match effect:
            case session_items.OpenConnection():
                self._open(host, effect)
            case session_items.SendCall():
                self._call(host, effect)
            case session_items.CloseConnection():
                conn = host.connections.pop(effect.connection_id, None)
                if conn is not None:
                    self._roll_back(conn)
            case session_items.SendSessionAnswer():
                answer = self.answers.pop((host.name, effect.client), None)
                if answer is not None:
                    self.call_later(LATENCY_S, lambda: answer(effect.answer))
            case store_items.CallPromotion():
                self.promotion_network.send(
                    effect, lambda answer: self._feed_now(host, answer)
                )
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
                self._call_store(host, effect)

    def _call_store(
        self, host: hosted_nodes.Host, effect: filters.Item
    ) -> None:
        sent_at = self.now
        delay_s = STORE_DELAY_S * self.rng.uniform(0.5, 2.0)
        timeout_item = hosted_store.make_timeout_item(effect, sent_at)

        def arrive() -> None:
            answer = None
            if self.reaches(host.name, STORE) and not self.loses_call(effect):
                answer = hosted_store.execute_call(
                    self.store, effect, sent_at, self.now
                )
            is_answer_lost = self.rng.random() < self.store_answer_loss_rate
            if answer is None or is_answer_lost:
                wait_s = STORE_TIMEOUT_S
                self.call_later(
                    wait_s, lambda: self._feed_now(host, timeout_item)
                )
            else:
                self.call_later(LATENCY_S, lambda: self._feed_now(host, answer))

        self.call_later(delay_s, arrive)

    def _feed_now(
        self, host: hosted_nodes.Host, item: filters.Item | None
    ) -> None:
        if item is not None:
            self.feed(host, dataclasses.replace(item, at=self.now))

    # Upstreams.

    def _open(
        self, host: hosted_nodes.Host, effect: session_items.OpenConnection
    ) -> None:
        member = self.replicas.members[effect.entry.upstream]

        def arrive() -> None:
            if not self.reaches(host.name, member.name):
                return
            if not member.up:
                self.feed(host, hosted_members.refuse(self, effect))
                return
            session = statements.UpstreamSession(member)
            conn = hosted_nodes.Connection(host.name, session)
            host.connections[effect.connection_id] = conn
            self.judged.open_connection(conn)
            self.feed(
                host,
                session_items.ConnectionOpened(self.now, effect.connection_id),
            )

        self.call_later(0.005, arrive)

    def crash(self, name: str) -> None:
        """Stops a member's process; its log is kept."""
        member = self.replicas.members[name]
        member.up = False
        for host in list(self.hosts.values()):
            for link, conn in list(host.connections.items()):
                if conn.member is member:
                    del host.connections[link]
                    self._roll_back(conn)
                    if self.reaches(host.name, name):
                        item = session_items.ConnectionFailed(
                            self.now, link, OUTAGE
                        )
                        self.feed(host, item)

    def restart(self, name: str) -> None:
        """Restarts a member, as a replica if there is a newer primary."""
        member = self.replicas.members[name]
        primary = self.replicas.primary()
        member.up = True
        member.paused_term = 0
        if primary is not None and primary.term > member.term:
            member.role = sessions.ReplicaRole.REPLICA

    def restart_empty(self, name: str) -> None:
        """Restarts a member under its id, without anything of before."""
        self.restart(name)
        member = self.replicas.members[name]
        member.log, member.applied, member.term = [], 0, 1
        self.started_ms[name] = int(self.now * 1000)
        self.publish_entries()

    def _roll_back(self, conn: hosted_nodes.Connection) -> None:
        conn.open = False
        conn.session.roll_back()
        self.judged.end_connection(conn)

    def _call(
        self, host: hosted_nodes.Host, effect: session_items.SendCall
    ) -> None:
        conn = host.connections.get(effect.connection_id)
        if conn is None:
            return
        self.call_later(LATENCY_S, lambda: self._start_call(host, effect, conn))

    def _start_call(
        self,
        host: hosted_nodes.Host,
        effect: session_items.SendCall,
        conn: hosted_nodes.Connection,
    ) -> None:
        if not self.reaches(host.name, conn.member.name) or not conn.open:
            return
        self.call_later(
            replicas.STATEMENT_DURATION_S,
            lambda: self._run_call(host, effect, conn),
        )

    def _run_call(
        self,
        host: hosted_nodes.Host,
        effect: session_items.SendCall,
        conn: hosted_nodes.Connection,
    ) -> None:
        if not conn.open or not conn.member.up:
            return

        def reply(
            failure: failures.Failure | None = None,
            rows: tuple[str, ...] = (),
            status: sessions.ReplicaStatus | None = None,
        ) -> None:
            answer = sessions.UpstreamReply(
                rows,
                "" if failure else f"r{next(self._sequence)}",
                failure,
                "",
                conn.session.state,
                conn.member.applied_position(),
                status,
            )
            self.judged.end_call(conn, answer)

            def deliver() -> None:
                if conn.open and self.reaches(host.name, conn.member.name):
                    item = session_items.CallReplied(
                        self.now, effect.connection_id, answer
                    )
                    self.feed(host, item)

            self.call_later(LATENCY_S, deliver)

        self.judged.start_call(conn, effect.call)
        statements.run(self.replicas, conn.session, effect.call, reply)

    # Clients.

    def open_session(self, host: str, client: int, name: str) -> None:
        item = session_items.SessionRequested(self.now, client, name)
        self.feed(self.hosts[host], item)

    def send_statement(
        self,
        host: str,
        client: int,
        verb: sessions.Verb,
        argument: str = "",
        on_answer: Callable[[sessions.SessionAnswer], None] | None = None,
        *,
        read_only: bool = False,
    ) -> list[sessions.SessionAnswer]:
        """Sends a statement; its answer is appended to the returned list."""
        session_answers: list[sessions.SessionAnswer] = []

        def record_answer(answer: sessions.SessionAnswer) -> None:
            session_answers.append(answer)
            if on_answer is not None:
                on_answer(answer)

        self.answers[(host, client)] = record_answer
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
        return session_answers
