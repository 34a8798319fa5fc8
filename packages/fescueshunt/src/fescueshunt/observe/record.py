"""Records of what was decided, and EXPLAIN, which reads them back."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import filters, peer, statements, views
from fescueshunt.core import items as core_items

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.core import request

MAX_STEPS = 8192
COLUMNS = ("after_ms", "proxy", "step", "facts")
MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One step of a request: what was decided, and on what facts."""

    at: float
    request_id: bytes
    name: str
    facts: str


@dataclasses.dataclass(slots=True)
class RecordState:
    """What the filter remembers.

    Attributes:
      steps: the newest steps of all requests, bounded.
      conns: the database and upstream of each connection to an upstream.
      running: the request that runs on a connection.
      forwarded: request ids by (home proxy, seq).
      arrived: request ids by (sending proxy, seq).
    """

    steps: collections.deque[Step]
    conns: dict[int, tuple[str, str]] = dataclasses.field(default_factory=dict)
    running: dict[int, bytes] = dataclasses.field(default_factory=dict)
    arrived: dict[tuple[str, int], bytes] = dataclasses.field(
        default_factory=dict
    )
    forwarded: dict[tuple[str, int], bytes] = dataclasses.field(
        default_factory=dict
    )
    groups: dict[str, views.GroupView] = dataclasses.field(default_factory=dict)


