"""What a group view may be trusted with: acknowledgements, ages, tails."""

import dataclasses

import pytest

from fescueshunt import errors
from fescueshunt.core import (
    document,
    filters,
    identity,
    items,
    position,
    upstream,
    views,
)
from fescueshunt.health import pipe, poller

T1 = position.FIRST_TERM
T2 = position.Term(2, "p")
T3 = position.Term(3, "q")
ME = identity.Identity("p", "z0", "127.0.0.1:9")
NAMES = ("u0", "u1", "u2")
DATABASE = document.Database(
    "db",
    "g",
    tuple(
        document.Upstream(name, f"z{n}", f"127.0.0.1:{n + 1}")
        for n, name in enumerate(NAMES)
    ),
)
FLEET = views.FleetView(0.0, (views.Member("p", "z0", ME.address, 1),))


def history(*branches: tuple[position.Term, int], end: int):
    found = tuple(position.Branch(term, start) for term, start in branches)
    return position.History(found, end)


OLD = history((T1, 1), end=8)
FORKED = history((T1, 1), (T2, 6), end=9)


def status(
    name: str,
    log: position.History,
    term: position.Term = T1,
    promised: position.Term | None = None,
    role: upstream.Role = upstream.Role.REPLICA,
    primary: str = "u0",
) -> upstream.Status:
    return upstream.Status(name, role, term, promised or term, log, primary)


def primary_status(name: str, log: position.History, term=T1, promised=None):
    return status(name, log, term, promised, upstream.Role.PRIMARY)


class Health:
    """The health pipe, fed by hand."""

    def __init__(self, database: document.Database = DATABASE) -> None:
        self.core = filters.Core((pipe.build(ME),))
        self.view = views.GroupView(0.0, "db")
        self.polls: list[items.CallControl] = []
        self.feed(FLEET)
        self.declare(database, 0.0)

    def declare(self, database: document.Database, at: float) -> None:
        settings = document.Document(databases=(database,))
        self.feed(views.SettingsView(at, settings))

    def feed(self, item: filters.Item) -> None:
        for effect in self.core.feed(item):
            if isinstance(effect, views.GroupView):
                self.view = effect
            if isinstance(effect, items.CallControl):
                self.polls.append(effect)

    def reply(self, at: float, sent_at: float, found: upstream.Status) -> None:
        call = upstream.ReadStatus()
        self.feed(
            items.ControlReplied(at, "db", found.name, call, sent_at, found)
        )

    def fail(self, at: float, name: str) -> None:
        lost = errors.ConnectionLostError()
        call = upstream.ReadStatus()
        self.feed(items.ControlFailed(at, "db", name, call, lost))


def healthy(at: float = 1.0) -> Health:
    health = Health()
    health.reply(at, at, primary_status("u0", OLD))
    for name in ("u1", "u2"):
        health.reply(at, at, status(name, OLD))
    return health


def test_a_cut_off_primary_loses_its_support():
    health = healthy(1.0)
    for name in ("u1", "u2"):
        health.fail(1.5, name)
    health.reply(9.0, 8.9, primary_status("u0", OLD))
    assert health.view.confirmed_at == 1.0
    assert health.view.has_majority_support(2.0)
    assert not health.view.has_majority_support(9.0)
    assert health.view.max_data_age_s(OLD, 9.0) == pytest.approx(8.0)


def test_an_unsupported_primary_serves_no_tail_of_its_own():
    health = healthy(1.0)
    longer = OLD.extend(T1)
    health.reply(2.0, 1.9, primary_status("u0", longer))
    assert health.view.is_non_divergent(longer, 2.0)
    assert not health.view.is_non_divergent(longer, 9.0)
    assert health.view.is_non_divergent(OLD, 9.0)


def test_lost_polls_leave_the_time_of_the_last_answer():
    health = healthy(1.0)
    for name in NAMES:
        health.fail(5.0, name)
    assert health.view.confirmed_at == 1.0
    assert health.view.max_data_age_s(OLD, 6.0) == pytest.approx(5.0)


def test_an_answer_that_waited_through_a_pause_counts_from_its_call():
    health = healthy(1.0)
    for name in ("u1", "u2"):
        health.reply(31.0, 1.2, status(name, OLD))
    health.reply(31.0, 1.2, primary_status("u0", OLD))
    assert health.view.confirmed_at == 1.2
    assert not health.view.has_majority_support(31.0)
    assert health.view.max_data_age_s(OLD, 31.0) >= 29.8


def test_an_older_answer_does_not_replace_a_newer_one():
    health = healthy(1.0)
    health.reply(2.0, 1.9, status("u1", OLD.extend(T1)))
    health.reply(2.1, 1.5, status("u1", OLD))
    assert health.view.find("u1").status.history.end == 9


