"""Tests of pools: bounds of connections, warming, moves and storms."""

import random

import pytest

from fescueshunt import errors
from fescueshunt.core import (
    document,
    filters,
    homes,
    identity,
    ranked,
    views,
)
from fescueshunt.core import items as core_items
from fescueshunt.request import items, queue, surge
from lib import works

GROUP = document.Group("g", slots=2, connections=16)
MEMBER = document.Upstream("u1", "z1", "127.0.0.1:1")
DOCUMENT = document.Document(
    ranks=works.RANKS,
    groups=(GROUP,),
    databases=(document.Database("db", "g", (MEMBER,)),),
)


def member(name, state=views.MemberState.LIVE):
    return views.Member(name, "z1", "127.0.0.1:2", 1, state)


def fleet(*names):
    return views.FleetView(0.0, tuple(member(name) for name in names))


class Home:
    """A queue filter and the connections that it asked for."""

    def __init__(self, name="p1", seed=1):
        self.filter = queue.Queue(
            identity.Identity(name, "z1", ""),
            homes.OneHome(),
            ranked.PriorityScheduler,
            random.Random(seed),
        )
        self.open: set[int] = set()
        self.effects: list[filters.Item] = []

    def feed(self, item):
        found = list(self.filter.process(item))
        for effect in found:
            if isinstance(effect, core_items.OpenUpstream):
                self.open.add(effect.conn)
            elif isinstance(effect, core_items.CloseUpstream):
                self.open.discard(effect.conn)
        self.effects += found
        return found

    def settle(self, now=0.0):
        """Reports every connection that was asked for as open."""
        for conn in sorted(self.open):
            pool = self.filter._state.owners.get(conn)
            if pool is not None and conn in pool.opening:
                self.feed(core_items.UpstreamOpened(now, conn))


def home(*names, me="p1"):
    made = Home(me)
    made.feed(views.SettingsView(0.0, DOCUMENT))
    made.feed(fleet(*(names or (me,))))
    return made


def test_a_home_opens_its_slots_before_work_comes():
    made = home()
    made.settle()
    assert len(made.open) == GROUP.slots
    started = made.feed(items.Placed(0.1, works.work(0.1), "u1"))
    assert [type(effect) for effect in started] == [items.Started]


def test_a_surge_warms_its_share_of_the_pool():
    made = home()
    made.feed(surge.SurgeView(0.0, ("eid",), (), 1.0))
    for _ in range(10):
        made.settle()
    assert len(made.open) == homes.OneHome().connections(GROUP, fleet("p1"))


@pytest.mark.parametrize("count", [2, 3])
def test_homes_that_overlap_stay_within_the_bound(count):
    made = [home(me=f"p{n}") for n in range(count)]
    for each in made:
        each.feed(surge.SurgeView(0.0, ("eid",), (), 1.0))
        for n in range(200):
            each.feed(items.Placed(0.0, works.work(caller=f"c{n}"), "u1"))
            each.settle()
    assert sum(len(each.open) for each in made) <= GROUP.connections


def test_a_pool_closes_when_the_home_moves_and_what_runs_ends_first():
    made = home()
    made.settle()
    started = made.feed(items.Placed(0.1, works.work(0.1), "u1"))[0]
    made.feed(fleet("p2"))
    for n in range(100):
        made.feed(filters.Tick(0.2 + n / 20, 0.0))
    assert made.open == {started.conn}
    made.feed(items.Released(6.0, started.conn, reusable=True))
    for n in range(100):
        made.feed(filters.Tick(6.1 + n / 20, 0.0))
    assert made.open == set()
    assert made.filter._state.pools == {}


def test_work_of_an_entry_with_an_old_view_still_runs_at_a_former_home():
    made = home()
    made.feed(fleet("p2"))
    made.feed(items.Placed(0.1, works.work(0.1), "u1"))
    made.settle(0.2)
    assert any(isinstance(e, items.Started) for e in made.effects)


def test_reconnects_back_off_with_jitter_and_work_goes_elsewhere():
    made = home()
    times = []
    now = 0.0
    while now < 5.0:
        for conn in sorted(made.open):
            made.open.discard(conn)
            times.append(now)
            error = errors.ConnectionLostError("down")
            made.feed(core_items.UpstreamFailed(now, conn, error))
        now += 0.02
        made.feed(filters.Tick(now, 0.0))
    assert len(times) <= 30
    sent = made.feed(items.Placed(now, works.work(now), "u1"))
    if made.filter._state.pools["db", "u1"].is_unreachable(now):
        assert isinstance(sent[0], items.Retried)
        assert sent[0].work.avoid == {"u1"}


def test_queued_work_returns_when_no_connection_can_be_opened():
    made = home()
    placed = works.work(0.0)
    made.feed(items.Placed(0.0, placed, "u1"))
    returned = []
    for conn in sorted(made.open):
        error = errors.ConnectionLostError("down")
        returned += made.feed(core_items.UpstreamFailed(0.1, conn, error))
    retried = [e for e in returned if isinstance(e, items.Retried)]
    assert [e.work.key for e in retried] == [placed.key]


def test_a_call_that_went_silent_is_not_taken_for_a_long_one():
    made = home()
    made.settle()
    started = made.feed(items.Placed(0.1, works.work(0.1), "u1"))[0]
    error = errors.ConnectionLostError("timeout")
    made.feed(core_items.UpstreamFailed(5.0, started.conn, error))
    fresh = works.work(5.0)
    assert not any(
        isinstance(effect, items.Finished | items.Retried)
        for effect in made.feed(items.Placed(5.0, fresh, "u1"))
    )