class Record(filters.Filter):
    """Keeps the newest steps of requests and explains them."""

    def __init__(self, name: str, max_steps: int = MAX_STEPS) -> None:
        self._name = name
        self._state = RecordState(collections.deque(maxlen=max_steps))

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields answers to EXPLAIN REQUEST."""
        match item:
            case core_items.CallerRequest(req=req):
                facts = _asked(req)
                self._note(
                    item.at, req.request_id, "request of a caller", facts
                )
            case core_items.SendPeer():
                self._sent(item)
            case core_items.PeerReceived():
                self._received(item)
            case core_items.OpenUpstream():
                self._state.conns[item.conn] = (item.database, item.upstream)
            case core_items.RunUpstream(request_id=request_id) if request_id:
                self._run(item)
            case core_items.UpstreamReplied():
                self._replied(item)
            case core_items.UpstreamFailed():
                self._failed(item)
            case core_items.CloseUpstream():
                self._state.conns.pop(item.conn, None)
                self._state.running.pop(item.conn, None)
            case core_items.AnswerCaller(answer=answer):
                facts = _answered(answer)
                self._note(item.at, answer.request_id, "answer", facts)
            case views.GroupView():
                self._state.groups[item.database] = item
            case core_items.OperatorAsked(
                statement=statements.Explain(event=statements.Event.REQUEST)
            ):
                yield self._explain(item)
            case _:
                yield item

    def _note(
        self, now: float, request_id: bytes, name: str, facts: str
    ) -> None:
        self._state.steps.append(Step(now, request_id, name, facts))

    def _sent(self, item: core_items.SendPeer) -> None:
        match item.message:
            case peer.ForwardedRequest() as sent:
                request_id = sent.request.request_id
                _bounded(
                    self._state.forwarded, (item.name, sent.seq), request_id
                )
                facts = f"chose {sent.upstream}, whose home is {item.name}"
                self._note(item.at, request_id, "forward", facts)
            case peer.ForwardedAnswer(answer=answer):
                self._state.arrived.pop((item.name, item.message.seq), None)
                facts = f"to {item.name}: {_answered(answer)}"
                self._note(item.at, answer.request_id, "answer a proxy", facts)
            case peer.Redirected() as sent:
                request_id = self._state.arrived.pop((item.name, sent.seq), b"")
                self._note(item.at, request_id, "send back", _redirected(sent))

    def _received(self, item: core_items.PeerReceived) -> None:
        match item.message:
            case peer.ForwardedRequest() as got:
                request_id = got.request.request_id
                _bounded(
                    self._state.arrived, (item.sender, got.seq), request_id
                )
                facts = (
                    f"from {item.sender} for {got.upstream}; "
                    f"{got.remaining_s:.3f} s left; in doubt: {got.in_doubt}"
                )
                self._note(item.at, request_id, "request of a proxy", facts)
            case peer.ForwardedAnswer(answer=answer):
                self._state.forwarded.pop((item.sender, item.message.seq), None)
                facts = f"of {item.sender}: {_answered(answer)}"
                self._note(item.at, answer.request_id, "home's answer", facts)
            case peer.Redirected() as got:
                key = (item.sender, got.seq)
                request_id = self._state.forwarded.pop(key, b"")
                facts = f"by {item.sender}: {_redirected(got)}"
                self._note(item.at, request_id, "sent back", facts)

    def _run(self, item: core_items.RunUpstream) -> None:
        database, upstream = self._state.conns.get(item.conn, ("", ""))
        self._state.running[item.conn] = item.request_id
        mode = getattr(item.call, "mode", None)
        facts = f"{mode or type(item.call).__name__} on {upstream}"
        view = self._state.groups.get(database)
        if view is not None:
            facts += f"; {_group(view, upstream, item.at)}"
        self._note(item.at, item.request_id, "run", facts)

    def _replied(self, item: core_items.UpstreamReplied) -> None:
        request_id = self._state.running.pop(item.conn, b"")
        if not request_id:
            return
        _, upstream = self._state.conns.get(item.conn, ("", ""))
        facts = f"{upstream}: {type(item.reply).__name__.lower()}"
        reason = getattr(item.reply, "reason", None)
        history = getattr(item.reply, "history", None)
        if reason is not None:
            facts += f", {reason.value}"
        if history is not None:
            facts += f", log ends at {history.end}"
        self._note(item.at, request_id, "reply", facts)

    def _failed(self, item: core_items.UpstreamFailed) -> None:
        request_id = self._state.running.pop(item.conn, b"")
        _, upstream = self._state.conns.pop(item.conn, ("", ""))
        if request_id:
            facts = f"{upstream}: {item.error}"
            self._note(item.at, request_id, "connection lost", facts)

    def _explain(
        self, asked: core_items.OperatorAsked
    ) -> core_items.AnswerOperator:
        answer = self._steps_of(asked.statement.name)
        return core_items.AnswerOperator(
            asked.at, asked.conn, asked.seq, answer
        )

    def _steps_of(self, name: str) -> statements.OperatorAnswer:
        try:
            request_id = bytes.fromhex(name)
        except ValueError:
            invalid = errors.RequestInvalidError(
                "a request id is 32 hex digits"
            )
            return statements.OperatorAnswer(error=invalid)
        steps = [s for s in self._state.steps if s.request_id == request_id]
        if not steps:
            unknown = errors.RequestInvalidError(
                "this proxy has no record of the request; ask the proxy that "
                "the caller used"
            )
            return statements.OperatorAnswer(error=unknown)
        rows = tuple(
            (
                round((step.at - steps[0].at) * MS_PER_S, 3),
                self._name,
                step.name,
                step.facts,
            )
            for step in steps
        )
        return statements.OperatorAnswer(statements.Table(COLUMNS, rows))


def _bounded(
    entries: dict[tuple[str, int], bytes], key: tuple[str, int], value: bytes
) -> None:
    """Adds an entry; the oldest makes room."""
    entries[key] = value
    if len(entries) > MAX_STEPS:
        del entries[next(iter(entries))]


def _asked(req: request.Request) -> str:
    facts = (
        f"{req.kind.value} of {req.service} on {req.database} "
        f"by {req.caller or '-'}; {req.timeout_s:g} s to answer"
    )
    if req.after is not None:
        term = req.after.term.number
        facts += f"; after {req.after.index} of term {term}"
    if req.unsure:
        facts += "; an earlier write has an unknown outcome"
    if req.max_age_s is not None:
        facts += f"; age up to {req.max_age_s:g} s"
    return facts


def _answered(answer: request.Answer) -> str:
    facts = f"{answer.outcome.value} by {answer.upstream or '-'}"
    if answer.error is not None:
        return f"{facts}; {answer.error}"
    if answer.repeated:
        facts += "; the recorded answer of an earlier run"
    if answer.from_replica:
        facts += "; a replica"
    if answer.age_s is not None:
        facts += f"; at most {answer.age_s:.3f} s old"
    if answer.token is not None:
        facts += f"; its log position is {answer.token.index}"
    return facts


def _redirected(message: peer.Redirected) -> str:
    facts = f"not run here: {message.error or '-'}"
    if message.suggested:
        facts += f"; try {message.suggested}"
    if message.brief is not None:
        facts += f"; primary {message.brief.primary or '-'}"
    return f"{facts}; in doubt: {message.in_doubt}"


def _group(view: views.GroupView, upstream: str, now: float) -> str:
    role = "primary" if upstream == view.primary else "replica"
    ago_s = now - view.confirmed_at
    return (
        f"{role} in term {view.term.number}, which a majority supported "
        f"{ago_s:.3f} s before"
    )
