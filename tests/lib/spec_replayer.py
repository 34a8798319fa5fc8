"""Replays a trace of the specification against the real decisions.

Each label is carried out with the real filters and engines. A step that they
refuse is left out, as it would be in a running system.
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
from lib import fake_upstreams, world

STEP_S = 0.001
GRACE_S = 0.06
REQUEST_ID = request.make_request_id(1.8e9, bytes(10))
INSERT = request.Statement("INSERT INTO hit VALUES ('x')")
OTHER = request.Statement("INSERT INTO hit VALUES ('other')")
SELECT = request.Statement("SELECT tag FROM hit WHERE tag = 'x'")
DATABASE = world.SETTINGS.databases[0]
SERVICES = {
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


def name_of(number: str | int) -> str:
    return f"db-{number}"


def _zones_chosen(labels: list[str]) -> dict[str, str]:
    """Returns each ballot's choice in the trace, as its proposer's zone."""
    choices = [label.split() for label in labels if "choose" in label]
    return {term: world.ZONES[int(u)] for _, term, u in choices}


class Attempt:
    """A proxy's health, write and acknowledge filters, and one request."""

    def __init__(self, number: int, kind: request.Kind, service) -> None:
        me = identity.Identity(f"proxy-{number}", "zone-a", "127.0.0.1:9")
        stages = (
            write.Write(codec.ResultCodec()),
            acknowledge.Acknowledge(me),
        )
        serving = filters.Pipe(stages, ACCEPTS)
        self.core = filters.Core((health_pipe.build(me), serving))
        member = views.Member(me.name, me.zone, me.address, 1)
        self.feed(views.FleetView(0.0, (member,)))
        self.feed(views.SettingsView(0.0, world.SETTINGS))
        self.kind = kind
        self.service = service
        self.fake: fake_upstreams.FakeUpstream | None = None
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

    def observe(self, fake: fake_upstreams.FakeUpstream, now: float) -> None:
        replies: list[upstream.Reply] = []
        call = upstream.ReadStatus()
        fake.control(call, now, replies.append)
        self.feed(
            items.ControlReplied(now, "db", fake.name, call, now, replies[0])
        )

    def send(self, fake: fake_upstreams.FakeUpstream, now: float) -> None:
        self.fake = fake
        self.observe(fake, now)
        settles = self.kind is request.Kind.OUTCOME
        req = request.Request(
            bytes(16) if settles else REQUEST_ID,
            "pay",
            "db",
            self.kind,
            () if settles else (INSERT,),
            transaction=REQUEST_ID if settles else b"",
        )
        origin = request_items.CallerOrigin(1, 1)
        rank = world.SETTINGS.ranks[0]
        work = request_items.Work(
            now, 1, origin, req, self.service, rank, deadline=1e9
        )
        self.feed(request_items.Started(now, work, fake.name, 1))

    def execute(self, conn: int, now: float) -> None:
        """Carries out the calls of the write until it has ended."""
        while self.call is not None:
            replies: list[upstream.Reply] = []
            call, self.call = self.call.call, None
            self.fake.execute(conn, call, replies.append)
            self.feed(items.UpstreamReplied(now, 1, replies[0]))


