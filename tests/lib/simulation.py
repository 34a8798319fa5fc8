"""Deterministic simulation of proxies over fake upstreams.

The cores of the proxies exchange messages in memory and share a virtual clock.
Every step is an event at a virtual time, and all random choices come from the
seed. `Faults` sets how often messages are lost, duplicated or delayed.
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

WALL_CLOCK_OFFSET_S = 1.8e9
TICK_INTERVAL_S = 0.02
HOP_DELAY_S = 0.001
MAX_EXTRA_DELAY_S = 0.3
STORE_DELAY_S = 0.005
WARM_UP_S = 3.0
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
    """Fault rates of messages between proxies, and of upstream calls.

    Each rate is the fraction, from 0 to 1, of messages, calls and replies that
    are lost, duplicated or delayed. Calls to upstreams are never duplicated.
    """

    loss_rate: float = 0.0
    duplication_rate: float = 0.0
    delay_rate: float = 0.0


@dataclasses.dataclass(slots=True)
class Proxy:
    """A simulated proxy.

    Attributes:
      proxy_identity: the identity of this start of the proxy.
      core: the decision logic under test.
      stopped: whether the core has reported that it may exit.
      paused_until: the virtual time until which items are held back, seconds.
      recorded_items: the items fed to the core, in order.
    """

    proxy_identity: identity.Identity
    core: filters.Core
    stopped: bool = False
    paused_until: float = 0.0
    recorded_items: list[filters.Item] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class UpstreamSession:
    """A connection of a proxy to an upstream.

    Attributes:
      session_id: the number of the session at the fake upstream.
      source: the proxy that opened the connection.
      conn: the connection's number at the proxy.
      fake: the upstream.
      call_id: the number of the call in flight, or 0 if there is none.
      last_arrival_at: when the newest call arrives at the upstream, virtual
        time in seconds.
    """

    session_id: int
    source: Proxy
    conn: int
    fake: fake_upstreams.FakeUpstream
    call_id: int = 0
    last_arrival_at: float = 0.0


class SimulatedCluster(timeline.VirtualClock):
    """Two or three proxies with their callers, and three upstreams.

    Attributes:
      rng: the source of all random choices.
      faults: the fault rates in effect.
      delivery_hook: called with each message; may return the delays after which
        copies of it arrive, in seconds, or None to apply `faults`.
      settings: the document that the settings store serves.
      answers: the newest answer by proxy name, connection and sequence number.
      isolated_zones: the zones that are partitioned from all other zones, the
        settings store and the host list.
      duplicate_answers: the number of answers to already answered requests.
      message_faults: the number of faults injected so far.
      effect_counts: the number of effects by type name.
      upstreams: the fake upstreams by name.
      proxies: the running proxies by name.
    """

    def __init__(
        self,
        seed: int = 0,
        proxies: int = 2,
        settings: document.Document = SETTINGS,
    ) -> None:
        super().__init__()
        self.rng = random.Random(seed)
        self.faults = Faults()
        self.delivery_hook: Callable[[object], list[float] | None] = lambda _: (
            None
        )
        self.settings = settings
        self.answers: dict[tuple[str, int, int], request.Answer] = {}
        self.isolated_zones: set[str] = set()
        self.duplicate_answers = 0
        self.message_faults = 0
        self.effect_counts: dict[str, int] = {}
        self._incarnations = itertools.count(1)
        self._seqs = itertools.count(1)
        self._sessions: dict[tuple[int, int], UpstreamSession] = {}
        self.upstreams = {
            u.name: fake_upstreams.FakeUpstream(u.name, n == 0, SCHEMA)
            for n, u in enumerate(settings.databases[0].upstreams)
        }
        for replica in self.upstreams.values():
            replica.follows = "db-0"
        self.proxies: dict[str, Proxy] = {}
        self._proxy_names = [f"proxy-{n}" for n in range(proxies)]
        for name in self._proxy_names:
            self.start(name)
        self._replicate()
        self.run(WARM_UP_S)

    # Proxies.

    def start(self, name: str) -> None:
        """Starts a proxy as a new incarnation with a new core."""
        number = self._proxy_names.index(name)
        proxy_identity = identity.Identity(
            name,
            ZONES[number],
            f"127.0.0.1:{number + 100}",
            next(self._incarnations),
        )
        self.proxies[name] = Proxy(
            proxy_identity, proxy.build(proxy_identity, codec.ResultCodec())
        )
        self._tick(name, self.proxies[name])

    def kill(self, name: str) -> None:
        """Kills a proxy, closes its connections and notifies the others."""
        killed = self.proxies.pop(name)
        for session in list(self._sessions.values()):
            if session.source is killed:
                self._close_session(session)
        for other in self.proxies:
            self._report_peer_lost(other, name)

    def close_caller(self, name: str, conn: int) -> None:
        """Closes the connection of a caller."""
        self.feed(name, items.CallerClosed(self.now, conn))

    def count_connections(self, upstream_name: str) -> int:
        """Returns the number of open connections to an upstream."""
        return sum(
            session.fake.name == upstream_name
            for session in self._sessions.values()
        )

    def break_busy_connections(self) -> int:
        """Breaks all connections with a call in flight; returns the number."""
        busy = [s for s in self._sessions.values() if s.call_id]
        for session in busy:
            self._fail_session(session, errors.ConnectionLostError("cut"))
        return len(busy)

    def feed(self, name: str, item: filters.Item) -> None:
        """Feeds an item to a proxy's core and applies the resulting effects.

        Items are dropped if the proxy is not running, and delivered after the
        pause if it is paused.
        """
        running = self.proxies.get(name)
        if running is None or running.stopped:
            return
        if self.now < running.paused_until:
            wait_s = running.paused_until - self.now
            self.call_later(
                wait_s, lambda: self._feed_after_pause(running, item)
            )
            return
        running.recorded_items.append(item)
        for effect in list(running.core.feed(item)):
            self._apply_effect(running, effect)

    def pause(self, name: str, seconds: float) -> None:
        """Pauses a proxy; its items are delivered after the pause."""
        self.proxies[name].paused_until = self.now + seconds

    def _feed_after_pause(self, source: Proxy, item: filters.Item) -> None:
        self._feed_if_running(source, dataclasses.replace(item, at=self.now))

    def write_trace(self, name: str, path) -> None:
        """Writes the items fed to a proxy to `path`, as a trace to replay."""
        running = self.proxies[name]
        lines = [
            records.to_line(i)
            for i in (running.proxy_identity, *running.recorded_items)
        ]
        path.write_text("\n".join(lines) + "\n")

    # Callers.

    def send(self, name: str, conn: int, req: request.Request) -> int:
        """Sends a request of a caller; returns its sequence number."""
        seq = next(self._seqs)
        wall_s = WALL_CLOCK_OFFSET_S + self.now
        self.feed(name, items.CallerRequest(self.now, wall_s, conn, seq, req))
        return seq

    def execute(
        self, name: str, req: request.Request, conn: int = 1, wait_s: float = 6
    ) -> request.Answer | None:
        """Sends a request and returns its answer.

        Returns None if there is no answer within `wait_s` seconds of virtual
        time.
        """
        seq = self.send(name, conn, req)
        until = self.now + wait_s
        while (name, conn, seq) not in self.answers and self.now < until:
            self.run(HOP_DELAY_S)
        return self.answers.get((name, conn, seq))

    def new_request_id(self) -> bytes:
        """Returns a new request id with the current time."""
        random_bytes = self.rng.randbytes(10)
        return request.make_request_id(
            WALL_CLOCK_OFFSET_S + self.now, random_bytes
        )

    def rows(self) -> list[str]:
        """Returns all tags in the table of the newest primary."""
        select = request.Statement("SELECT tag FROM hit ORDER BY rowid")
        (result,) = self.primary().engine.read((select,))
        return [row[0] for row in result.rows]

    def primary(self) -> fake_upstreams.FakeUpstream:
        """Returns the primary with the highest term."""
        primaries = (
            fake
            for fake in self.upstreams.values()
            if fake.engine.role is upstream.Role.PRIMARY
        )
        return max(primaries, key=lambda fake: fake.engine.term)

    def is_partitioned(self, zone: str, other_zone: str) -> bool:
        """Returns whether a partition separates two zones."""
        return zone != other_zone and not self.isolated_zones.isdisjoint(
            (zone, other_zone)
        )

    def _zone_of_upstream(self, name: str) -> str:
        matches = (d.find(name) for d in self.settings.databases)
        return next(member.zone for member in matches if member)

    def _can_reach(self, source: Proxy, name: str) -> bool:
        """Returns whether no partition separates a proxy and an upstream."""
        return not self.is_partitioned(
            source.proxy_identity.zone, self._zone_of_upstream(name)
        )

    # Effects of the cores.

    def _apply_effect(self, source: Proxy, effect: filters.Item) -> None:
        name = type(effect).__name__
        self.effect_counts[name] = self.effect_counts.get(name, 0) + 1
        match effect:
            case items.AnswerCaller():
                self._record_answer(source, effect)
            case items.SendPeer():
                self._send_peer(source, effect)
            case items.OpenUpstream():
                self.call_later(
                    self._hop_s(),
                    lambda: self._open_connection(source, effect),
                )
            case items.RunUpstream():
                self._run_call(source, effect)
            case items.CloseUpstream():
                session = self._find_session(source, effect.conn)
                if session is not None:
                    self._close_session(session)
            case items.CallControl():
                self._run_control(source, effect)
            case items.ReadHosts() if (
                source.proxy_identity.zone in self.isolated_zones
            ):
                pass
            case items.ReadSettings() if (
                source.proxy_identity.zone in self.isolated_zones
            ):
                error = errors.StoreUnavailableError()
                item = items.SettingsReadFailed(self.now, error)
                self._schedule_item(source, lambda: item)
            case items.ReadHosts():
                self._schedule_item(source, self._read_hosts)
            case items.ReadSettings(above=above, wait_s=wait_s):
                delay_s = wait_s if above else STORE_DELAY_S
                self.call_later(
                    delay_s,
                    lambda: self._feed_if_running(
                        source, self._read_settings()
                    ),
                )
            case process.Stopped():
                source.stopped = True
                self.kill(source.proxy_identity.name)

    def _record_answer(self, source: Proxy, effect: items.AnswerCaller) -> None:
        key = (source.proxy_identity.name, effect.conn, effect.seq)
        if key in self.answers:
            self.duplicate_answers += 1
        self.answers[key] = effect.answer

    def _read_hosts(self) -> filters.Item:
        hosts = tuple(
            items.Host(
                p.proxy_identity.name,
                p.proxy_identity.zone,
                p.proxy_identity.address,
            )
            for p in self.proxies.values()
        )
        return items.HostsRead(self.now, hosts)

    def _read_settings(self) -> filters.Item:
        return items.SettingsRead(self.now, self.settings, 1)

    def _send_peer(self, source: Proxy, effect: items.SendPeer) -> None:
        sender, target = source.proxy_identity.name, self._find_receiver(effect)
        if target not in self.proxies:
            self._report_peer_lost(sender, target)
            return
        if self.is_partitioned(
            source.proxy_identity.zone, self.proxies[target].proxy_identity.zone
        ):
            return

        def deliver() -> None:
            item = items.PeerReceived(self.now, sender, effect.message)
            self.feed(target, item)

        for delay_s in self._delivery_delays(effect.message):
            self.call_later(delay_s, deliver)

    def _find_receiver(self, effect: items.SendPeer) -> str:
        """Returns the name of the proxy that listens on the address.

        If no proxy listens there, this is the name that the sender gave.
        """
        for name, running in self.proxies.items():
            if effect.address == running.proxy_identity.address:
                return name
        return effect.name

    def _report_peer_lost(self, name: str, lost_peer: str) -> None:
        self.call_later(
            self._hop_s(),
            lambda: self.feed(name, items.PeerLost(self.now, lost_peer)),
        )

    def _open_connection(
        self, source: Proxy, effect: items.OpenUpstream
    ) -> None:
        fake = self.upstreams[effect.upstream]
        if not (fake.alive and self._can_reach(source, fake.name)):
            error = errors.ConnectionLostError(fake.name)
            item = items.UpstreamFailed(self.now, effect.conn, error)
            self._schedule_item(source, lambda: item)
            return
        session_id = next(self._sequence)
        session = UpstreamSession(session_id, source, effect.conn, fake)
        self._sessions[id(source), effect.conn] = session
        self._schedule_item(
            source, lambda: items.UpstreamOpened(self.now, effect.conn)
        )

    def _find_session(self, source: Proxy, conn: int) -> UpstreamSession | None:
        return self._sessions.get((id(source), conn))

    def _run_call(self, source: Proxy, effect: items.RunUpstream) -> None:
        session = self._find_session(source, effect.conn)
        if session is None:
            return
        call_id = next(self._sequence) + 1
        session.call_id = call_id

        def on_reply(reply: upstream.Reply) -> None:
            if not self._can_reach(session.source, session.fake.name):
                return
            for delay_s in self._delivery_delays(reply):
                self.call_later(
                    delay_s,
                    lambda: self._deliver_reply(session, call_id, reply),
                )

        def execute() -> None:
            reached = self._can_reach(session.source, session.fake.name)
            if session.fake.alive and reached:
                session.fake.execute(session.session_id, effect.call, on_reply)

        for delay_s in self._delivery_delays(effect.call)[:1]:
            session.last_arrival_at = self.now + delay_s
            self.call_later(delay_s, execute)
        self.call_later(
            max(effect.timeout_s, HOP_DELAY_S),
            lambda: self._time_out(session, call_id),
        )

    def _deliver_reply(
        self, session: UpstreamSession, call_id: int, reply
    ) -> None:
        if session.call_id == call_id and self._is_open(session):
            session.call_id = 0
            item = items.UpstreamReplied(self.now, session.conn, reply)
            self._feed_if_running(session.source, item)

    def _time_out(self, session: UpstreamSession, call_id: int) -> None:
        if session.call_id == call_id and self._is_open(session):
            self._fail_session(session, errors.ConnectionLostError("timeout"))

    def _fail_session(
        self, session: UpstreamSession, error: errors.FescueshuntError
    ) -> None:
        self._close_session(session)
        self._feed_if_running(
            session.source,
            items.UpstreamFailed(self.now, session.conn, error),
        )

    def _is_open(self, session: UpstreamSession) -> bool:
        return (id(session.source), session.conn) in self._sessions

    def _close_session(self, session: UpstreamSession) -> None:
        """Closes a connection after the calls sent on it have arrived."""
        del self._sessions[id(session.source), session.conn]
        delay_s = max(session.last_arrival_at - self.now, 0.0) + self._hop_s()
        self.call_later(delay_s, lambda: session.fake.close(session.session_id))

    def _run_control(self, source: Proxy, effect: items.CallControl) -> None:
        fake = self.upstreams[effect.upstream]
        sent_at = self.now
        pending = [True]

        def finish(item: filters.Item) -> None:
            if pending:
                pending.clear()
                self._feed_if_running(source, item)

        def on_reply(reply: upstream.Reply) -> None:
            if not self._can_reach(source, fake.name):
                return
            for delay_s in self._delivery_delays():
                self.call_later(
                    delay_s,
                    lambda: finish(
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
            if fake.alive and self._can_reach(source, fake.name):
                fake.control(effect.call, self.now, on_reply)

        for delay_s in self._delivery_delays()[:1]:
            self.call_later(delay_s, execute)
        error = errors.ConnectionLostError("timeout")
        self.call_later(
            effect.timeout_s,
            lambda: finish(
                items.ControlFailed(
                    self.now,
                    effect.database,
                    effect.upstream,
                    effect.call,
                    error,
                )
            ),
        )

    # Clock, replication and message delays.

    def _tick(self, name: str, started: Proxy) -> None:
        if self.proxies.get(name) is not started:
            return
        self.feed(name, filters.Tick(self.now, WALL_CLOCK_OFFSET_S + self.now))
        self.call_later(TICK_INTERVAL_S, lambda: self._tick(name, started))

    def _replicate(self) -> None:
        for replica in self.upstreams.values():
            primary = self.upstreams.get(replica.follows)
            replica.expire(self.now)
            if primary is None or not replica.is_replicating:
                continue
            if not (replica.alive and primary.alive):
                continue
            zones = (
                self._zone_of_upstream(replica.name),
                self._zone_of_upstream(primary.name),
            )
            if self.is_partitioned(*zones):
                continue
            term = replica.engine.term
            entries = primary.engine.entries_after(term, replica.engine.history)
            replica.engine.apply_log(term, entries)
            replica.answer_waiting_calls()
        self.call_later(HOP_DELAY_S * 2, self._replicate)

    def _schedule_item(
        self, source: Proxy, make: Callable[[], filters.Item]
    ) -> None:
        self.call_later(
            self._hop_s(), lambda: self._feed_if_running(source, make())
        )

    def _feed_if_running(self, source: Proxy, item: filters.Item) -> None:
        if self.proxies.get(source.proxy_identity.name) is source:
            self.feed(source.proxy_identity.name, item)

    def _hop_s(self) -> float:
        return HOP_DELAY_S * self.rng.uniform(0.5, 1.5)

    def _delivery_delays(self, message: object = None) -> list[float]:
        """Returns the delay of each delivered copy of a message, in seconds.

        The list is empty if the message is lost. A test can override the delays
        with `delivery_hook`.
        """
        hook_delays = self.delivery_hook(message)
        if hook_delays is not None:
            return hook_delays
        if self.rng.random() < self.faults.loss_rate:
            self.message_faults += 1
            return []
        delay_s = self._hop_s()
        if self.rng.random() < self.faults.delay_rate:
            self.message_faults += 1
            delay_s += self.rng.uniform(0.0, MAX_EXTRA_DELAY_S)
        if self.rng.random() < self.faults.duplication_rate:
            self.message_faults += 1
            return [delay_s, delay_s + self.rng.uniform(0.0, MAX_EXTRA_DELAY_S)]
        return [delay_s]
