"""Which upstreams count: entries of others, upstreams that left or lost it."""

from __future__ import annotations

from fescueshunt.core import (
    filters,
    replica_sets,
    routes,
    session_items,
    sessions,
    store_items,
)
from fescueshunt.replicas import items, membership
from fescueshunt.takeover import fence
from lib import hosted_routes

DATABASE = hosted_routes.DATABASE
ADDRESS = "127.0.0.1:1"
TICK_S = 0.1


def _entry(
    upstream: str, database: str = DATABASE
) -> replica_sets.UpstreamEntry:
    role = sessions.ReplicaRole.REPLICA
    return replica_sets.UpstreamEntry(
        upstream, database, ADDRESS, "z", 2, False, role
    )


def _changes(found: list[filters.Item]) -> list[items.MembersChanged]:
    return [item for item in found if isinstance(item, items.MembersChanged)]


def _members(found: list[filters.Item]) -> list[str]:
    return [entry.upstream for entry in _changes(found)[-1].entries]


class Listed:
    """The filter, with three upstreams listed."""

    def __init__(self) -> None:
        self.filter = membership.Membership()
        self.feed(hosted_routes.offered(0.0))
        listed = tuple(_entry(name) for name in ("u0", "u1", "u2"))
        self.feed(store_items.EntriesListed(0.0, listed))

    def feed(self, item: filters.Item) -> list[filters.Item]:
        return list(self.filter.process(item))

    def pass_time(
        self, start: float, end: float, answers: bool
    ) -> tuple[list[filters.Item], int]:
        """Ticks; an upstream that is asked answers, or is silent."""
        found: list[filters.Item] = []
        asked = 0
        now = start
        while now < end:
            now += TICK_S
            effects = self.feed(filters.Tick(now, 0.0))
            found += effects
            for effect in effects:
                if isinstance(effect, session_items.UpstreamSuspected):
                    asked += 1
                    if answers:
                        found += self.feed(_answer(effect.upstream, now))
        return found, asked


def _answer(upstream: str, now: float) -> session_items.UpstreamCallCompleted:
    reply = sessions.UpstreamReply(
        (), "", None, "", sessions.TransactionState.IDLE, None
    )
    call = sessions.GetStatus()
    return session_items.UpstreamCallCompleted(now, upstream, call, now, reply)


def test_an_entry_of_a_replica_set_that_no_operator_named_is_not_used():
    listed = Listed()
    stranger = store_items.EntryChanged(1.0, _entry("x", "elsewhere"))
    assert _changes(listed.feed(stranger)) == []
    policy = routes.ReplicaSetPolicy("elsewhere", 16, 1)
    view = routes.RoutesView(2.0, 2, {}, {"elsewhere": policy}, 3.0)
    assert _members(listed.feed(view)) == ["x"]


def test_entries_that_come_before_the_first_routes_count_once_these_do():
    early = membership.Membership()
    listed = store_items.EntriesListed(0.0, (_entry("u0"),))
    assert _changes(list(early.process(listed))) == []
    found = list(early.process(hosted_routes.offered(1.0)))
    assert _members(found) == ["u0"]


def test_an_upstream_that_only_lost_the_store_stays_a_member():
    listed = Listed()
    listed.feed(store_items.EntryRemoved(1.0, "u1"))
    found, asked = listed.pass_time(1.0, 30.0, answers=True)
    assert asked >= 25
    assert _changes(found) == []


def test_an_upstream_that_left_is_forgotten_after_some_silence():
    listed = Listed()
    listed.feed(store_items.EntryRemoved(1.0, "u1"))
    before, _ = listed.pass_time(1.0, 4.8, answers=False)
    assert _changes(before) == []
    after, _ = listed.pass_time(4.8, 5.5, answers=False)
    assert _members(after) == ["u0", "u2"]


def test_a_fence_spares_no_replica_once_the_old_primary_is_forgotten():
    members = {name: _entry(name) for name in ("u1", "u2")}
    assert fence.Fence(members, "u0", 2).needed == 2
    members["u0"] = _entry("u0")
    assert fence.Fence(members, "u0", 2).needed == 2
