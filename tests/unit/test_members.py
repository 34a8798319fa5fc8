"""Tests of the members pipe, with several proxies on a fake network."""

from __future__ import annotations

import collections
import random

import pytest

from fescueshunt.core import filters, identity, membership, process, views
from fescueshunt.core import items as core_items
from fescueshunt.members import pipe, probe, table

TICK_S = 0.05
LIVE = views.MemberState.LIVE
SUSPECT = views.MemberState.SUSPECT
LEAVING = views.MemberState.LEAVING
DEAD = views.MemberState.DEAD


class Network:
    """The members pipes of several proxies, connected by links that can fail.

    `cut_links` holds the pairs of proxies that cannot reach each other.
    """

    def __init__(self, zones: dict[str, str], listed: bool = True):
        self.now = 0.0
        self.cut_links: set[frozenset[str]] = set()
        self.stopped: set[str] = set()
        self.queue = collections.deque()
        self.views = {}
        self.sent = collections.Counter()
        self.host_list = ()
        self.cores = {}
        self.addresses = {}
        for name, zone in zones.items():
            self.start(name, zone, name + ":1")
        if listed:
            self.host_list = tuple(
                core_items.Host(name, zone, name + ":1")
                for name, zone in zones.items()
            )

    def start(self, name, zone, address, incarnation=1, seeds=()):
        local_proxy = identity.Identity(name, zone, address, incarnation)
        stages = pipe.build(local_proxy, random.Random(name), seeds)
        self.cores[name] = filters.Core((stages,))
        self.addresses[address] = name

    def feed(self, name, item):
        for effect in self.cores[name].feed(item):
            match effect:
                case views.FleetView():
                    self.views[name] = effect
                case core_items.SendPeer():
                    self.sent[name] += 1
                    self.queue.append((name, effect))
                case core_items.ReadHosts():
                    if self.host_list is not None:
                        read = core_items.HostsRead(self.now, self.host_list)
                        self.feed(name, read)

    def deliver(self):
        while self.queue:
            sender, effect = self.queue.popleft()
            receiver = self.addresses.get(effect.address, effect.name)
            stopped_ends = {sender, receiver} & self.stopped
            is_cut = frozenset((sender, receiver)) in self.cut_links
            if stopped_ends or is_cut or receiver not in self.cores:
                continue
            received = core_items.PeerReceived(self.now, sender, effect.message)
            self.feed(receiver, received)

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_S
            for name in self.cores:
                if name not in self.stopped:
                    self.feed(name, filters.Tick(self.now, self.now))
            self.deliver()

    def cut_off_zone(self, zone, zones):
        for name, zone_of_name in zones.items():
            for other, zone_of_other in zones.items():
                if zone_of_name == zone and zone_of_other != zone:
                    self.cut_links.add(frozenset((name, other)))

    def states(self, viewer):
        return {m.name: m.state for m in self.views[viewer].members}


ZONES = {f"p{n}": f"zone-{n // 2}" for n in range(8)}


def test_all_proxies_discover_each_other_from_the_list():
    network = Network(ZONES)
    network.run(3)
    for name in ZONES:
        assert network.states(name) == dict.fromkeys(ZONES, LIVE)


def test_a_starting_proxy_publishes_no_view_before_it_has_joined():
    network = Network(ZONES)
    view_sizes = []
    for _ in range(60):
        network.run(TICK_S)
        view_sizes.extend(len(v.members) for v in network.views.values())
    assert min(view_sizes) == len(ZONES)


def test_only_a_stopped_proxy_is_declared_dead():
    network = Network(ZONES)
    network.run(3)
    network.stopped.add("p3")
    network.run(8)
    expected = dict.fromkeys(ZONES, LIVE) | {"p3": DEAD}
    for name in ZONES.keys() - {"p3"}:
        assert network.states(name) == expected


def test_a_member_is_suspected_within_a_second_of_a_lost_connection():
    network = Network(ZONES)
    network.run(3)
    network.stopped.add("p3")
    network.feed("p0", core_items.PeerLost(network.now, "p3"))
    network.run(probe.ACK_TIMEOUT_S + probe.INDIRECT_ACK_TIMEOUT_S + 2 * TICK_S)
    assert network.states("p0")["p3"] is SUSPECT


def test_one_faulty_link_makes_no_member_suspect():
    network = Network(ZONES)
    network.run(3)
    network.cut_links.add(frozenset(("p0", "p5")))
    network.run(20)
    for name in ZONES:
        assert network.states(name) == dict.fromkeys(ZONES, LIVE)


