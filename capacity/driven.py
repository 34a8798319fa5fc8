"""A harness that runs a proxy core with simulated I/O in one thread."""

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

MONOTONIC_NOW_S = 100.0
WALL_CLOCK_S = 1_800_000_000.0
REQUEST_TIMEOUT_S = 5.0
RANDOM_BYTES = 10
WARMUP_S = 4.0
WARMUP_TICKS = 40
INITIAL_HISTORY = position.History(
    (position.Branch(position.FIRST_TERM, 1),), 1_000_000
)


class CoreHarness:
    """Runs a proxy core and replies to its effects immediately.

    The harness stands in for the peers, the settings store and the upstreams.
    Status polls are answered only by `answer_status_polls`.

    Attributes:
      answer_count: the number of answers that the core sent to callers and
        peers.
      error_count: the number of those answers that carry an error.
      last_peer_message: the last forwarded request or answer that the core
        sent to a peer.
    """

    def __init__(
        self,
        own_host: items.Host,
        host_list: tuple[items.Host, ...],
        settings: document.Document,
    ) -> None:
        self._core = proxy.build(
            declared.make_identity(own_host), codec.ResultCodec()
        )
        self._seqs = itertools.count(1)
        self._last_index = INITIAL_HISTORY.end
        self._other_members = {
            h.name: make_member(h) for h in host_list if h != own_host
        }
        self._pending_settings: document.Document | None = None
        self._pending_polls: dict[tuple[str, str], items.CallControl] = {}
        self.answer_count = 0
        self.error_count = 0
        self.last_peer_message: peer.PeerMessage | None = None
        self._warm_up(host_list, settings)

    def feed(self, item: filters.Item) -> None:
        """Feeds an item, then the replies to its effects until none is left."""
        pending_items = collections.deque((item,))
        while pending_items:
            for effect in self._core.feed(pending_items.popleft()):
                answer = self._reply_to(effect)
                if answer is not None:
                    pending_items.append(answer)

    def tick(self) -> None:
        """Feeds one tick; the simulated clock does not advance."""
        self.feed(filters.Tick(MONOTONIC_NOW_S, WALL_CLOCK_S))

    def answer_status_polls(self) -> int:
        """Answers all pending status polls and returns their number."""
        polls, self._pending_polls = self._pending_polls, {}
        for poll in polls.values():
            self.feed(self._make_status_reply(poll))
        return len(polls)

    def send_request(self, service: str, database: str) -> None:
        """Feeds one request from a caller."""
        seq = next(self._seqs)
        req = make_request(service, database, seq)
        self.feed(
            items.CallerRequest(MONOTONIC_NOW_S, WALL_CLOCK_S, 1, seq, req)
        )

    def send_forwarded_request(
        self, service: str, upstream_name: str, database: str
    ) -> None:
        """Feeds one request that an entry proxy has forwarded to this home."""
        seq = next(self._seqs)
        req = make_request(service, database, seq)
        message = peer.ForwardedRequest(
            seq, upstream_name, req, REQUEST_TIMEOUT_S
        )
        self.feed(
            items.PeerReceived(MONOTONIC_NOW_S, "proxy-of-entry", message)
        )

    def _warm_up(
        self, host_list: tuple[items.Host, ...], settings: document.Document
    ) -> None:
        """Feeds the host list, the members and the settings to the core."""
        self._pending_settings = settings
        start = MONOTONIC_NOW_S - WARMUP_S
        reply = membership.TableReply(tuple(self._other_members.values()))
        self.feed(filters.Tick(start, WALL_CLOCK_S))
        self.feed(items.HostsRead(start, host_list))
        self.feed(items.PeerReceived(start, host_list[-1].name, reply))
        for number in range(WARMUP_TICKS):
            now = start + WARMUP_S * number / WARMUP_TICKS
            self.feed(filters.Tick(now, WALL_CLOCK_S))
        for _ in range(2):
            self.tick()
            self.answer_status_polls()

    def _reply_to(self, effect: filters.Item) -> filters.Item | None:
        match effect:
            case items.AnswerCaller():
                self.answer_count += 1
                self.error_count += effect.answer.error is not None
            case items.SendPeer(message=peer.ForwardedRequest() as message):
                self.last_peer_message = message
                return _make_forwarded_answer(effect.name, message)
            case items.SendPeer(message=peer.ForwardedAnswer() as message):
                self.answer_count += 1
                self.error_count += message.answer.error is not None
                self.last_peer_message = message
            case items.SendPeer(message=membership.Ping() as ping):
                return self._make_ack(effect, ping)
            case items.ReadSettings() if self._pending_settings is not None:
                return self._reply_to_settings_read(effect)
            case items.OpenUpstream():
                return items.UpstreamOpened(MONOTONIC_NOW_S, effect.conn)
            case items.RunUpstream(call=upstream.Execute() as call):
                return items.UpstreamReplied(
                    MONOTONIC_NOW_S, effect.conn, self._execute(call)
                )
            case items.CallControl(call=upstream.ReadStatus()):
                self._pending_polls[effect.database, effect.upstream] = effect
        return None

    def _make_ack(
        self, effect: items.SendPeer, ping: membership.Ping
    ) -> items.PeerReceived | None:
        target = self._other_members.get(effect.name)
        if target is None:
            return None
        ack = membership.Ack(ping.seq, target)
        return items.PeerReceived(effect.at, effect.name, ack)

    def _reply_to_settings_read(
        self, effect: items.ReadSettings
    ) -> items.SettingsRead:
        settings, self._pending_settings = self._pending_settings, None
        return items.SettingsRead(effect.at, settings, settings.revision)

    def _execute(self, call: upstream.Execute) -> upstream.Executed:
        if call.mode is upstream.Mode.COMMIT:
            self._last_index += 1
        results = tuple(declared.RESULT_SET for _ in call.statements)
        return upstream.Executed(
            results, self._current_history(), position.FIRST_TERM
        )

    def _current_history(self) -> position.History:
        return position.History(INITIAL_HISTORY.branches, self._last_index)

    def _make_status_reply(
        self, poll: items.CallControl
    ) -> items.ControlReplied:
        primary = f"{poll.database}-a"
        role = upstream.Role.REPLICA
        if poll.upstream == primary:
            role = upstream.Role.PRIMARY
        status = upstream.Status(
            poll.upstream,
            role,
            position.FIRST_TERM,
            position.FIRST_TERM,
            self._current_history(),
            primary,
        )
        return items.ControlReplied(
            MONOTONIC_NOW_S,
            poll.database,
            poll.upstream,
            poll.call,
            MONOTONIC_NOW_S,
            status,
        )


def make_member(entry: items.Host) -> views.Member:
    """Returns the membership record of a proxy on the host list."""
    return views.Member(entry.name, entry.zone, entry.address, 1)


def make_request(service: str, database: str, seq: int) -> request.Request:
    """Returns a request; `seq` replaces the random bytes of its id."""
    random_bytes = seq.to_bytes(RANDOM_BYTES, "big")
    kind = request.Kind.READ
    if service == declared.WRITE_SERVICE:
        kind = request.Kind.WRITE
    return request.Request(
        request.make_request_id(WALL_CLOCK_S, random_bytes),
        service,
        database,
        kind,
        (declared.READ_STATEMENT,),
        "kiosk-0001",
        timeout_s=REQUEST_TIMEOUT_S,
    )


def _make_forwarded_answer(
    name: str, message: peer.ForwardedRequest
) -> items.PeerReceived:
    answer = request.Answer(
        message.request.request_id,
        (declared.RESULT_SET,),
        position.Position(position.FIRST_TERM, INITIAL_HISTORY.end),
        message.upstream,
    )
    return items.PeerReceived(
        MONOTONIC_NOW_S, name, peer.ForwardedAnswer(message.seq, answer)
    )
