"""Filter that records steps of requests and answers EXPLAIN REQUEST."""

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
MS_DECIMALS = 3
PeerSeq = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamConnection:
    """An open connection to an upstream.

    Attributes:
      database: the name of the upstream's database.
      upstream: the name of the upstream.
    """

    database: str
    upstream: str


UNKNOWN_CONNECTION = UpstreamConnection("", "")


@dataclasses.dataclass(slots=True)
class RecorderState:
    """The state of the filter.

    Attributes:
      steps: the newest steps of all requests, in a bounded queue.
      connections: the connections to upstreams, by connection number.
      running_requests: the id of the request that runs on each connection, by
        connection number.
      forwarded: the ids of forwarded requests, by (home proxy, seq).
      received: the ids of requests from other proxies, by (sender, seq).
      groups: the newest view of each database's group, by database.
    """

    steps: collections.deque[steps.Step]
    connections: dict[int, UpstreamConnection] = dataclasses.field(
        default_factory=dict
    )
    running_requests: dict[int, bytes] = dataclasses.field(default_factory=dict)
    forwarded: dict[PeerSeq, bytes] = dataclasses.field(default_factory=dict)
    received: dict[PeerSeq, bytes] = dataclasses.field(default_factory=dict)
    groups: dict[str, views.GroupView] = dataclasses.field(default_factory=dict)


