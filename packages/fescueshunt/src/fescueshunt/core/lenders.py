"""Which host lends the connections to an upstream.

Where connections are fewer than what all hosts would need, one host, the
lender, holds most of those to an upstream and lends them to the others. It is
chosen by rendezvous hashing among the live hosts of the upstream's zone, so
that all hosts with the same view agree, and few upstreams move when hosts
change.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import rendezvous

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fescueshunt.core import hosts, routes

# With accounts, a host needs connections for each of those that it serves at a
# time.
CONNECTIONS_PER_HOST = 1
CONNECTIONS_PER_HOST_WITH_ACCOUNTS = 4
# A lender carries the calls of all hosts, so hosts with many cores are
# preferred by more than their share of the cores.
CORES_EXPONENT = 2


def lends_connections(
    policy: routes.ReplicaSetPolicy, host_count: int, *, has_accounts: bool
) -> bool:
    """Returns whether hosts borrow connections to a replica set's members."""
    needed = CONNECTIONS_PER_HOST
    if has_accounts:
        needed = CONNECTIONS_PER_HOST_WITH_ACCOUNTS
    return policy.max_connections < host_count * needed


def choose_lender(
    upstream: str, zone: str, live_hosts: Iterable[hosts.HostInfo]
) -> str:
    """Returns the host that lends the connections to an upstream, or "".

    Args:
      upstream: the id of the upstream.
      zone: its availability zone. A host elsewhere is chosen only if no host
        in the zone accepts others.
      live_hosts: the live hosts.
    """
    reachable = [host for host in live_hosts if host.peer_address]
    nearby = [host for host in reachable if host.zone == zone]
    weights = {
        host.name: host.cores**CORES_EXPONENT for host in nearby or reachable
    }
    return rendezvous.pick_weighted(upstream, weights)
