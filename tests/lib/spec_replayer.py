"""Replays a trace of the specification against the real filters and engines.

Each label is carried out as one step. A step that the filters or engines
refuse has no effect, as in a running system.
"""

from __future__ import annotations

import random

from fescueshunt import errors
from fescueshunt.core import (
    document,
    filters,
    identity,
    items,
    position,
    request,
    upstream,
    views,
)
from fescueshunt.failover import items as failover_items
from fescueshunt.failover import propose
from fescueshunt.health import pipe as health_pipe
from fescueshunt.request import acknowledge, write
from fescueshunt.request import items as request_items
from fescueshunt_wire import codec
from lib import fake_upstreams, simulated_settings

STEP_INTERVAL_S = 0.001
VOTE_WAIT_S = 0.06
REQUEST_ID = request.make_request_id(1.8e9, bytes(10))
INSERT = request.Statement("INSERT INTO hit VALUES ('x')")
OTHER_INSERT = request.Statement("INSERT INTO hit VALUES ('other')")
SELECT = request.Statement("SELECT tag FROM hit WHERE tag = 'x'")
DATABASE = simulated_settings.SETTINGS.databases[0]
SERVICE_BY_DURABILITY = {
    document.Durability.MAJORITY: document.Service("pay", "group", "urgent"),
    document.Durability.PRIMARY: document.Service(
        "pay", "group", "urgent", durability=document.Durability.PRIMARY
    ),
}
ACCEPTS = (
    request_items.Started,
    items.UpstreamReplied,
    views.GroupView,
    views.SettingsView,
    views.FleetView,
    request_items.Committed,
)


def upstream_name(number: str | int) -> str:
    return f"db-{number}"


def _proposer_zones(labels: list[str]) -> dict[str, str]:
    """Returns the zone of the upstream that each ballot chooses, by term.

    The proposer is placed in that zone, so that it breaks ties as in the trace.
    """
    choices = [label.split() for label in labels if "choose" in label]
    return {
        term: simulated_settings.ZONES[int(chosen)]
        for _, term, chosen in choices
    }


class ReplayedAttempt:
    """One request, and the health, write and acknowledge filters of a proxy."""

    def __init__(self, number: int, kind: request.Kind, service) -> None:
        local_proxy = identity.Identity(
            f"proxy-{number}", "zone-a", "127.0.0.1:9"
        )
        stages = (
            write.Write(codec.ResultCodec()),
            acknowledge.Acknowledge(local_proxy),
        )
        serving = filters.Pipe(stages, ACCEPTS)
        self.core = filters.Core((health_pipe.build(local_proxy), serving))
        member = views.Member.from_identity(local_proxy)
        self.feed(views.FleetView(0.0, (member,)))
        self.feed(views.SettingsView(0.0, simulated_settings.SETTINGS))
        self.kind = kind
        self.service = service
        self.fake_upstream: fake_upstreams.FakeUpstream | None = None
        self.call: items.RunUpstream | None = None
        self.answer: request.Answer | None = None
        self.committed = False
        self.overtaken = False

    def feed(self, item: filters.Item) -> None:
        for effect in list(self.core.feed(item)):
            match effect:
                case items.RunUpstream():
                    self.call = effect
                case request_items.Committed():
                    self.committed = True
                case request_items.Answered():
                    self.answer = effect.answer

    def observe(
        self, fake_upstream: fake_upstreams.FakeUpstream, now: float
    ) -> None:
        replies: list[upstream.Reply] = []
        call = upstream.ReadStatus()
        fake_upstream.control(call, now, replies.append)
        self.feed(
            items.ControlReplied(
                now, "db", fake_upstream.name, call, now, replies[0]
            )
        )

    def send(
        self, fake_upstream: fake_upstreams.FakeUpstream, now: float
    ) -> None:
        self.fake_upstream = fake_upstream
        self.observe(fake_upstream, now)
        is_outcome_query = self.kind is request.Kind.OUTCOME
        req = request.Request(
            bytes(16) if is_outcome_query else REQUEST_ID,
            "pay",
            "db",
            self.kind,
            () if is_outcome_query else (INSERT,),
            transaction=REQUEST_ID if is_outcome_query else b"",
        )
        origin = request_items.CallerOrigin(1, 1)
        rank = simulated_settings.SETTINGS.ranks[0]
        work = request_items.Work(
            now, 1, origin, req, self.service, rank, deadline=1e9
        )
        self.feed(request_items.Started(now, work, fake_upstream.name, 1))

    def execute(self, conn: int, now: float) -> None:
        """Executes the upstream calls of the request until none is left."""
        while self.call is not None:
            replies: list[upstream.Reply] = []
            call, self.call = self.call.call, None
            self.fake_upstream.execute(conn, call, replies.append)
            self.feed(items.UpstreamReplied(now, 1, replies[0]))


