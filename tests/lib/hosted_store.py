"""Executes the store calls of simulated hosts on an in-memory store."""

from __future__ import annotations

from fescueshunt.core import filters, store_items
from fescueshunt_standins.hosted import kv


def execute_call(
    store: kv.KeyValueStore, effect: filters.Item, sent_at: float, now: float
) -> filters.Item | None:
    """Executes a store call and returns its result item, if it has one."""
    match effect:
        case store_items.AskLease():
            lease = store.grant_lease(effect.ttl_s, now)
            return store_items.LeaseGranted(now, lease, sent_at, effect.ttl_s)
        case store_items.RenewLease():
            if not store.renew_lease(effect.lease, now):
                return store_items.LeaseLost(now, effect.lease)
            ttl_s = store.lease_ttls_s[effect.lease]
            return store_items.LeaseGranted(now, effect.lease, sent_at, ttl_s)
        case store_items.EndLease():
            store.end_lease(effect.lease)
        case store_items.WriteKey():
            done, revision = store.write(effect)
            return store_items.KeyWritten(
                now, effect.key, done, revision, effect
            )
        case store_items.ReadKey():
            stored = store.keys.get(effect.key)
            return store_items.KeyRead(now, effect.key, sent_at, True, stored)
    return None


def make_timeout_item(
    effect: filters.Item, sent_at: float
) -> filters.Item | None:
    """Returns the item that reports a timeout of the call, if it has one."""
    match effect:
        case store_items.AskLease():
            return store_items.LeaseCallFailed(0.0, 0)
        case store_items.RenewLease():
            return store_items.LeaseCallFailed(0.0, effect.lease)
        case store_items.WriteKey():
            return store_items.KeyWritten(0.0, effect.key, None, 0, effect)
        case store_items.ReadKey():
            return store_items.KeyRead(0.0, effect.key, sent_at, False, None)
    return None
