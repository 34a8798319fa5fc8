"""Tests of the loopback addresses that deployments for tests use."""

from __future__ import annotations

from fescueshunt_standins import fleet

# Far more than the square root of the number of ports, so that a port that is
# drawn at random repeats.
ADDRESS_COUNT = 2000


# Guards against two servers of a deployment getting the same address, of which
# the second one then ends at its start.
def test_no_address_is_given_to_two_servers():
    addresses = [fleet.free_address() for _ in range(ADDRESS_COUNT)]
    assert len(set(addresses)) == ADDRESS_COUNT