def test_a_promise_above_the_term_withdraws_support():
    health = healthy(1.0)
    for name in ("u1", "u2"):
        fenced = status(name, OLD, T1, T2, upstream.Role.FENCED)
        health.reply(2.0, 1.9, fenced)
    assert health.view.term == T1
    assert not health.view.has_majority_support(2.0)


def test_one_promise_above_the_term_leaves_the_majority():
    health = healthy(1.0)
    fenced = status("u2", OLD, T1, T2, upstream.Role.FENCED)
    health.reply(2.0, 1.9, fenced)
    health.reply(2.0, 1.8, status("u1", OLD))
    health.reply(2.0, 1.9, primary_status("u0", OLD))
    assert health.view.confirmed_at == 1.8


def test_a_fenced_holder_confirms_no_write():
    health = healthy(1.0)
    entry = position.Position(T1, 8)
    assert health.view.count_holders(entry) == 3
    for name in ("u1", "u2"):
        fenced = status(name, OLD, T1, T2, upstream.Role.FENCED)
        health.reply(2.0, 1.9, fenced)
    assert health.view.count_holders(entry) == 1


def test_an_entry_taken_over_in_another_term_confirms_no_write():
    health = healthy(1.0)
    longer = OLD.extend(T1)
    health.reply(2.0, 1.9, primary_status("u0", longer))
    later = status("u2", longer, T3, T3, upstream.Role.REPLICA, "")
    view = dataclasses.replace(
        health.view,
        states=tuple(
            views.UpstreamState("u2", later, 2.0) if s.name == "u2" else s
            for s in health.view.states
        ),
    )
    assert view.count_holders(position.Position(T1, 9)) == 1


def test_a_replica_tells_of_a_term_whose_primary_is_out_of_reach():
    health = healthy(1.0)
    health.fail(1.5, "u1")
    follower = status("u2", FORKED, T2, primary="u1")
    health.reply(2.0, 1.9, follower)
    assert (health.view.term, health.view.primary) == (T2, "u1")
    assert health.view.samples == ()


def test_a_status_from_before_its_promotion_is_no_sample_of_the_primary():
    health = healthy(1.0)
    health.reply(2.0, 1.9, status("u2", FORKED, T2, primary="u1"))
    fenced = status("u1", OLD, T1, T2, upstream.Role.FENCED)
    health.reply(2.1, 1.8, fenced)
    assert health.view.samples == ()


def test_a_returning_primary_has_a_tail_that_is_not_served():
    health = healthy(1.0)
    health.reply(2.0, 1.9, status("u2", OLD, T2, primary="u1"))
    health.reply(2.0, 1.9, primary_status("u1", FORKED, T2))
    kept = history((T1, 1), end=5)
    assert not health.view.is_non_divergent(OLD, 2.0)
    assert health.view.is_non_divergent(kept, 2.0)
    assert health.view.is_non_divergent(FORKED, 2.0)


def test_a_new_member_of_the_database_is_polled():
    health = healthy(1.0)
    added = document.Upstream("u3", "z3", "127.0.0.1:4")
    larger = dataclasses.replace(
        DATABASE, upstreams=(*DATABASE.upstreams, added)
    )
    health.declare(larger, 2.0)
    health.reply(2.1, 2.0, status("u3", OLD))
    assert health.view.find("u3").status is not None
    assert health.view.find("u0").status is not None


def holds_of(health: Health) -> dict[str, float]:
    for name in ("u1", "u2"):
        health.reply(2.0, 1.9, status(name, OLD))
    health.reply(2.0, 1.9, primary_status("u0", OLD))
    return {poll.upstream: poll.call.hold_s for poll in health.polls[-3:]}


def test_the_home_of_the_primary_hears_of_replicas_entries_at_once():
    expected = {"u0": poller.HOME_HOLD_S, "u1": 0.0, "u2": 0.0}
    assert holds_of(healthy(1.0)) == expected


def test_who_only_watches_hears_of_entries_many_at_a_time():
    health = healthy(1.0)
    upstreams = (dataclasses.replace(u, zone="z0") for u in DATABASE.upstreams)
    in_one_zone = dataclasses.replace(DATABASE, upstreams=tuple(upstreams))
    watching = dataclasses.replace(FLEET.members[0], zone="elsewhere")
    home = views.Member("q", "z0", "127.0.0.1:8", 1)
    health.feed(views.FleetView(1.5, (watching, home)))
    health.declare(in_one_zone, 1.5)
    assert holds_of(health) == dict.fromkeys(NAMES, poller.WATCHER_HOLD_S)
