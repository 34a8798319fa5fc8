"""Tests of the settings pipe: adoption, watch and spread."""

import random

from hypothesis import given, seed
from hypothesis import strategies as st

from fescueshunt.core import (
    document,
    filters,
    identity,
    items,
    patch,
    settings_sync,
    views,
)
from fescueshunt.settings import adopt, pipe, watch
from lib import settings_fleet

ME = identity.Identity("p0", "z0", "")


def build() -> filters.Core:
    return filters.Core((pipe.build(ME, random.Random(1)),))


def in_force(effects) -> list[int]:
    return [
        effect.document.revision
        for effect in effects
        if isinstance(effect, views.SettingsView)
    ]


def offer(kind: str, revision: int) -> filters.Item:
    offered = document.Document(revision=revision)
    match kind:
        case "store":
            return items.SettingsRead(9.0, offered, revision)
        case "peer":
            message = settings_sync.SettingsOffer(offered)
            return items.PeerReceived(9.0, "p1", message)
        case _:
            return items.SettingsAccepted(9.0, offered)


@seed(1)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["store", "peer", "accepted"]), st.integers(0, 50)
        )
    )
)
def test_revisions_in_force_only_rise_in_any_order_of_offers(offers):
    core = build()
    list(core.feed(views.FleetView(0.0, ())))
    list(core.feed(filters.Tick(adopt.JOIN_WAIT_S, 0.0)))
    seen = [
        revision
        for kind, number in offers
        for revision in in_force(core.feed(offer(kind, number)))
    ]
    assert seen == sorted(set(seen))
    highest = max((number for _, number in offers), default=0)
    assert (seen[-1] if seen else 0) == highest


def test_a_change_reaches_every_proxy_within_two_seconds():
    fleet = settings_fleet.SettingsFleet(60)
    fleet.store.accept()
    fleet.start_all()
    fleet.run(3.0)
    assert fleet.revisions() == {1}
    fleet.store.accept()
    fleet.wake_watches()
    fleet.run(2.0)
    assert fleet.revisions() == {2}


def test_a_change_spreads_between_proxies_while_the_store_is_down():
    fleet = settings_fleet.SettingsFleet(60)
    accepted = fleet.store.accept()
    fleet.start_all()
    fleet.run(3.0)
    accepted = fleet.store.accept()
    fleet.store.down = True
    fleet.feed("p7", items.SettingsAccepted(fleet.now, accepted))
    fleet.run(2.0)
    assert fleet.revisions() == {2}


def test_a_proxy_that_starts_in_an_outage_takes_settings_from_peers():
    fleet = settings_fleet.SettingsFleet(8)
    fleet.store.accept()
    fleet.start_all()
    fleet.run(3.0)
    fleet.store.down = True
    fleet.start("p3")
    fleet.run(2.0)
    assert fleet.in_force["p3"] == [1]


def test_a_proxy_that_starts_never_takes_an_old_revision_from_the_store():
    fleet = settings_fleet.SettingsFleet(8)
    for _ in range(5):
        fleet.store.accept()
    fleet.start_all()
    fleet.run(3.0)
    fleet.store.past = 3
    fleet.start("p3")
    fleet.run(8.0)
    assert fleet.in_force["p3"] == [5]
    assert fleet.revisions() == {5}


def calls_in_steady_state(size: int, down: bool) -> int:
    fleet = settings_fleet.SettingsFleet(size)
    fleet.store.accept()
    fleet.start_all()
    fleet.run(6.0)
    fleet.store.down = down
    fleet.store.calls = 0
    fleet.run(20.0)
    return fleet.store.calls


def test_store_calls_stay_flat_as_proxies_are_added():
    watchers = 4 * watch.WATCHERS_PER_ZONE
    bound = watchers * (20.0 / watch.WATCH_S + 1)
    assert calls_in_steady_state(8, down=False) <= bound
    assert calls_in_steady_state(64, down=False) <= bound


def test_offers_stay_within_the_budget_of_bytes():
    core = build()
    big = document.Document(
        revision=2,
        draining_hosts=tuple(f"h{number}" for number in range(1000)),
    )
    list(core.feed(views.FleetView(0.0, ())))
    list(core.feed(filters.Tick(2.0, 0.0)))
    list(core.feed(items.SettingsAccepted(2.0, big)))
    asked = settings_sync.SettingsDigest(1, asks=True)
    sent = [
        effect
        for step in range(1000)
        for effect in core.feed(
            items.PeerReceived(2.0 + step * 0.06, "p1", asked)
        )
        if isinstance(effect, items.SendPeer)
    ]
    assert 1 <= len(sent) <= 3


def test_a_change_travels_as_a_patch_between_proxies():
    fleet = settings_fleet.SettingsFleet(30)
    fleet.store.accept()
    fleet.start_all()
    fleet.run(3.0)
    fleet.sent.clear()
    accepted = fleet.store.accept()
    fleet.store.down = True
    fleet.feed("p7", items.SettingsAccepted(fleet.now, accepted))
    fleet.run(2.0)
    assert fleet.revisions() == {2}
    assert fleet.sent["SettingsOffer"] == 0
    assert fleet.sent["SettingsPatch"] >= 29


def test_a_patch_of_another_revision_changes_nothing():
    core = build()
    list(core.feed(views.FleetView(0.0, ())))
    held = document.Document(revision=3)
    assert in_force(core.feed(items.SettingsAccepted(2.0, held))) == [3]
    older = document.Document(revision=2)
    newer = document.Document(revision=5, draining_hosts=("h",))
    message = settings_sync.SettingsPatch(patch.diff(older, newer))
    assert in_force(core.feed(items.PeerReceived(2.1, "p1", message))) == []