class ReplayedGroup:
    """The real engines, proposers and attempts that replay one trace."""

    def __init__(self, bounds, labels: list[str]) -> None:
        self.zones = _proposer_zones(labels)
        self.now = 100.0
        self.fakes = {
            upstream_name(n): fake_upstreams.FakeUpstream(
                upstream_name(n), n == 0, simulated_settings.SCHEMA
            )
            for n in range(3)
        }
        durability = document.Durability.PRIMARY
        if bounds.wait_for_majority:
            durability = document.Durability.MAJORITY
        kinds = [request.Kind.WRITE] * bounds.writes
        kinds += [request.Kind.OUTCOME] * bounds.outcome_queries
        self.attempts = [
            ReplayedAttempt(n, kind, SERVICE_BY_DURABILITY[durability])
            for n, kind in enumerate(kinds)
        ]
        self.proposers: dict[str, propose.Proposer] = {}
        self.pending_calls: dict[tuple[str, str], items.CallControl] = {}
        self.primary_by_term: dict[str, str] = {}
        for _ in range(bounds.tail):
            first_engine = self.fakes[upstream_name(0)].engine
            first_engine.begin()
            first_engine.execute((OTHER_INSERT,))
            first_engine.commit()

    def replay_step(self, label: str) -> None:
        """Carries out one step, as far as the filters and engines allow it."""
        self.now += STEP_INTERVAL_S
        verb, *rest = label.split()
        getattr(self, f"_{verb}")(*rest)

    def _fence(self, term: str, number: str) -> None:
        if term not in self.proposers:
            self._suspect(term)
        self._deliver_call(term, upstream_name(number))

    def _choose(self, term: str, number: str) -> None:
        self.now += VOTE_WAIT_S
        self._feed(term, filters.Tick(self.now, self.now))

    def _promote(self, term: str, number: str) -> None:
        self._deliver_call(term, "promote")

    def _follow(self, term: str, number: str) -> None:
        primary = self.primary_by_term.get(term)
        if primary is not None:
            ballot = position.Term(int(term), f"proposer-{term}")
            call = upstream.Follow(ballot, primary, "")
            self.fakes[upstream_name(number)].control(
                call, self.now, lambda _: None
            )

    def _replicate(self, number: str) -> None:
        replica = self.fakes[upstream_name(number)].engine
        for fake_upstream in self.fakes.values():
            log_read = fake_upstream.engine.entries_after(
                replica.term, replica.history
            )
            if fake_upstream.engine is not replica and log_read.accepted:
                next_entry = log_read.entries[:1]
                log_read = type(log_read)(True, log_read.after, next_entry)
                replica.apply_log(replica.term, log_read)

    def _send(self, number: str, target: str) -> None:
        self.attempts[int(number)].send(
            self.fakes[upstream_name(target)], self.now
        )

    def _execute(self, number: str) -> None:
        attempt = self.attempts[int(number)]
        term = attempt.fake_upstream.engine.term
        attempt.overtaken = self.find_newest_upstream().engine.term > term
        attempt.execute(int(number), self.now)

    def _observe(self, number: str, target: str) -> None:
        attempt = self.attempts[int(number)]
        attempt.observe(self.fakes[upstream_name(target)], self.now)

    def _tell(self, number: str) -> None:
        """Does nothing: the real filters answer as soon as they may."""

    def _suspect(self, term: str) -> None:
        zone = self.zones.get(term, "")
        local_proxy = identity.Identity(f"proposer-{term}", zone, "127.0.0.1:8")
        self.proposers[term] = propose.Proposer(local_proxy, random.Random(1))
        self._feed(
            term, views.SettingsView(self.now, simulated_settings.SETTINGS)
        )
        previous_term = position.Term(int(term) - 1)
        states = tuple(
            views.UpstreamState(
                name, self._status_of(name, previous_term), self.now
            )
            for name in self.fakes
        )
        view = views.GroupView(self.now, "db", previous_term, "", states=states)
        for _ in range(2):
            self._feed(
                term,
                failover_items.PrimarySuspected(
                    self.now, view, views.Cause.FAILING, ("a", "b"), 0
                ),
            )
            self.now += propose.START_JITTER_S

    def _status_of(self, name: str, promised: position.Term) -> upstream.Status:
        history = self.fakes[name].engine.history
        return upstream.Status(
            name, upstream.Role.REPLICA, promised, promised, history
        )

    def _feed(self, term: str, item: filters.Item) -> None:
        for effect in list(self.proposers[term].process(item)):
            match effect:
                case items.CallControl(call=upstream.Fence()):
                    self.pending_calls[term, effect.upstream] = effect
                case items.CallControl(call=upstream.Promote()):
                    self.pending_calls[term, "promote"] = effect
                case views.Promotion():
                    self.primary_by_term[term] = effect.primary

    def _deliver_call(self, term: str, key: str) -> None:
        control_call = self.pending_calls.pop((term, key), None)
        if control_call is None:
            return
        replies: list[upstream.Reply] = []
        fake_upstream = self.fakes[control_call.upstream]
        fake_upstream.control(control_call.call, self.now, replies.append)
        reply = replies[0]
        self._feed(
            term,
            items.ControlReplied(
                self.now,
                "db",
                control_call.upstream,
                control_call.call,
                self.now,
                reply,
            ),
        )

    # Properties to verify after each step.

    def find_newest_upstream(self) -> fake_upstreams.FakeUpstream:
        """Returns the upstream whose current or last term is the highest."""
        return max(
            self.fakes.values(),
            key=lambda fake_upstream: fake_upstream.engine.term,
        )

    def count_rows(self, fake_upstream: fake_upstreams.FakeUpstream) -> int:
        (result,) = fake_upstream.engine.read((SELECT,))
        return len(result.rows)

    def violations(self) -> list[str]:
        """Returns the contradictions between the answers and the logs."""
        answered = [a for a in self.attempts if a.answer is not None]
        done = [a for a in answered if a.answer.error is None]
        not_run = [
            a for a in answered if a.answer.outcome is errors.Outcome.NOT_RUN
        ]
        newest_upstream = self.find_newest_upstream()
        serves = newest_upstream.engine.role is upstream.Role.PRIMARY
        contradictions = []
        if done and serves and not self.count_rows(newest_upstream):
            contradictions.append("lost")
        if not_run and serves and self.count_rows(newest_upstream):
            contradictions.append("ran")
        if any(a.overtaken for a in done):
            contradictions.append("replaced")
        contradictions += [
            "twice" for f in self.fakes.values() if self.count_rows(f) > 1
        ]
        contradictions += [
            f"missed at {fake_upstream.name}"
            for a in done
            for fake_upstream in self.fakes.values()
            if fake_upstream.engine.history.holds(a.answer.token)
            and not self.count_rows(fake_upstream)
        ]
        return contradictions
