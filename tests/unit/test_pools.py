"""Tests of connection pools: limits, moves of the home proxy, back-off."""

import dataclasses
import random

import pytest

from fescueshunt import errors
from fescueshunt.core import document, filters, homes, identity, ranked, views
from fescueshunt.core import items as core_items
from fescueshunt.request import items, queue, surge
from lib import work_factory

GROUP = document.Group("g", slots=2, connections=16)
MEMBER = document.Upstream("u1", "z1", "127.0.0.1:1")
DOCUMENT = document.Document(
    ranks=work_factory.RANKS,
    groups=(GROUP,),
    databases=(document.Database("db", "g", (MEMBER,)),),
)


def make_member(name, state=views.MemberState.LIVE):
    return views.Member(name, "z1", "127.0.0.1:2", 1, state)


def make_fleet(*names):
    return views.FleetView(0.0, tuple(make_member(name) for name in names))


class HomeHarness:
    """A queue filter, and the connections that it has requested."""

    def __init__(self, name="p1", seed=1):
        self.filter = queue.Queue(
            identity.Identity(name, "z1", ""),
            homes.SingleHome(),
            ranked.PriorityScheduler,
            random.Random(seed),
        )
        self.open: set[int] = set()
        self.effects: list[filters.Item] = []

    def feed(self, item):
        effects = list(self.filter.process(item))
        for effect in effects:
            if isinstance(effect, core_items.OpenUpstream):
                self.open.add(effect.conn)
            elif isinstance(effect, core_items.CloseUpstream):
                self.open.discard(effect.conn)
        self.effects += effects
        return effects

    def settle(self, now=0.0):
        """Reports each requested connection as open."""
        for conn in sorted(self.open):
            pool = self.filter._state.pool_by_conn.get(conn)
            if pool is not None and conn in pool.opening:
                self.feed(core_items.UpstreamOpened(now, conn))


def make_home(*names, me="p1"):
    home = HomeHarness(me)
    home.feed(views.SettingsView(0.0, DOCUMENT))
    home.feed(make_fleet(*(names or (me,))))
    return home


def test_home_opens_connections_for_all_slots_in_advance():
    home = make_home()
    home.settle()
    assert len(home.open) == GROUP.slots
    started = home.feed(items.Assigned(0.1, work_factory.make_work(0.1), "u1"))
    assert [type(effect) for effect in started] == [items.Started]


def test_surge_opens_its_share_of_connections():
    home = make_home()
    home.feed(surge.SurgeView(0.0, ("eid",), (), 1.0))
    for _ in range(10):
        home.settle()
    assert len(home.open) == homes.SingleHome().connections(
        GROUP, make_fleet("p1")
    )


@pytest.mark.parametrize("count", [2, 3])
def test_overlapping_homes_stay_within_connection_limit(count):
    all_homes = [make_home(me=f"p{n}") for n in range(count)]
    for home in all_homes:
        home.feed(surge.SurgeView(0.0, ("eid",), (), 1.0))
        for n in range(200):
            home.feed(
                items.Assigned(
                    0.0, work_factory.make_work(caller=f"c{n}"), "u1"
                )
            )
            home.settle()
    assert sum(len(home.open) for home in all_homes) <= GROUP.connections


def test_pool_closes_after_running_work_when_home_moves():
    home = make_home()
    home.settle()
    started = home.feed(items.Assigned(0.1, work_factory.make_work(0.1), "u1"))[
        0
    ]
    home.feed(make_fleet("p2"))
    for n in range(100):
        home.feed(filters.Tick(0.2 + n / 20, 0.0))
    assert home.open == {started.conn}
    home.feed(items.ConnectionReleased(6.0, started.conn, reusable=True))
    for n in range(100):
        home.feed(filters.Tick(6.1 + n / 20, 0.0))
    assert home.open == set()
    assert home.filter._state.pools == {}


def test_former_home_runs_work_of_entry_with_stale_view():
    home = make_home()
    home.feed(make_fleet("p2"))
    home.feed(items.Assigned(0.1, work_factory.make_work(0.1), "u1"))
    home.settle(0.2)
    assert any(isinstance(e, items.Started) for e in home.effects)


def test_reconnects_back_off_with_jitter_and_work_is_rerouted():
    home = make_home()
    attempted_at = []
    now = 0.0
    while now < 5.0:
        for conn in sorted(home.open):
            home.open.discard(conn)
            attempted_at.append(now)
            error = errors.ConnectionLostError("down")
            home.feed(core_items.UpstreamFailed(now, conn, error))
        now += 0.02
        home.feed(filters.Tick(now, 0.0))
    assert len(attempted_at) <= 30
    effects = home.feed(items.Assigned(now, work_factory.make_work(now), "u1"))
    if home.filter._state.pools["db", "u1"].is_unreachable(now):
        assert isinstance(effects[0], items.RetryNeeded)
        assert effects[0].work.excluded == {"u1"}


def test_queued_work_is_rerouted_if_no_connection_opens():
    home = make_home()
    work = work_factory.make_work(0.0)
    home.feed(items.Assigned(0.0, work, "u1"))
    effects = []
    for conn in sorted(home.open):
        error = errors.ConnectionLostError("down")
        effects += home.feed(core_items.UpstreamFailed(0.1, conn, error))
    retried = [e for e in effects if isinstance(e, items.RetryNeeded)]
    assert [e.work.key for e in retried] == [work.key]


# Guards against work that waits at a primary that has fallen silent until its
# deadline, although another upstream has been promoted.
def test_work_queued_at_a_replaced_primary_is_routed_again():
    home = make_home()
    home.feed(views.GroupView(0.0, "db", primary="u1"))
    work = work_factory.make_work(0.0)
    home.feed(items.Assigned(0.0, work, "u1"))
    for primary in ("u1", ""):
        view = views.GroupView(0.1, "db", primary=primary)
        assert home.feed(view) == [view]
    effects = home.feed(views.GroupView(0.2, "db", primary="u2"))
    retried = [e for e in effects if isinstance(e, items.RetryNeeded)]
    assert [e.work.key for e in retried] == [work.key]
    assert retried[0].brief.primary == "u2"
    assert not retried[0].work.in_doubt


# Guards against a forwarded request without an answer because its entry doesn't
# know yet that the upstream, or the database, was removed.
@pytest.mark.parametrize("kept", [(), (document.Database("db", "g", ()),)])
def test_work_for_a_removed_upstream_is_routed_again(kept):
    home = make_home()
    settings = dataclasses.replace(DOCUMENT, databases=kept)
    home.feed(views.SettingsView(0.0, settings))
    for conn in sorted(home.open):
        error = errors.ConnectionLostError("removed")
        home.feed(core_items.UpstreamFailed(0.1, conn, error))
    home.feed(filters.Tick(0.2, 0.0))
    work = work_factory.make_work(0.2)
    (retried,) = home.feed(items.Assigned(0.2, work, "u1"))
    assert isinstance(retried, items.RetryNeeded)
    assert retried.work.key == work.key


def test_timed_out_call_does_not_count_as_service_time():
    home = make_home()
    home.settle()
    started = home.feed(items.Assigned(0.1, work_factory.make_work(0.1), "u1"))[
        0
    ]
    error = errors.ConnectionLostError("timeout")
    home.feed(core_items.UpstreamFailed(5.0, started.conn, error))
    work = work_factory.make_work(5.0)
    assert not any(
        isinstance(effect, items.Answered | items.RetryNeeded)
        for effect in home.feed(items.Assigned(5.0, work, "u1"))
    )
