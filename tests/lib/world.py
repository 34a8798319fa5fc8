"""Proxies' cores over fake upstreams, with messages in memory and one clock.

Everything that happens is an event at a virtual time. `Faults` says how likely
a message is lost, doubled or held up; the seed decides the rest.
"""

from __future__ import annotations

import dataclasses
import itertools
import random
from collections.abc import Callable

from fescueshunt import errors, proxy
from fescueshunt.core import (
    document,
    filters,
    identity,
    items,
    process,
    ranks,
    request,
    upstream,
)
from fescueshunt_wire import codec, records
from lib import fake_upstreams, timeline

WALL_S = 1.8e9
TICK_S = 0.02
HOP_S = 0.001
LATE_S = 0.3
STORE_S = 0.005
START_S = 3.0
ZONES = ("zone-a", "zone-b", "zone-c")
SCHEMA = ("CREATE TABLE hit (tag TEXT NOT NULL)",)
SETTINGS = document.Document(
    revision=1,
    ranks=(
        ranks.Rank("urgent", 0, 0.5, 10.0, 0.5),
        ranks.Rank("bulk", 1, 2.0, 1.0, 0.1),
    ),
    groups=(document.Group("group", slots=4, connections=30),),
    databases=(
        document.Database(
            "db",
            "group",
            tuple(
                document.Upstream(f"db-{n}", ZONES[n], f"127.0.0.1:{n + 1}")
                for n in range(3)
            ),
        ),
    ),
    services=(
        document.Service("pay", "group", "urgent", writes=True),
        document.Service("look", "group", "urgent"),
        document.Service("old", "group", "bulk", max_age_s=5.0),
    ),
)


@dataclasses.dataclass(slots=True)
class Faults:
    """The share of messages between proxies and to upstreams that suffer."""

    lost: float = 0.0
    doubled: float = 0.0
    late: float = 0.0


@dataclasses.dataclass(slots=True)
class Proxy:
    """A running core and what it was fed."""

    me: identity.Identity
    core: filters.Core
    stopped: bool = False
    paused_until: float = 0.0
    record: list[filters.Item] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Session:
    """A connection to an upstream; `call` is what is in flight on it."""

    key: int
    source: Proxy
    conn: int
    fake: fake_upstreams.FakeUpstream
    call: int = 0
    busy_until: float = 0.0


