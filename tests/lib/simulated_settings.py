"""The settings document and schema that simulated fleets start with."""

from __future__ import annotations

import dataclasses

from fescueshunt.core import document, ranks

ZONES = ("zone-a", "zone-b", "zone-c")
SCHEMA = ("CREATE TABLE hit (tag TEXT NOT NULL)",)
SETTINGS = document.Document(
    revision=1,
    ranks=(
        ranks.Rank("urgent", 0, 0.5, 10.0, 0.5),
        ranks.Rank("bulk", 1, 2.0, 1.0, 0.1),
    ),
    groups=(document.Group("group", slots=4, connections=30),),
    databases=(
        document.Database(
            "db",
            "group",
            tuple(
                document.Upstream(f"db-{n}", ZONES[n], f"127.0.0.1:{n + 1}")
                for n in range(3)
            ),
        ),
    ),
    services=(
        document.Service("pay", "group", "urgent", writes=True),
        document.Service("look", "group", "urgent"),
        document.Service("old", "group", "bulk", max_age_s=5.0),
    ),
)


def drain_upstream(
    settings: document.Document, upstream: str
) -> document.Document:
    """Returns the next revision, in which only `upstream` is draining."""
    (database,) = settings.databases
    upstreams = tuple(
        dataclasses.replace(member, draining=member.name == upstream)
        for member in database.upstreams
    )
    return dataclasses.replace(
        settings,
        revision=settings.revision + 1,
        databases=(dataclasses.replace(database, upstreams=upstreams),),
    )
