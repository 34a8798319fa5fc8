"""Settings documents and fleets of any size, as the measurements need them."""

from __future__ import annotations

import dataclasses

from fescueshunt.core import document, identity, items, ranks, request

ZONES = tuple(f"zone-{number:02}" for number in range(1, 24))
UPSTREAMS = 3
SLOTS = 64
CONNECTIONS = 192
READ = "read"
WRITE = "write"
GROUP = "renew-core"
RANK = "urgent"
STATEMENT = request.Statement(
    "SELECT id, valid_until FROM card WHERE id = ?", ("card-000001",)
)
ROWS = request.ResultSet(
    ("id", "valid_until"), (("card-000001", "2027-03-10"),)
)

NO_DATABASES = document.Document(
    revision=1,
    ranks=(ranks.Rank(RANK, 0, 0.25, 20.0, 0.4),),
    groups=(document.Group(GROUP, SLOTS, CONNECTIONS),),
    services=(
        document.Service(READ, GROUP, RANK),
        document.Service(WRITE, GROUP, RANK, writes=True),
    ),
)


def declare(databases: int) -> document.Document:
    """Returns settings with `databases` databases over all zones."""
    return dataclasses.replace(
        NO_DATABASES,
        databases=tuple(database(number) for number in range(databases)),
    )


def database(number: int) -> document.Database:
    """Returns one database whose upstreams are in different zones."""
    name = f"renew-{number:05}"
    return document.Database(
        name,
        GROUP,
        tuple(
            document.Upstream(
                f"{name}-{'abc'[place]}",
                ZONES[(number + place) % len(ZONES)],
                f"10.{place}.{number // 256}.{number % 256}:5432",
            )
            for place in range(UPSTREAMS)
        ),
    )


def host(number: int) -> items.Host:
    """Returns one entry of the host list; hosts go round the zones."""
    zone = ZONES[number % len(ZONES)]
    address = f"10.9.{number // 256}.{number % 256}:7001"
    return items.Host(f"proxy-{zone}-{number:04}", zone, address)


def hosts(count: int) -> tuple[items.Host, ...]:
    """Returns a host list of `count` proxies."""
    return tuple(host(number) for number in range(count))


def identify(entry: items.Host) -> identity.Identity:
    """Returns the identity of the proxy of a host list's entry."""
    return identity.Identity(entry.name, entry.zone, entry.address)
