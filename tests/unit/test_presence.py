"""What a stopping host does with its lease, and how others count it."""

from __future__ import annotations

from fescueshunt.core import filters, identity, process, store_items
from fescueshunt.presence import lease
from fescueshunt.takeover import participants

LEASE = 7
REVISION = 30
NAME = "h0"
KEY = store_items.HOSTS_PREFIX + NAME
ZONE = "z"


def _feed(
    host_lease: lease.HostLease, *feed: filters.Item
) -> list[filters.Item]:
    return [effect for item in feed for effect in host_lease.process(item)]


def _host_with_lease() -> lease.HostLease:
    host_lease = lease.HostLease(identity.Identity(NAME, ZONE, "address", 1))
    _feed(
        host_lease,
        store_items.LeaseGranted(0.0, LEASE, 1.0, 0.0),
        store_items.KeyWritten(0.1, KEY, True, REVISION),
    )
    return host_lease


# Guards against a stopping host whose late write hides the one that has started
# under its name: the write needs the key that the host itself has written.
def test_stopping_host_marks_only_its_own_key_and_then_ends_its_lease():
    host_lease = _host_with_lease()
    given_up, marked = _feed(host_lease, process.StopAsked(1.0))
    assert given_up == store_items.LeaseView(1.0, 0, 0.0)
    assert marked == store_items.WriteKey(
        1.0, KEY, store_items.STOPPING, LEASE, REVISION
    )
    assert _feed(host_lease, process.StopAsked(1.1)) == []
    for done in (True, None):
        ended = _feed(host_lease, store_items.KeyWritten(1.2, KEY, done, 0))
        assert ended == ([store_items.EndLease(1.2, LEASE)] if done else [])


def test_stopping_host_ends_its_lease_once():
    host_lease = _host_with_lease()
    _feed(
        host_lease,
        process.StopAsked(1.0),
        store_items.KeyWritten(1.1, KEY, True, REVISION + 1),
    )
    gone = store_items.KeyChanged(1.2, KEY, None, REVISION + 2)
    assert _feed(host_lease, gone) == [gone]


def test_host_without_a_key_ends_its_lease_at_once():
    host_lease = lease.HostLease(identity.Identity(NAME, ZONE, "address", 1))
    _feed(host_lease, store_items.LeaseGranted(0.0, LEASE, 1.0, 0.0))
    effects = _feed(host_lease, process.StopAsked(1.0))
    assert effects[-1] == store_items.EndLease(1.0, LEASE)


# Failure: a stopping host gives up its lease before the members confirm their
# primaries, or says that it has done so while it still relies on the lease.
def test_stopping_host_gives_up_a_valid_lease_only_after_a_delay():
    host_lease = _host_with_lease()
    key = store_items.StoredKey(ZONE, REVISION, LEASE)
    _feed(host_lease, store_items.KeyChanged(0.2, KEY, key, REVISION))
    give_up_at = 0.5 + lease.GIVE_UP_DELAY_S
    assert _feed(host_lease, process.StopAsked(0.5)) == [
        store_items.LeaseView(0.5, LEASE, give_up_at, 0.0)
    ]
    early, late = (
        filters.Tick(at, 0.0) for at in (give_up_at - 0.01, give_up_at)
    )
    assert _feed(host_lease, early) == [early]
    assert _feed(host_lease, late) == [
        store_items.LeaseView(give_up_at, 0, 0.0),
        store_items.WriteKey(
            give_up_at, KEY, store_items.STOPPING, LEASE, REVISION
        ),
        late,
    ]


def _changed(
    at: float, stored: store_items.StoredKey | None
) -> store_items.KeyChanged:
    return store_items.KeyChanged(at, KEY, stored, int(at * 10))


# Guards against promotions that wait for hosts which have said that they stop,
# and against those that don't wait for hosts which have just vanished.
def test_only_a_host_that_vanished_may_still_rely_on_its_lease():
    for value, has_expired in ((store_items.STOPPING, True), (ZONE, False)):
        hosts = participants.Participants()
        hosts.load(store_items.KeysListed(0.0, {}, 1))
        now = hosts.ttl_s * 2
        for stored_value in (ZONE, value):
            stored = store_items.StoredKey(stored_value, 1, LEASE)
            hosts.apply_change(_changed(now, stored))
        hosts.apply_change(_changed(now, None))
        assert hosts.unacknowledged("db", 1) == {}
        assert hosts.have_removed_leases_expired(now) is has_expired
        assert hosts.have_removed_leases_expired(now + hosts.ttl_s * 2)
