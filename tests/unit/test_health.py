"""Tests of group views: majority support, data age and divergent tails."""

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
    parts = tuple(position.Branch(term, start) for term, start in branches)
    return position.History(parts, end)


HISTORY = history((T1, 1), end=8)
FORKED_HISTORY = history((T1, 1), (T2, 6), end=9)


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


class HealthPipe:
    """Feeds items to a health pipe and records its views and polls."""

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

    def reply(self, at: float, sent_at: float, reply: upstream.Status) -> None:
        call = upstream.ReadStatus()
        self.feed(
            items.ControlReplied(at, "db", reply.name, call, sent_at, reply)
        )

    def fail(self, at: float, name: str) -> None:
        error = errors.ConnectionLostError()
        call = upstream.ReadStatus()
        self.feed(items.ControlFailed(at, "db", name, call, error))


def healthy(at: float = 1.0) -> HealthPipe:
    health = HealthPipe()
    health.reply(at, at, primary_status("u0", HISTORY))
    for name in ("u1", "u2"):
        health.reply(at, at, status(name, HISTORY))
    return health


def test_partitioned_primary_loses_majority_support():
    health = healthy(1.0)
    for name in ("u1", "u2"):
        health.fail(1.5, name)
    health.reply(9.0, 8.9, primary_status("u0", HISTORY))
    assert health.view.confirmed_at == 1.0
    assert health.view.has_majority_support(2.0)
    assert not health.view.has_majority_support(9.0)
    assert health.view.max_data_age_s(HISTORY, 9.0) == pytest.approx(8.0)


def test_tail_of_unsupported_primary_counts_as_divergent():
    health = healthy(1.0)
    longer = HISTORY.extend(T1)
    health.reply(2.0, 1.9, primary_status("u0", longer))
    assert health.view.is_non_divergent(longer, 2.0)
    assert not health.view.is_non_divergent(longer, 9.0)
    assert health.view.is_non_divergent(HISTORY, 9.0)


def test_failed_polls_do_not_change_confirmation_time():
    health = healthy(1.0)
    for name in NAMES:
        health.fail(5.0, name)
    assert health.view.confirmed_at == 1.0
    assert health.view.max_data_age_s(HISTORY, 6.0) == pytest.approx(5.0)


def test_reply_delayed_by_pause_counts_from_time_of_call():
    health = healthy(1.0)
    for name in ("u1", "u2"):
        health.reply(31.0, 1.2, status(name, HISTORY))
    health.reply(31.0, 1.2, primary_status("u0", HISTORY))
    assert health.view.confirmed_at == 1.2
    assert not health.view.has_majority_support(31.0)
    assert health.view.max_data_age_s(HISTORY, 31.0) >= 29.8


def test_older_reply_does_not_replace_newer_status():
    health = healthy(1.0)
    health.reply(2.0, 1.9, status("u1", HISTORY.extend(T1)))
    health.reply(2.1, 1.5, status("u1", HISTORY))
    assert health.view.find("u1").status.history.end == 9


def test_majority_promise_of_higher_term_ends_support():
    health = healthy(1.0)
    for name in ("u1", "u2"):
        fenced = status(name, HISTORY, T1, T2, upstream.Role.FENCED)
        health.reply(2.0, 1.9, fenced)
    assert health.view.term == T1
    assert not health.view.has_majority_support(2.0)


def test_single_promise_of_higher_term_keeps_support():
    health = healthy(1.0)
    fenced = status("u2", HISTORY, T1, T2, upstream.Role.FENCED)
    health.reply(2.0, 1.9, fenced)
    health.reply(2.0, 1.8, status("u1", HISTORY))
    health.reply(2.0, 1.9, primary_status("u0", HISTORY))
    assert health.view.confirmed_at == 1.8


def test_fenced_upstream_does_not_count_as_holder():
    health = healthy(1.0)
    entry = position.Position(T1, 8)
    assert health.view.count_holders(entry) == 3
    for name in ("u1", "u2"):
        fenced = status(name, HISTORY, T1, T2, upstream.Role.FENCED)
        health.reply(2.0, 1.9, fenced)
    assert health.view.count_holders(entry) == 1


def test_upstream_in_another_term_does_not_count_as_holder():
    health = healthy(1.0)
    longer = HISTORY.extend(T1)
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


def test_replica_reveals_term_of_unreachable_primary():
    health = healthy(1.0)
    health.fail(1.5, "u1")
    follower = status("u2", FORKED_HISTORY, T2, primary="u1")
    health.reply(2.0, 1.9, follower)
    assert (health.view.term, health.view.primary) == (T2, "u1")
    assert health.view.samples == ()


def test_status_before_promotion_is_not_a_sample_of_the_primary():
    health = healthy(1.0)
    health.reply(2.0, 1.9, status("u2", FORKED_HISTORY, T2, primary="u1"))
    fenced = status("u1", HISTORY, T1, T2, upstream.Role.FENCED)
    health.reply(2.1, 1.8, fenced)
    assert health.view.samples == ()


def test_tail_of_deposed_primary_counts_as_divergent():
    health = healthy(1.0)
    health.reply(2.0, 1.9, status("u2", HISTORY, T2, primary="u1"))
    health.reply(2.0, 1.9, primary_status("u1", FORKED_HISTORY, T2))
    common = history((T1, 1), end=5)
    assert not health.view.is_non_divergent(HISTORY, 2.0)
    assert health.view.is_non_divergent(common, 2.0)
    assert health.view.is_non_divergent(FORKED_HISTORY, 2.0)


def test_upstream_added_to_database_is_polled():
    health = healthy(1.0)
    added = document.Upstream("u3", "z3", "127.0.0.1:4")
    larger = dataclasses.replace(
        DATABASE, upstreams=(*DATABASE.upstreams, added)
    )
    health.declare(larger, 2.0)
    health.reply(2.1, 2.0, status("u3", HISTORY))
    assert health.view.find("u3").status is not None
    assert health.view.find("u0").status is not None


def poll_hold_times(health: HealthPipe) -> dict[str, float]:
    for name in ("u1", "u2"):
        health.reply(2.0, 1.9, status(name, HISTORY))
    health.reply(2.0, 1.9, primary_status("u0", HISTORY))
    return {poll.upstream: poll.call.hold_s for poll in health.polls[-3:]}


def test_home_of_primary_gets_entries_of_replicas_without_delay():
    expected = {"u0": poller.HOME_HOLD_S, "u1": 0.0, "u2": 0.0}
    assert poll_hold_times(healthy(1.0)) == expected


def test_watcher_gets_batched_reports_of_entries():
    health = healthy(1.0)
    upstreams = (dataclasses.replace(u, zone="z0") for u in DATABASE.upstreams)
    in_one_zone = dataclasses.replace(DATABASE, upstreams=tuple(upstreams))
    watching = dataclasses.replace(FLEET.members[0], zone="elsewhere")
    home = views.Member("q", "z0", "127.0.0.1:8", 1)
    health.feed(views.FleetView(1.5, (watching, home)))
    health.declare(in_one_zone, 1.5)
    assert poll_hold_times(health) == dict.fromkeys(
        NAMES, poller.WATCHER_HOLD_S
    )
