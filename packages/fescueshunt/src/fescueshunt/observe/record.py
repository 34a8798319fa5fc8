"""Records of what was decided, and EXPLAIN, which reads them back."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import filters, peer, queries, statements, views
from fescueshunt.core import items as core_items
from fescueshunt.observe import steps

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_STEPS = 8192
COLUMNS = ("after_ms", "proxy", "step", "facts")
MS_PER_S = 1000
MS_DIGITS = 3
Seq = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Conn:
    """A connection to an upstream."""

    database: str
    upstream: str


NO_CONN = Conn("", "")


@dataclasses.dataclass(slots=True)
class RecordState:
    """What the filter remembers.

    Attributes:
      steps: the newest steps of all requests, bounded.
      conns: the connections to upstreams.
      running: the request that runs on a connection.
      forwarded: request ids by (home proxy, seq).
      arrived: request ids by (sending proxy, seq).
      groups: the newest view of each group.
    """

    steps: collections.deque[steps.Step]
    conns: dict[int, Conn] = dataclasses.field(default_factory=dict)
    running: dict[int, bytes] = dataclasses.field(default_factory=dict)
    forwarded: dict[Seq, bytes] = dataclasses.field(default_factory=dict)
    arrived: dict[Seq, bytes] = dataclasses.field(default_factory=dict)
    groups: dict[str, views.GroupView] = dataclasses.field(default_factory=dict)


class Record(filters.Filter):
    """Keeps the newest steps of requests and explains them."""

    def __init__(self, name: str, max_steps: int = MAX_STEPS) -> None:
        self._name = name
        self._state = RecordState(collections.deque(maxlen=max_steps))
        self._notes = {
            core_items.CallerRequest: self._asked,
            core_items.SendPeer: self._sent,
            core_items.PeerReceived: self._received,
            core_items.OpenUpstream: self._open,
            core_items.CloseUpstream: self._close,
            core_items.RunUpstream: self._run,
            core_items.UpstreamReplied: self._replied,
            core_items.UpstreamFailed: self._failed,
            core_items.AnswerCaller: self._answered,
            views.GroupView: self._see,
        }

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields answers to EXPLAIN REQUEST."""
        note = self._notes.get(type(item))
        if note is not None:
            note(item)
            return
        match item:
            case queries.LocalQuery(
                statement=statements.Explain(event=statements.Event.REQUEST)
            ):
                yield self._explain(item)
            case _:
                yield item

    def _asked(self, item: core_items.CallerRequest) -> None:
        req = item.req
        self._state.steps.append(
            steps.Asked(
                item.at,
                req.request_id,
                req.kind,
                req.service,
                req.database,
                req.caller,
                req.timeout_s,
                req.after,
                req.unsure,
                req.max_age_s,
            )
        )

    def _answered(self, item: core_items.AnswerCaller) -> None:
        self._state.steps.append(steps.answered(item.at, "", item.answer))

    def _sent(self, item: core_items.SendPeer) -> None:
        key = (item.name, getattr(item.message, "seq", 0))
        match item.message:
            case peer.ForwardedRequest() as sent:
                request_id = sent.request.request_id
                _remember(self._state.forwarded, key, request_id)
                self._state.steps.append(
                    steps.Forwarded(
                        item.at, request_id, item.name, sent.upstream
                    )
                )
            case peer.ForwardedAnswer(answer=answer):
                self._state.arrived.pop(key, None)
                step = steps.answered(item.at, f"to {item.name}", answer)
                self._state.steps.append(step)
            case peer.Redirected() as sent:
                request_id = self._state.arrived.pop(key, b"")
                self._send_back(item.at, f"to {item.name}", request_id, sent)

    def _received(self, item: core_items.PeerReceived) -> None:
        key = (item.sender, getattr(item.message, "seq", 0))
        match item.message:
            case peer.ForwardedRequest() as got:
                request_id = got.request.request_id
                _remember(self._state.arrived, key, request_id)
                self._state.steps.append(
                    steps.Arrived(
                        item.at,
                        request_id,
                        item.sender,
                        got.upstream,
                        got.remaining_s,
                        got.in_doubt,
                    )
                )
            case peer.ForwardedAnswer(answer=answer):
                self._state.forwarded.pop(key, None)
                step = steps.answered(item.at, f"of {item.sender}", answer)
                self._state.steps.append(step)
            case peer.Redirected() as got:
                request_id = self._state.forwarded.pop(key, b"")
                self._send_back(item.at, f"by {item.sender}", request_id, got)

    def _send_back(
        self, now: float, who: str, request_id: bytes, sent: peer.Redirected
    ) -> None:
        primary = sent.brief.primary if sent.brief is not None else ""
        self._state.steps.append(
            steps.SentBack(
                now,
                request_id,
                who,
                sent.error,
                sent.suggested,
                primary,
                sent.in_doubt,
            )
        )

    def _open(self, item: core_items.OpenUpstream) -> None:
        self._state.conns[item.conn] = Conn(item.database, item.upstream)

    def _close(self, item: core_items.CloseUpstream) -> None:
        self._state.conns.pop(item.conn, None)
        self._state.running.pop(item.conn, None)

    def _see(self, view: views.GroupView) -> None:
        self._state.groups[view.database] = view

    def _run(self, item: core_items.RunUpstream) -> None:
        if not item.request_id:
            return
        conn = self._state.conns.get(item.conn, NO_CONN)
        self._state.running[item.conn] = item.request_id
        view = self._state.groups.get(conn.database)
        self._state.steps.append(
            steps.Run(
                item.at,
                item.request_id,
                getattr(item.call, "mode", type(item.call).__name__),
                conn.upstream,
                view.primary if view is not None else "",
                view.term.number if view is not None else 0,
                view.confirmed_at if view is not None else 0.0,
            )
        )

    def _replied(self, item: core_items.UpstreamReplied) -> None:
        request_id = self._state.running.pop(item.conn, b"")
        if not request_id:
            return
        history = getattr(item.reply, "history", None)
        self._state.steps.append(
            steps.Replied(
                item.at,
                request_id,
                self._state.conns.get(item.conn, NO_CONN).upstream,
                type(item.reply).__name__,
                getattr(item.reply, "reason", ""),
                history.end if history is not None else 0,
            )
        )

    def _failed(self, item: core_items.UpstreamFailed) -> None:
        request_id = self._state.running.pop(item.conn, b"")
        conn = self._state.conns.pop(item.conn, NO_CONN)
        if request_id:
            self._state.steps.append(
                steps.Lost(item.at, request_id, conn.upstream, item.error)
            )

    def _explain(self, asked: queries.LocalQuery) -> queries.LocalReply:
        answer = self._steps_of(asked.statement.name)
        return queries.LocalReply(asked.at, asked.number, answer)

    def _steps_of(self, name: str) -> statements.OperatorAnswer:
        try:
            request_id = bytes.fromhex(name)
        except ValueError:
            invalid = errors.RequestInvalidError(
                "a request id is 32 hex digits"
            )
            return statements.OperatorAnswer(error=invalid)
        found = [s for s in self._state.steps if s.request_id == request_id]
        if not found:
            unknown = errors.RequestInvalidError(
                "no record of the request is kept; ask the proxy that the "
                "caller used, soon after"
            )
            return statements.OperatorAnswer(error=unknown)
        rows = tuple(
            (
                round((step.at - found[0].at) * MS_PER_S, MS_DIGITS),
                self._name,
                step.name,
                step.facts(),
            )
            for step in found
        )
        return statements.OperatorAnswer(statements.Table(COLUMNS, rows))


def _remember(entries: dict[Seq, bytes], key: Seq, request_id: bytes) -> None:
    """Adds an entry; the oldest makes room."""
    entries[key] = request_id
    if len(entries) > MAX_STEPS:
        del entries[next(iter(entries))]