class Group:
    """The real engines, proposers and attempts of one trace."""

    def __init__(self, bounds, labels: list[str]) -> None:
        self.zones = _zones_chosen(labels)
        self.now = 100.0
        self.fakes = {
            name_of(n): fake_upstreams.FakeUpstream(
                name_of(n), n == 0, world.SCHEMA
            )
            for n in range(3)
        }
        durability = document.Durability.PRIMARY
        if bounds.majority:
            durability = document.Durability.MAJORITY
        kinds = [request.Kind.WRITE] * bounds.writes
        kinds += [request.Kind.OUTCOME] * bounds.settles
        self.attempts = [
            Attempt(n, kind, SERVICES[durability])
            for n, kind in enumerate(kinds)
        ]
        self.proposers: dict[str, propose.Propose] = {}
        self.calls: dict[tuple[str, str], items.CallControl] = {}
        self.promoted: dict[str, str] = {}
        for _ in range(bounds.tail):
            first = self.fakes[name_of(0)].engine
            first.begin()
            first.execute((OTHER,))
            first.commit()

    def play(self, label: str) -> None:
        """Carries out one step as far as the real parts allow it."""
        self.now += STEP_S
        verb, *rest = label.split()
        getattr(self, f"_{verb}")(*rest)

    def _fence(self, term: str, number: str) -> None:
        if term not in self.proposers:
            self._suspect(term)
        self._deliver(term, name_of(number))

    def _choose(self, term: str, number: str) -> None:
        self.now += GRACE_S
        self._feed(term, filters.Tick(self.now, self.now))

    def _promote(self, term: str, number: str) -> None:
        self._deliver(term, "promote")

    def _follow(self, term: str, number: str) -> None:
        primary = self.promoted.get(term)
        if primary is not None:
            ballot = position.Term(int(term), f"proposer-{term}")
            call = upstream.Follow(ballot, primary, "")
            self.fakes[name_of(number)].control(call, self.now, lambda _: None)

    def _replicate(self, number: str) -> None:
        replica = self.fakes[name_of(number)].engine
        for fake in self.fakes.values():
            read = fake.engine.entries_after(replica.term, replica.history)
            if fake.engine is not replica and read.accepted:
                one = read.entries[:1]
                read = type(read)(True, read.after, one)
                replica.apply_log(replica.term, read)

    def _send(self, number: str, target: str) -> None:
        self.attempts[int(number)].send(self.fakes[name_of(target)], self.now)

    def _execute(self, number: str) -> None:
        attempt = self.attempts[int(number)]
        term = attempt.fake.engine.term
        attempt.overtaken = self.newest().engine.term > term
        attempt.execute(int(number), self.now)

    def _observe(self, number: str, target: str) -> None:
        attempt = self.attempts[int(number)]
        attempt.observe(self.fakes[name_of(target)], self.now)

    def _tell(self, number: str) -> None:
        """The real filters have told by themselves, if they may."""

    def _suspect(self, term: str) -> None:
        zone = self.zones.get(term, "")
        me = identity.Identity(f"proposer-{term}", zone, "127.0.0.1:8")
        self.proposers[term] = propose.Propose(me, random.Random(1))
        self._feed(term, views.SettingsView(self.now, world.SETTINGS))
        below = position.Term(int(term) - 1)
        states = tuple(
            views.UpstreamState(name, self._seen(name, below), self.now)
            for name in self.fakes
        )
        view = views.GroupView(self.now, "db", below, "", states=states)
        for _ in range(2):
            self._feed(
                term,
                failover_items.Suspected(
                    self.now, view, views.Cause.FAILING, ("a", "b"), 0
                ),
            )
            self.now += propose.JITTER_S

    def _seen(self, name: str, promised: position.Term) -> upstream.Status:
        history = self.fakes[name].engine.history
        return upstream.Status(
            name, upstream.Role.REPLICA, promised, promised, history
        )

    def _feed(self, term: str, item: filters.Item) -> None:
        for effect in list(self.proposers[term].process(item)):
            match effect:
                case items.CallControl(call=upstream.Fence()):
                    self.calls[term, effect.upstream] = effect
                case items.CallControl(call=upstream.Promote()):
                    self.calls[term, "promote"] = effect
                case views.Promotion():
                    self.promoted[term] = effect.primary

    def _deliver(self, term: str, key: str) -> None:
        sent = self.calls.pop((term, key), None)
        if sent is None:
            return
        replies: list[upstream.Reply] = []
        fake = self.fakes[sent.upstream]
        fake.control(sent.call, self.now, replies.append)
        reply = replies[0]
        self._feed(
            term,
            items.ControlReplied(
                self.now, "db", sent.upstream, sent.call, self.now, reply
            ),
        )

    # What must hold in the end.

    def newest(self) -> fake_upstreams.FakeUpstream:
        """Returns whoever serves, or last served, the highest term."""
        return max(self.fakes.values(), key=lambda fake: fake.engine.term)

    def rows(self, fake: fake_upstreams.FakeUpstream) -> int:
        (found,) = fake.engine.read((SELECT,))
        return len(found.rows)

    def faults(self) -> list[str]:
        """Returns every contradiction between answers and logs."""
        told = [a for a in self.attempts if a.answer is not None]
        done = [a for a in told if a.answer.error is None]
        not_run = [
            a for a in told if a.answer.outcome is errors.Outcome.NOT_RUN
        ]
        leader = self.newest()
        serves = leader.engine.role is upstream.Role.PRIMARY
        found = []
        if done and serves and not self.rows(leader):
            found.append("lost")
        if not_run and serves and self.rows(leader):
            found.append("ran")
        if any(a.overtaken for a in done):
            found.append("replaced")
        found += ["twice" for f in self.fakes.values() if self.rows(f) > 1]
        found += [
            f"missed at {fake.name}"
            for a in done
            for fake in self.fakes.values()
            if fake.engine.history.holds(a.answer.token) and not self.rows(fake)
        ]
        return found