def test_a_paused_proxy_refutes_its_death_after_it_resumes():
    network = Network(ZONES)
    network.run(3)
    network.stopped.add("p3")
    network.run(8)
    network.stopped.clear()
    network.run(8)
    for name in ZONES:
        assert network.states(name) == dict.fromkeys(ZONES, LIVE)


def test_a_stopping_proxy_is_leaving_everywhere_within_two_seconds():
    network = Network(ZONES)
    network.run(3)
    network.feed("p3", process.StopAsked(network.now))
    network.run(2)
    for name in ZONES:
        assert network.states(name)["p3"] is LEAVING


def test_a_host_listed_as_leaving_is_leaving_everywhere():
    network = Network(ZONES)
    network.run(3)
    network.host_list = tuple(
        core_items.Host(h.name, h.zone, h.address, h.name == "p3")
        for h in network.host_list
    )
    network.run(4)
    for name in ZONES:
        assert network.states(name)["p3"] is LEAVING


@pytest.mark.parametrize("listed", [(), None])
def test_an_empty_or_missing_list_removes_no_member(listed):
    network = Network(ZONES)
    network.run(3)
    network.host_list = listed
    network.run(table.REMOVE_DEAD_AFTER_S + 10)
    for name in ZONES:
        assert network.states(name) == dict.fromkeys(ZONES, LIVE)


def test_a_stale_list_entry_that_does_not_answer_is_not_added():
    network = Network(ZONES)
    network.host_list = (
        *network.host_list,
        core_items.Host("old", "zone-0", "old:1"),
    )
    network.run(4)
    assert "old" not in network.states("p0")


def test_a_partitioned_zone_is_reported_as_cut_and_recovers():
    network = Network(ZONES)
    network.run(3)
    network.cut_off_zone("zone-1", ZONES)
    network.run(10)
    assert network.views["p0"].partitioned_zones == {"zone-1"}
    assert network.states("p0")["p2"] is SUSPECT
    assert network.states("p2")["p3"] is LIVE
    network.cut_links.clear()
    network.run(15)
    for name in ZONES:
        assert network.states(name) == dict.fromkeys(ZONES, LIVE)


def test_a_failed_zone_is_not_reported_as_cut():
    network = Network(ZONES)
    network.run(3)
    network.stopped |= {"p2", "p3"}
    network.host_list = tuple(
        h for h in network.host_list if h.zone != "zone-1"
    )
    network.run(10)
    assert network.views["p0"].partitioned_zones == frozenset()
    assert network.states("p0")["p2"] is DEAD


def test_a_newer_proxy_on_the_same_address_replaces_the_older_one():
    network = Network(ZONES)
    network.run(3)
    network.stopped.add("p3")
    network.start("new", "zone-1", "p3:1", incarnation=2)
    host = core_items.Host("new", "zone-1", "p3:1")
    network.host_list = (*network.host_list, host)
    network.run(6)
    assert network.states("p0")["new"] is LIVE
    assert network.states("p0")["p3"] is DEAD


def test_a_proxy_joins_through_a_seed_while_the_list_is_unavailable():
    network = Network(ZONES)
    network.run(3)
    network.host_list = None
    network.start("new", "zone-1", "new:1", 1, seeds=("p0:1",))
    network.run(3)
    expected = dict.fromkeys(ZONES, LIVE) | {"new": LIVE}
    assert network.states("new") == expected
    assert network.states("p7") == expected


def test_message_rate_per_proxy_does_not_grow_with_the_fleet():
    sent = []
    for size in (8, 32):
        zones = {f"p{n}": f"zone-{n % 4}" for n in range(size)}
        network = Network(zones)
        network.run(20)
        network.sent.clear()
        network.run(20)
        sent.append(sum(network.sent.values()) / size)
    assert sent[1] <= 1.2 * sent[0]


def test_a_rumor_of_death_does_not_override_a_newer_incarnation():
    older = views.Member("a", "z", "a:1", 4, DEAD)
    newer = views.Member("a", "z", "a:1", 5, LIVE)
    assert table.takes_precedence(newer, older)
    assert not table.takes_precedence(older, newer)


def test_each_message_carries_a_bounded_number_of_rumors():
    network = Network({f"p{n}": "zone-0" for n in range(40)})
    max_rumors = 0
    for _ in range(40):
        network.now += TICK_S
        for name in network.cores:
            network.feed(name, filters.Tick(network.now, network.now))
        for _, effect in network.queue:
            if isinstance(effect.message, membership.Ping):
                max_rumors = max(max_rumors, len(effect.message.rumors))
        network.deliver()
    assert 0 < max_rumors <= 7