class StepRecorder(filters.Filter):
    """Keeps the newest steps of requests and answers EXPLAIN from them."""

    def __init__(self, name: str, max_steps: int = MAX_STEPS) -> None:
        """Initializes the recorder.

        Args:
          name: the name of this proxy, which the answers contain.
          max_steps: the number of steps to keep.
        """
        self._name = name
        self._state = RecorderState(collections.deque(maxlen=max_steps))
        self._handlers = {
            core_items.CallerRequest: self._record_request,
            core_items.SendPeer: self._record_sent,
            core_items.PeerReceived: self._record_received,
            core_items.OpenUpstream: self._add_connection,
            core_items.CloseUpstream: self._remove_connection,
            core_items.RunUpstream: self._record_run,
            core_items.UpstreamReplied: self._record_reply,
            core_items.UpstreamFailed: self._record_failure,
            core_items.AnswerCaller: self._record_answer,
            views.GroupView: self._update_group,
        }

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields answers to EXPLAIN REQUEST.

        Items that are recorded end here; others pass through.
        """
        handler = self._handlers.get(type(item))
        if handler is not None:
            handler(item)
            return
        match item:
            case queries.LocalQuery(
                statement=statements.Explain(event=statements.Event.REQUEST)
            ):
                yield self._explain(item)
            case _:
                yield item

    def _record_request(self, item: core_items.CallerRequest) -> None:
        req = item.req
        self._state.steps.append(
            steps.RequestReceived(
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

    def _record_answer(self, item: core_items.AnswerCaller) -> None:
        self._state.steps.append(
            steps.make_answer_step(item.at, "", item.answer)
        )

    def _record_sent(self, item: core_items.SendPeer) -> None:
        key = (item.name, getattr(item.message, "seq", 0))
        match item.message:
            case peer.ForwardedRequest() as sent:
                request_id = sent.request.request_id
                _put_bounded(self._state.forwarded, key, request_id)
                self._state.steps.append(
                    steps.RequestForwarded(
                        item.at, request_id, item.name, sent.upstream
                    )
                )
            case peer.ForwardedAnswer(answer=answer):
                self._state.received.pop(key, None)
                step = steps.make_answer_step(
                    item.at, f"to {item.name}", answer
                )
                self._state.steps.append(step)
            case peer.Redirected() as sent:
                request_id = self._state.received.pop(key, b"")
                self._record_return(
                    item.at, f"to {item.name}", request_id, sent
                )

    def _record_received(self, item: core_items.PeerReceived) -> None:
        key = (item.sender, getattr(item.message, "seq", 0))
        match item.message:
            case peer.ForwardedRequest() as message:
                request_id = message.request.request_id
                _put_bounded(self._state.received, key, request_id)
                self._state.steps.append(
                    steps.ForwardReceived(
                        item.at,
                        request_id,
                        item.sender,
                        message.upstream,
                        message.remaining_s,
                        message.in_doubt,
                    )
                )
            case peer.ForwardedAnswer(answer=answer):
                self._state.forwarded.pop(key, None)
                step = steps.make_answer_step(
                    item.at, f"of {item.sender}", answer
                )
                self._state.steps.append(step)
            case peer.Redirected() as message:
                request_id = self._state.forwarded.pop(key, b"")
                self._record_return(
                    item.at, f"by {item.sender}", request_id, message
                )

    def _record_return(
        self,
        now: float,
        peer_label: str,
        request_id: bytes,
        sent: peer.Redirected,
    ) -> None:
        primary = sent.brief.primary if sent.brief is not None else ""
        self._state.steps.append(
            steps.RequestReturned(
                now,
                request_id,
                peer_label,
                sent.error,
                sent.suggested,
                primary,
                sent.in_doubt,
            )
        )

    def _add_connection(self, item: core_items.OpenUpstream) -> None:
        self._state.connections[item.conn] = UpstreamConnection(
            item.database, item.upstream
        )

    def _remove_connection(self, item: core_items.CloseUpstream) -> None:
        self._state.connections.pop(item.conn, None)
        self._state.running_requests.pop(item.conn, None)

    def _update_group(self, view: views.GroupView) -> None:
        self._state.groups[view.database] = view

    def _record_run(self, item: core_items.RunUpstream) -> None:
        if not item.request_id:
            return
        conn = self._state.connections.get(item.conn, UNKNOWN_CONNECTION)
        self._state.running_requests[item.conn] = item.request_id
        view = self._state.groups.get(conn.database)
        self._state.steps.append(
            steps.CallStarted(
                item.at,
                item.request_id,
                getattr(item.call, "mode", type(item.call).__name__),
                conn.upstream,
                view.primary if view is not None else "",
                view.term.number if view is not None else 0,
                view.confirmed_at if view is not None else 0.0,
            )
        )

    def _record_reply(self, item: core_items.UpstreamReplied) -> None:
        request_id = self._state.running_requests.pop(item.conn, b"")
        if not request_id:
            return
        history = getattr(item.reply, "history", None)
        self._state.steps.append(
            steps.ReplyReceived(
                item.at,
                request_id,
                self._state.connections.get(
                    item.conn, UNKNOWN_CONNECTION
                ).upstream,
                type(item.reply).__name__,
                getattr(item.reply, "reason", ""),
                history.end if history is not None else 0,
            )
        )

    def _record_failure(self, item: core_items.UpstreamFailed) -> None:
        request_id = self._state.running_requests.pop(item.conn, b"")
        conn = self._state.connections.pop(item.conn, UNKNOWN_CONNECTION)
        if request_id:
            self._state.steps.append(
                steps.ConnectionLost(
                    item.at, request_id, conn.upstream, item.error
                )
            )

    def _explain(self, query: queries.LocalQuery) -> queries.LocalReply:
        answer = self._explain_request(query.statement.name)
        return queries.LocalReply(query.at, query.number, answer)

    def _explain_request(self, name: str) -> statements.OperatorAnswer:
        try:
            request_id = bytes.fromhex(name)
        except ValueError:
            invalid_id = errors.RequestInvalidError(
                "a request id is 32 hex digits"
            )
            return statements.OperatorAnswer(error=invalid_id)
        matching = [s for s in self._state.steps if s.request_id == request_id]
        if not matching:
            not_found = errors.RequestInvalidError(
                "no record of the request is available; ask the proxy that the "
                "caller used, soon after the request"
            )
            return statements.OperatorAnswer(error=not_found)
        rows = tuple(
            (
                round((step.at - matching[0].at) * MS_PER_S, MS_DECIMALS),
                self._name,
                step.name,
                step.describe(),
            )
            for step in matching
        )
        return statements.OperatorAnswer(statements.Table(COLUMNS, rows))


def _put_bounded(
    entries: dict[PeerSeq, bytes], key: PeerSeq, request_id: bytes
) -> None:
    """Adds an entry and removes the oldest one if there are too many."""
    entries[key] = request_id
    if len(entries) > MAX_STEPS:
        del entries[next(iter(entries))]
