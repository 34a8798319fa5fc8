"""A proxy's core driven by plain calls; the world around it answers at once."""

from __future__ import annotations

import collections
import itertools
from typing import TYPE_CHECKING

from capacity import declared
from fescueshunt import proxy
from fescueshunt.core import (
    filters,
    items,
    membership,
    peer,
    position,
    request,
    upstream,
    views,
)
from fescueshunt_wire import codec

if TYPE_CHECKING:
    from fescueshunt.core import document

NOW = 100.0
WALL_S = 1_800_000_000.0
DEADLINE_S = 5.0
NOISE_BYTES = 10
SETTLING_S = 4.0
SETTLING_TICKS = 40
HISTORY = position.History(
    (position.Branch(position.FIRST_TERM, 1),), 1_000_000
)


class Driven:
    """A core, its world, and how many requests were answered.

    Attributes:
      answered: how many callers and peers had an answer.
      sent: the last message to a peer.
    """

    def __init__(
        self,
        me: items.Host,
        fleet: tuple[items.Host, ...],
        settings: document.Document,
    ) -> None:
        self._core = proxy.build(declared.identify(me), codec.ResultCodec())
        self._seqs = itertools.count(1)
        self._end = HISTORY.end
        self._fleet = {h.name: member(h) for h in fleet if h != me}
        self._offered: document.Document | None = None
        self._polls: dict[tuple[str, str], items.CallControl] = {}
        self.answered = 0
        self.failed = 0
        self.sent: peer.PeerMessage | None = None
        self._settle(fleet, settings)

    def feed(self, item: filters.Item) -> None:
        """Feeds an item, and whatever the world answers to its effects."""
        waiting = collections.deque((item,))
        while waiting:
            for effect in self._core.feed(waiting.popleft()):
                answer = self._answer(effect)
                if answer is not None:
                    waiting.append(answer)

    def tick(self) -> None:
        """Feeds one tick; time itself stands still."""
        self.feed(filters.Tick(NOW, WALL_S))

    def report(self) -> int:
        """Answers every poll that waits; returns how many there were."""
        polls, self._polls = self._polls, {}
        for poll in polls.values():
            self.feed(self._status(poll))
        return len(polls)

    def ask(self, service: str, database: str) -> None:
        """Feeds one request of a caller."""
        seq = next(self._seqs)
        req = make_request(service, database, seq)
        self.feed(items.CallerRequest(NOW, WALL_S, 1, seq, req))

    def forward(self, service: str, member: str, database: str) -> None:
        """Feeds one request that another proxy forwarded to this home."""
        seq = next(self._seqs)
        req = make_request(service, database, seq)
        message = peer.ForwardedRequest(seq, member, req, DEADLINE_S)
        self.feed(items.PeerReceived(NOW, "proxy-of-entry", message))

    def _settle(
        self, fleet: tuple[items.Host, ...], settings: document.Document
    ) -> None:
        """Lets the core find its fleet and take its settings."""
        self._offered = settings
        start = NOW - SETTLING_S
        reply = membership.TableReply(tuple(self._fleet.values()))
        self.feed(filters.Tick(start, WALL_S))
        self.feed(items.HostsRead(start, fleet))
        self.feed(items.PeerReceived(start, fleet[-1].name, reply))
        for number in range(SETTLING_TICKS):
            now = start + SETTLING_S * number / SETTLING_TICKS
            self.feed(filters.Tick(now, WALL_S))
        for _ in range(2):
            self.tick()
            self.report()

    def _answer(self, effect: filters.Item) -> filters.Item | None:
        match effect:
            case items.AnswerCaller():
                self.answered += 1
                self.failed += effect.answer.error is not None
            case items.SendPeer(message=peer.ForwardedRequest() as message):
                self.sent = message
                return _forwarded(effect.name, message)
            case items.SendPeer(message=peer.ForwardedAnswer() as message):
                self.answered += 1
                self.failed += message.answer.error is not None
                self.sent = message
            case items.SendPeer(message=membership.Ping() as ping):
                return self._ack(effect, ping)
            case items.ReadSettings() if self._offered is not None:
                return self._read_settings(effect)
            case items.OpenUpstream():
                return items.UpstreamOpened(NOW, effect.conn)
            case items.RunUpstream(call=upstream.Execute() as call):
                return items.UpstreamReplied(
                    NOW, effect.conn, self._execute(call)
                )
            case items.CallControl(call=upstream.ReadStatus()):
                self._polls[effect.database, effect.upstream] = effect
        return None

    def _ack(
        self, effect: items.SendPeer, ping: membership.Ping
    ) -> items.PeerReceived | None:
        target = self._fleet.get(effect.name)
        if target is None:
            return None
        ack = membership.Ack(ping.seq, target)
        return items.PeerReceived(effect.at, effect.name, ack)

    def _read_settings(self, effect: items.ReadSettings) -> items.SettingsRead:
        found, self._offered = self._offered, None
        return items.SettingsRead(effect.at, found, found.revision)

    def _execute(self, call: upstream.Execute) -> upstream.Executed:
        if call.mode is upstream.Mode.COMMIT:
            self._end += 1
        results = tuple(declared.ROWS for _ in call.statements)
        return upstream.Executed(results, self._history(), position.FIRST_TERM)

    def _history(self) -> position.History:
        return position.History(HISTORY.branches, self._end)

    def _status(self, poll: items.CallControl) -> items.ControlReplied:
        primary = f"{poll.database}-a"
        role = upstream.Role.REPLICA
        if poll.upstream == primary:
            role = upstream.Role.PRIMARY
        status = upstream.Status(
            poll.upstream,
            role,
            position.FIRST_TERM,
            position.FIRST_TERM,
            self._history(),
            primary,
        )
        return items.ControlReplied(
            NOW, poll.database, poll.upstream, poll.call, NOW, status
        )


def member(entry: items.Host) -> views.Member:
    """Returns what the fleet knows of a proxy on the host list."""
    return views.Member(entry.name, entry.zone, entry.address, 1)


def make_request(service: str, database: str, seq: int) -> request.Request:
    """Returns a request whose id is made from `seq`."""
    noise = seq.to_bytes(NOISE_BYTES, "big")
    kind = request.Kind.READ
    if service == declared.WRITE:
        kind = request.Kind.WRITE
    return request.Request(
        request.make_request_id(WALL_S, noise),
        service,
        database,
        kind,
        (declared.STATEMENT,),
        "kiosk-0001",
        timeout_s=DEADLINE_S,
    )


def _forwarded(name: str, message: peer.ForwardedRequest) -> items.PeerReceived:
    answer = request.Answer(
        message.request.request_id,
        (declared.ROWS,),
        position.Position(position.FIRST_TERM, HISTORY.end),
        message.upstream,
    )
    return items.PeerReceived(
        NOW, name, peer.ForwardedAnswer(message.seq, answer)
    )
