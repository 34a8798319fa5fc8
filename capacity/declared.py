"""Settings documents and host lists of any size for the measurements."""

from __future__ import annotations

import dataclasses

from fescueshunt.core import document, identity, items, ranks, request

ZONES = tuple(f"zone-{number:02}" for number in range(1, 24))
UPSTREAMS_PER_DATABASE = 3
SLOTS_PER_UPSTREAM = 64
CONNECTIONS_PER_UPSTREAM = 192
READ_SERVICE = "read"
WRITE_SERVICE = "write"
GROUP_NAME = "renew-core"
RANK_NAME = "urgent"
READ_STATEMENT = request.Statement(
    "SELECT id, valid_until FROM card WHERE id = ?", ("card-000001",)
)
RESULT_SET = request.ResultSet(
    ("id", "valid_until"), (("card-000001", "2027-03-10"),)
)

SETTINGS_WITHOUT_DATABASES = document.Document(
    revision=1,
    ranks=(ranks.Rank(RANK_NAME, 0, 0.25, 20.0, 0.4),),
    groups=(
        document.Group(
            GROUP_NAME, SLOTS_PER_UPSTREAM, CONNECTIONS_PER_UPSTREAM
        ),
    ),
    services=(
        document.Service(READ_SERVICE, GROUP_NAME, RANK_NAME),
        document.Service(WRITE_SERVICE, GROUP_NAME, RANK_NAME, writes=True),
    ),
)


def make_settings(databases: int) -> document.Document:
    """Returns settings with `databases` databases spread over all zones."""
    return dataclasses.replace(
        SETTINGS_WITHOUT_DATABASES,
        databases=tuple(make_database(number) for number in range(databases)),
    )


def make_database(number: int) -> document.Database:
    """Returns a database whose upstreams are in different zones."""
    name = f"renew-{number:05}"
    return document.Database(
        name,
        GROUP_NAME,
        tuple(
            document.Upstream(
                f"{name}-{'abc'[index]}",
                ZONES[(number + index) % len(ZONES)],
                f"10.{index}.{number // 256}.{number % 256}:5432",
            )
            for index in range(UPSTREAMS_PER_DATABASE)
        ),
    )


def make_host(number: int) -> items.Host:
    """Returns a host list entry; `number` selects the zone round-robin."""
    zone = ZONES[number % len(ZONES)]
    address = f"10.9.{number // 256}.{number % 256}:7001"
    return items.Host(f"proxy-{zone}-{number:04}", zone, address)


def make_host_list(count: int) -> tuple[items.Host, ...]:
    """Returns a host list of `count` proxies, one zone after another."""
    return tuple(make_host(number) for number in range(count))


def make_identity(entry: items.Host) -> identity.Identity:
    """Returns the identity of the proxy that a host list entry describes."""
    return identity.Identity(entry.name, entry.zone, entry.address)
