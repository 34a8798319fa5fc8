"""Tests of the members pipe: several proxies on a fake network."""

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
    """Proxies' members pipes, joined by messages that can be cut."""

    def __init__(self, zones: dict[str, str], listed: bool = True):
        self.now = 0.0
        self.cut: set[frozenset[str]] = set()
        self.stopped: set[str] = set()
        self.queue = collections.deque()
        self.views = {}
        self.sent = collections.Counter()
        self.list = ()
        self.cores = {}
        self.addresses = {}
        for name, zone in zones.items():
            self.start(name, zone, name + ":1")
        if listed:
            self.list = tuple(
                core_items.Host(name, zone, name + ":1")
                for name, zone in zones.items()
            )

    def start(self, name, zone, address, incarnation=1, seeds=()):
        me = identity.Identity(name, zone, address, incarnation)
        stages = pipe.build(me, random.Random(name), seeds)
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
                    if self.list is not None:
                        read = core_items.HostsRead(self.now, self.list)
                        self.feed(name, read)

    def deliver(self):
        while self.queue:
            sender, effect = self.queue.popleft()
            receiver = self.addresses.get(effect.address, effect.name)
            gone = {sender, receiver} & self.stopped
            cut = frozenset((sender, receiver)) in self.cut
            if gone or cut or receiver not in self.cores:
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

    def cut_zone(self, zone, zones):
        for name, its in zones.items():
            for other, others in zones.items():
                if its == zone and others != zone:
                    self.cut.add(frozenset((name, other)))

    def states(self, viewer):
        return {m.name: m.state for m in self.views[viewer].members}


ZONES = {f"p{n}": f"zone-{n // 2}" for n in range(8)}


def test_all_proxies_find_each_other_from_the_list():
    network = Network(ZONES)
    network.run(3)
    for name in ZONES:
        assert network.states(name) == dict.fromkeys(ZONES, LIVE)


def test_a_starting_proxy_does_not_take_itself_for_the_fleet():
    network = Network(ZONES)
    seen = []
    for _ in range(60):
        network.run(TICK_S)
        seen.extend(len(v.members) for v in network.views.values())
    assert min(seen) == len(ZONES)


def test_a_dead_proxy_is_suspected_then_dead_and_nobody_else_is():
    network = Network(ZONES)
    network.run(3)
    network.stopped.add("p3")
    network.run(8)
    others = dict.fromkeys(ZONES, LIVE) | {"p3": DEAD}
    for name in ZONES.keys() - {"p3"}:
        assert network.states(name) == others


def test_a_lost_connection_is_suspected_within_a_second():
    network = Network(ZONES)
    network.run(3)
    network.stopped.add("p3")
    network.feed("p0", core_items.PeerLost(network.now, "p3"))
    network.run(probe.ACK_WAIT_S + probe.INDIRECT_WAIT_S + 2 * TICK_S)
    assert network.states("p0")["p3"] is SUSPECT


def test_one_bad_link_suspects_nobody():
    network = Network(ZONES)
    network.run(3)
    network.cut.add(frozenset(("p0", "p5")))
    network.run(20)
    for name in ZONES:
        assert network.states(name) == dict.fromkeys(ZONES, LIVE)


def test_a_paused_proxy_refutes_its_death_when_it_is_back():
    network = Network(ZONES)
    network.run(3)
    network.stopped.add("p3")
    network.run(8)
    network.stopped.clear()
    network.run(8)
    for name in ZONES:
        assert network.states(name) == dict.fromkeys(ZONES, LIVE)


def test_a_stopping_proxy_tells_the_others_within_two_seconds():
    network = Network(ZONES)
    network.run(3)
    network.feed("p3", process.StopAsked(network.now))
    network.run(2)
    for name in ZONES:
        assert network.states(name)["p3"] is LEAVING


def test_a_host_that_the_list_calls_leaving_is_leaving_everywhere():
    network = Network(ZONES)
    network.run(3)
    network.list = tuple(
        core_items.Host(h.name, h.zone, h.address, h.name == "p3")
        for h in network.list
    )
    network.run(4)
    for name in ZONES:
        assert network.states(name)["p3"] is LEAVING


@pytest.mark.parametrize("listed", [(), None])
def test_an_empty_or_missing_list_removes_nobody(listed):
    network = Network(ZONES)
    network.run(3)
    network.list = listed
    network.run(table.FORGET_AFTER_S + 10)
    for name in ZONES:
        assert network.states(name) == dict.fromkeys(ZONES, LIVE)


def test_a_stale_list_adds_nobody_that_does_not_answer():
    network = Network(ZONES)
    network.list = (*network.list, core_items.Host("old", "zone-0", "old:1"))
    network.run(4)
    assert "old" not in network.states("p0")


def test_a_cut_zone_is_told_apart_and_heals_by_itself():
    network = Network(ZONES)
    network.run(3)
    network.cut_zone("zone-1", ZONES)
    network.run(10)
    assert network.views["p0"].partitioned_zones == {"zone-1"}
    assert network.states("p0")["p2"] is SUSPECT
    assert network.states("p2")["p3"] is LIVE
    network.cut.clear()
    network.run(15)
    for name in ZONES:
        assert network.states(name) == dict.fromkeys(ZONES, LIVE)


def test_a_zone_that_died_is_not_called_cut():
    network = Network(ZONES)
    network.run(3)
    network.stopped |= {"p2", "p3"}
    network.list = tuple(h for h in network.list if h.zone != "zone-1")
    network.run(10)
    assert network.views["p0"].partitioned_zones == frozenset()
    assert network.states("p0")["p2"] is DEAD


def test_an_address_reused_by_a_newer_start_retires_the_older_name():
    network = Network(ZONES)
    network.run(3)
    network.stopped.add("p3")
    network.start("new", "zone-1", "p3:1", incarnation=2)
    host = core_items.Host("new", "zone-1", "p3:1")
    network.list = (*network.list, host)
    network.run(6)
    assert network.states("p0")["new"] is LIVE
    assert network.states("p0")["p3"] is DEAD


def test_a_proxy_joins_by_a_seed_while_the_list_is_down():
    network = Network(ZONES)
    network.run(3)
    network.list = None
    network.start("new", "zone-1", "new:1", 1, seeds=("p0:1",))
    network.run(3)
    expected = dict.fromkeys(ZONES, LIVE) | {"new": LIVE}
    assert network.states("new") == expected
    assert network.states("p7") == expected


def test_messages_of_a_proxy_do_not_grow_with_the_fleet():
    sent = []
    for size in (8, 32):
        zones = {f"p{n}": f"zone-{n % 4}" for n in range(size)}
        network = Network(zones)
        network.run(20)
        network.sent.clear()
        network.run(20)
        sent.append(sum(network.sent.values()) / size)
    assert sent[1] <= 1.2 * sent[0]


def test_a_rumor_that_a_member_is_dead_does_not_beat_a_newer_start():
    older = views.Member("a", "z", "a:1", 4, DEAD)
    newer = views.Member("a", "z", "a:1", 5, LIVE)
    assert table.is_newer(newer, older)
    assert not table.is_newer(older, newer)


def test_each_message_carries_a_bounded_number_of_rumors():
    network = Network({f"p{n}": "zone-0" for n in range(40)})
    most = 0
    for _ in range(40):
        network.now += TICK_S
        for name in network.cores:
            network.feed(name, filters.Tick(network.now, network.now))
        for _, effect in network.queue:
            if isinstance(effect.message, membership.Ping):
                most = max(most, len(effect.message.rumors))
        network.deliver()
    assert 0 < most <= 7