class World(timeline.VirtualClock):
    """Two or three proxies, three upstreams, callers and faults."""

    def __init__(
        self,
        seed: int = 0,
        proxies: int = 2,
        settings: document.Document = SETTINGS,
    ) -> None:
        super().__init__()
        self.chance = random.Random(seed)
        self.faults = Faults()
        self.meddle: Callable[[object], list[float] | None] = lambda _: None
        self.settings = settings
        self.answers: dict[tuple[str, int, int], request.Answer] = {}
        self.cut_zones: set[str] = set()
        self.extra_answers = 0
        self.disturbed = 0
        self.counts: dict[str, int] = {}
        self._starts = itertools.count(1)
        self._seqs = itertools.count(1)
        self._sessions: dict[tuple[int, int], Session] = {}
        self.upstreams = {
            u.name: fake_upstreams.FakeUpstream(u.name, n == 0, SCHEMA)
            for n, u in enumerate(settings.databases[0].upstreams)
        }
        for replica in self.upstreams.values():
            replica.follows = "db-0"
        self.proxies: dict[str, Proxy] = {}
        self._names = [f"proxy-{n}" for n in range(proxies)]
        for name in self._names:
            self.start(name)
        self._replicate()
        self.run(START_S)

    # Proxies.

    def start(self, name: str) -> None:
        """Starts the proxy `name` anew."""
        number = self._names.index(name)
        me = identity.Identity(
            name, ZONES[number], f"127.0.0.1:{number + 100}", next(self._starts)
        )
        self.proxies[name] = Proxy(me, proxy.build(me, codec.ResultCodec()))
        self._tick(name, self.proxies[name])

    def kill(self, name: str) -> None:
        """Ends the proxy `name` without a word."""
        killed = self.proxies.pop(name)
        for session in list(self._sessions.values()):
            if session.source is killed:
                self._hang_up(session)
        for other in self.proxies:
            self._lose_peer(other, name)

    def close_caller(self, name: str, conn: int) -> None:
        """Ends a caller's connection."""
        self.feed(name, items.CallerClosed(self.now, conn))

    def open_connections(self, upstream_name: str) -> int:
        """Returns how many connections proxies hold to an upstream."""
        return sum(
            session.fake.name == upstream_name
            for session in self._sessions.values()
        )

    def cut_upstreams(self) -> int:
        """Breaks every connection with a call in flight; returns how many."""
        cut = [s for s in self._sessions.values() if s.call]
        for session in cut:
            self._fail(session, errors.ConnectionLostError("cut"))
        return len(cut)

    def feed(self, name: str, item: filters.Item) -> None:
        """Feeds an item into a core, if it still runs, and acts on effects."""
        running = self.proxies.get(name)
        if running is None or running.stopped:
            return
        if self.now < running.paused_until:
            wait_s = running.paused_until - self.now
            self.call_later(wait_s, lambda: self._feed_late(running, item))
            return
        running.record.append(item)
        for effect in list(running.core.feed(item)):
            self._act(running, effect)

    def pause(self, name: str, seconds: float) -> None:
        """Stops a proxy for a while; what comes in waits for it."""
        self.proxies[name].paused_until = self.now + seconds

    def _feed_late(self, source: Proxy, item: filters.Item) -> None:
        self._feed_to(source, dataclasses.replace(item, at=self.now))

    def write_record(self, name: str, path) -> None:
        """Writes what a proxy was fed as a trace that a replay reads."""
        running = self.proxies[name]
        lines = [records.to_line(i) for i in (running.me, *running.record)]
        path.write_text("\n".join(lines) + "\n")

    # Callers.

    def send(self, name: str, conn: int, req: request.Request) -> int:
        """Sends a request on a caller's connection; returns its seq."""
        seq = next(self._seqs)
        wall_s = WALL_S + self.now
        self.feed(name, items.CallerRequest(self.now, wall_s, conn, seq, req))
        return seq

    def ask(
        self, name: str, req: request.Request, conn: int = 1, wait_s: float = 6
    ) -> request.Answer | None:
        """Sends a request and returns its answer, None for none in time."""
        seq = self.send(name, conn, req)
        until = self.now + wait_s
        while (name, conn, seq) not in self.answers and self.now < until:
            self.run(HOP_S)
        return self.answers.get((name, conn, seq))

    def new_id(self) -> bytes:
        """Returns a fresh request id."""
        noise = self.chance.randbytes(10)
        return request.make_request_id(WALL_S + self.now, noise)

    def rows(self) -> list[str]:
        """Returns the tags that the database holds, from its newest primary."""
        select = request.Statement("SELECT tag FROM hit ORDER BY rowid")
        (found,) = self.primary().engine.read((select,))
        return [row[0] for row in found.rows]

    def primary(self) -> fake_upstreams.FakeUpstream:
        """Returns the upstream that serves the newest term."""
        serving = (
            fake
            for fake in self.upstreams.values()
            if fake.engine.role is upstream.Role.PRIMARY
        )
        return max(serving, key=lambda fake: fake.engine.term)

    def is_cut(self, one: str, other: str) -> bool:
        """Tells whether nothing gets from one zone to the other."""
        return one != other and not self.cut_zones.isdisjoint((one, other))

    def _zone_of(self, name: str) -> str:
        found = (d.find(name) for d in self.settings.databases)
        return next(member.zone for member in found if member)

    def _reaches(self, source: Proxy, name: str) -> bool:
        """Tells whether a proxy reaches the upstream `name`."""
        return not self.is_cut(source.me.zone, self._zone_of(name))

    # What the cores want done.

    def _act(self, source: Proxy, effect: filters.Item) -> None:
        name = type(effect).__name__
        self.counts[name] = self.counts.get(name, 0) + 1
        match effect:
            case items.AnswerCaller():
                self._answer(source, effect)
            case items.SendPeer():
                self._send_peer(source, effect)
            case items.OpenUpstream():
                self.call_later(self._hop(), lambda: self._open(source, effect))
            case items.RunUpstream():
                self._call(source, effect)
            case items.CloseUpstream():
                session = self._session(source, effect.conn)
                if session is not None:
                    self._hang_up(session)
            case items.CallControl():
                self._control(source, effect)
            case items.ReadHosts() if source.me.zone in self.cut_zones:
                pass
            case items.ReadSettings() if source.me.zone in self.cut_zones:
                lost = errors.StoreUnavailableError()
                item = items.SettingsReadFailed(self.now, lost)
                self._reply(source, lambda: item)
            case items.ReadHosts():
                self._reply(source, self._hosts)
            case items.ReadSettings(above=above, wait_s=wait_s):
                delay_s = wait_s if above else STORE_S
                self.call_later(
                    delay_s, lambda: self._feed_to(source, self._settings())
                )
            case process.Stopped():
                source.stopped = True
                self.kill(source.me.name)

    def _answer(self, source: Proxy, effect: items.AnswerCaller) -> None:
        key = (source.me.name, effect.conn, effect.seq)
        if key in self.answers:
            self.extra_answers += 1
        self.answers[key] = effect.answer

    def _hosts(self) -> filters.Item:
        hosts = tuple(
            items.Host(p.me.name, p.me.zone, p.me.address)
            for p in self.proxies.values()
        )
        return items.HostsRead(self.now, hosts)

    def _settings(self) -> filters.Item:
        return items.SettingsRead(self.now, self.settings, 1)

    def _send_peer(self, source: Proxy, effect: items.SendPeer) -> None:
        sender, target = source.me.name, self._target(effect)
        if target not in self.proxies:
            self._lose_peer(sender, target)
            return
        if self.is_cut(source.me.zone, self.proxies[target].me.zone):
            return

        def deliver() -> None:
            item = items.PeerReceived(self.now, sender, effect.message)
            self.feed(target, item)

        for delay_s in self._deliveries(effect.message):
            self.call_later(delay_s, deliver)

    def _target(self, effect: items.SendPeer) -> str:
        """Returns the proxy that a message reaches, as its address says."""
        for name, running in self.proxies.items():
            if effect.address == running.me.address:
                return name
        return effect.name

    def _lose_peer(self, name: str, lost: str) -> None:
        self.call_later(
            self._hop(),
            lambda: self.feed(name, items.PeerLost(self.now, lost)),
        )

    def _open(self, source: Proxy, effect: items.OpenUpstream) -> None:
        fake = self.upstreams[effect.upstream]
        if not (fake.alive and self._reaches(source, fake.name)):
            lost = errors.ConnectionLostError(fake.name)
            item = items.UpstreamFailed(self.now, effect.conn, lost)
            self._reply(source, lambda: item)
            return
        key = next(self._sequence)
        session = Session(key, source, effect.conn, fake)
        self._sessions[id(source), effect.conn] = session
        self._reply(source, lambda: items.UpstreamOpened(self.now, effect.conn))

    def _session(self, source: Proxy, conn: int) -> Session | None:
        return self._sessions.get((id(source), conn))

    def _call(self, source: Proxy, effect: items.RunUpstream) -> None:
        session = self._session(source, effect.conn)
        if session is None:
            return
        number = next(self._sequence) + 1
        session.call = number

        def replied(reply: upstream.Reply) -> None:
            if not self._reaches(session.source, session.fake.name):
                return
            for delay_s in self._deliveries(reply):
                self.call_later(
                    delay_s, lambda: self._end(session, number, reply)
                )

        def execute() -> None:
            reached = self._reaches(session.source, session.fake.name)
            if session.fake.alive and reached:
                session.fake.execute(session.key, effect.call, replied)

        for delay_s in self._deliveries(effect.call)[:1]:
            session.busy_until = self.now + delay_s
            self.call_later(delay_s, execute)
        self.call_later(
            max(effect.timeout_s, HOP_S),
            lambda: self._time_out(session, number),
        )

    def _end(self, session: Session, number: int, reply) -> None:
        if session.call == number and self._holds(session):
            session.call = 0
            item = items.UpstreamReplied(self.now, session.conn, reply)
            self._feed_to(session.source, item)

    def _time_out(self, session: Session, number: int) -> None:
        if session.call == number and self._holds(session):
            self._fail(session, errors.ConnectionLostError("timeout"))

    def _fail(self, session: Session, error: errors.FescueshuntError) -> None:
        self._hang_up(session)
        self._feed_to(
            session.source,
            items.UpstreamFailed(self.now, session.conn, error),
        )

    def _holds(self, session: Session) -> bool:
        return (id(session.source), session.conn) in self._sessions

    def _hang_up(self, session: Session) -> None:
        """Closes a connection; what was sent on it before still arrives."""
        del self._sessions[id(session.source), session.conn]
        delay_s = max(session.busy_until - self.now, 0.0) + self._hop()
        self.call_later(delay_s, lambda: session.fake.close(session.key))

    def _control(self, source: Proxy, effect: items.CallControl) -> None:
        fake = self.upstreams[effect.upstream]
        sent_at = self.now
        waiting = [True]

        def end(item: filters.Item) -> None:
            if waiting:
                waiting.clear()
                self._feed_to(source, item)

        def replied(reply: upstream.Reply) -> None:
            if not self._reaches(source, fake.name):
                return
            for delay_s in self._deliveries():
                self.call_later(
                    delay_s,
                    lambda: end(
                        items.ControlReplied(
                            self.now,
                            effect.database,
                            effect.upstream,
                            effect.call,
                            sent_at,
                            reply,
                        )
                    ),
                )

        def execute() -> None:
            if fake.alive and self._reaches(source, fake.name):
                fake.control(effect.call, self.now, replied)

        for delay_s in self._deliveries()[:1]:
            self.call_later(delay_s, execute)
        lost = errors.ConnectionLostError("timeout")
        self.call_later(
            effect.timeout_s,
            lambda: end(
                items.ControlFailed(
                    self.now,
                    effect.database,
                    effect.upstream,
                    effect.call,
                    lost,
                )
            ),
        )

    # Time and chance.

    def _tick(self, name: str, started: Proxy) -> None:
        if self.proxies.get(name) is not started:
            return
        self.feed(name, filters.Tick(self.now, WALL_S + self.now))
        self.call_later(TICK_S, lambda: self._tick(name, started))

    def _replicate(self) -> None:
        for replica in self.upstreams.values():
            primary = self.upstreams.get(replica.follows)
            replica.expire(self.now)
            if primary is None or not replica.is_replicating:
                continue
            if not (replica.alive and primary.alive):
                continue
            zones = (self._zone_of(replica.name), self._zone_of(primary.name))
            if self.is_cut(*zones):
                continue
            term = replica.engine.term
            read = primary.engine.entries_after(term, replica.engine.history)
            replica.engine.apply_log(term, read)
            replica.answer_waiting_calls()
        self.call_later(HOP_S * 2, self._replicate)

    def _reply(self, source: Proxy, make: Callable[[], filters.Item]) -> None:
        self.call_later(self._hop(), lambda: self._feed_to(source, make()))

    def _feed_to(self, source: Proxy, item: filters.Item) -> None:
        if self.proxies.get(source.me.name) is source:
            self.feed(source.me.name, item)

    def _hop(self) -> float:
        return HOP_S * self.chance.uniform(0.5, 1.5)

    def _deliveries(self, message: object = None) -> list[float]:
        """Returns after how long each copy of a message arrives.

        A test may decide on single messages by `meddle`.
        """
        decided = self.meddle(message)
        if decided is not None:
            return decided
        if self.chance.random() < self.faults.lost:
            self.disturbed += 1
            return []
        delay_s = self._hop()
        if self.chance.random() < self.faults.late:
            self.disturbed += 1
            delay_s += self.chance.uniform(0.0, LATE_S)
        if self.chance.random() < self.faults.doubled:
            self.disturbed += 1
            return [delay_s, delay_s + self.chance.uniform(0.0, LATE_S)]
        return [delay_s]
