"""Tests of the settings pipe: adoption, reads of the store and gossip."""

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

LOCAL_PROXY = identity.Identity("p0", "z0", "")


def build_core() -> filters.Core:
    return filters.Core((pipe.build(LOCAL_PROXY, random.Random(1)),))


def published_revisions(effects) -> list[int]:
    return [
        effect.document.revision
        for effect in effects
        if isinstance(effect, views.SettingsView)
    ]


def make_offer(kind: str, revision: int) -> filters.Item:
    settings = document.Document(revision=revision)
    match kind:
        case "store":
            return items.SettingsRead(9.0, settings, revision)
        case "peer":
            message = settings_sync.SettingsOffer(settings)
            return items.PeerReceived(9.0, "p1", message)
        case _:
            return items.SettingsAccepted(9.0, settings)


@seed(1)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["store", "peer", "accepted"]), st.integers(0, 50)
        )
    )
)
def test_the_revision_in_force_never_decreases_for_any_order_of_offers(offers):
    core = build_core()
    list(core.feed(views.FleetView(0.0, ())))
    list(core.feed(filters.Tick(adopt.JOIN_TIMEOUT_S, 0.0)))
    published = [
        revision
        for kind, number in offers
        for revision in published_revisions(core.feed(make_offer(kind, number)))
    ]
    assert published == sorted(set(published))
    highest = max((number for _, number in offers), default=0)
    assert (published[-1] if published else 0) == highest


def test_a_change_reaches_every_proxy_within_two_seconds():
    fleet = settings_fleet.SettingsFleet(60)
    fleet.store.accept()
    fleet.start_all()
    fleet.run(3.0)
    assert fleet.revisions() == {1}
    fleet.store.accept()
    fleet.answer_waiting_reads()
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


def test_a_proxy_started_in_a_store_outage_gets_settings_from_peers():
    fleet = settings_fleet.SettingsFleet(8)
    fleet.store.accept()
    fleet.start_all()
    fleet.run(3.0)
    fleet.store.down = True
    fleet.start("p3")
    fleet.run(2.0)
    assert fleet.published["p3"] == [1]


def test_a_started_proxy_never_adopts_a_stale_revision_from_the_store():
    fleet = settings_fleet.SettingsFleet(8)
    for _ in range(5):
        fleet.store.accept()
    fleet.start_all()
    fleet.run(3.0)
    fleet.store.revisions_behind = 3
    fleet.start("p3")
    fleet.run(8.0)
    assert fleet.published["p3"] == [5]
    assert fleet.revisions() == {5}


def count_store_calls(size: int, down: bool) -> int:
    fleet = settings_fleet.SettingsFleet(size)
    fleet.store.accept()
    fleet.start_all()
    fleet.run(6.0)
    fleet.store.down = down
    fleet.store.calls = 0
    fleet.run(20.0)
    return fleet.store.calls


def test_store_calls_do_not_grow_with_the_number_of_proxies():
    watchers = 4 * watch.WATCHERS_PER_ZONE
    bound = watchers * (20.0 / watch.WATCH_TIMEOUT_S + 1)
    assert count_store_calls(8, down=False) <= bound
    assert count_store_calls(64, down=False) <= bound


def test_offers_stay_within_the_byte_budget():
    core = build_core()
    large_document = document.Document(
        revision=2,
        draining_hosts=tuple(f"h{number}" for number in range(1000)),
    )
    list(core.feed(views.FleetView(0.0, ())))
    list(core.feed(filters.Tick(2.0, 0.0)))
    list(core.feed(items.SettingsAccepted(2.0, large_document)))
    digest = settings_sync.SettingsDigest(1, asks=True)
    sent = [
        effect
        for step in range(1000)
        for effect in core.feed(
            items.PeerReceived(2.0 + step * 0.06, "p1", digest)
        )
        if isinstance(effect, items.SendPeer)
    ]
    assert 1 <= len(sent) <= 3


def test_a_change_is_sent_as_a_patch_between_proxies():
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


def test_a_patch_for_another_revision_is_ignored():
    core = build_core()
    list(core.feed(views.FleetView(0.0, ())))
    current = document.Document(revision=3)
    assert published_revisions(
        core.feed(items.SettingsAccepted(2.0, current))
    ) == [3]
    older = document.Document(revision=2)
    newer = document.Document(revision=5, draining_hosts=("h",))
    message = settings_sync.SettingsPatch(patch.diff(older, newer))
    assert (
        published_revisions(core.feed(items.PeerReceived(2.1, "p1", message)))
        == []
    )
