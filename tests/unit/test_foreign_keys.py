"""Keys that another program left in the place of those of this system."""

from __future__ import annotations

from fescueshunt.core import (
    filters,
    identity,
    sessions,
    store_items,
)
from fescueshunt.presence import hosts as presence_hosts
from fescueshunt.takeover import election, participants
from lib import hosted_routes, replica_set_views

DATABASE = hosted_routes.DATABASE
ENTRY = replica_set_views.make_entry("u0", sessions.ReplicaRole.PRIMARY)


# Failure: a host's key that belongs to no lease, as another program left it,
# makes each failover wait for a host that doesn't exist.
def test_key_of_a_host_without_a_lease_names_no_host():
    own = identity.Identity("h0", "z", "10.0.0.1:1", 1)
    keys = {
        f"{store_items.HOSTS_PREFIX}h0": store_items.StoredKey("z", 3, 7),
        f"{store_items.HOSTS_PREFIX}ghost": store_items.StoredKey("z", 4, 0),
    }
    listed = store_items.KeysListed(1.0, keys, 5)
    waited_for = participants.Participants()
    waited_for.load(listed)
    assert waited_for.unacknowledged(DATABASE, 1) == {"h0": 7}
    live = presence_hosts.LiveHostTracker(own)
    views = [
        item
        for item in live.process(listed)
        if isinstance(item, store_items.LiveHostsView)
    ]
    assert [view.names for view in views] == [frozenset({"h0"})]


# Failure: a key of the failover duty that belongs to no lease, as another
# program left it, keeps every host from taking the duty.
def test_duty_under_a_key_without_a_lease_is_vacant():
    elected = election.Election("h0")
    stored = store_items.StoredKey("ghost", 4, 0)
    view = replica_set_views.make_view((ENTRY,), "u0", confirmed_until=9.0)
    feed = (
        view,
        store_items.LeaseView(0.0, 7, 9.0),
        store_items.KeysListed(0.0, {store_items.DUTY_KEY: stored}, 5),
        filters.Tick(1.0, 0.0),
    )
    effects = [effect for item in feed for effect in elected.process(item)]
    assert (
        store_items.WriteKey(1.0, store_items.DUTY_KEY, "h0", 7, 4) in effects
    )
