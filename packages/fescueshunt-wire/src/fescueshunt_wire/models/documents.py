"""Models of the settings document and of its entries."""

from __future__ import annotations

from typing import Annotated

import pydantic

from fescueshunt.core import document, ranks
from fescueshunt_wire.models import base

MAX_REVISIONS = 256
Date = Annotated[str, pydantic.Field(pattern=r"^\d{4}-\d{2}-\d{2}$")]
OperationId = Annotated[bytes, pydantic.Field(max_length=16)]
Reason = Annotated[str, pydantic.Field(max_length=500)]
Floors = Annotated[
    tuple[tuple[base.Name, base.Share], ...], pydantic.Field(max_length=64)
]


class RankModel(base.Model):
    """A priority class of requests."""

    data_class = ranks.Rank
    name: base.Name
    order: base.Count
    target_s: base.Seconds
    worth: base.Seconds
    floor: base.Share
    ceiling: base.Share = 1.0


class ServiceModel(base.Model):
    """A class of requests to one database group, with common settings."""

    data_class = document.Service
    name: base.Name
    group: base.Name
    rank: base.Name
    writes: bool = False
    durability: document.Durability = document.Durability.MAJORITY
    max_age_s: base.Seconds | None = None


class UpstreamModel(base.Model):
    """An upstream of a database, with its zone and address."""

    data_class = document.Upstream
    name: base.Name
    zone: base.Name
    address: base.Name
    draining: bool = False


class DatabaseModel(base.Model):
    """A database, the name of its group, and its upstreams."""

    data_class = document.Database
    name: base.Name
    group: base.Name
    upstreams: tuple[UpstreamModel, ...]


class GroupModel(base.Model):
    """A database group, with the limits for each of its upstreams."""

    data_class = document.Group
    name: base.Name
    slots: Annotated[int, pydantic.Field(ge=1)]
    connections: Annotated[int, pydantic.Field(ge=1)]


class CalendarDayModel(base.Model):
    """A day on which a surge of load is expected."""

    data_class = document.CalendarDay
    name: base.Name
    date: Date
    zone: base.Name
    state: document.DayState
    lead_s: base.Seconds = 3600.0
    floors: Floors = ()
    warm: base.Share = 1.0


class RevisionModel(base.Model):
    """The history record of an accepted change."""

    data_class = document.Revision
    revision: base.Count
    operation: OperationId
    operator: base.Name
    author: base.Name
    reason: Reason
    statement: base.Text
    asked_s: base.WallSeconds


class DocumentModel(base.Model):
    """The complete settings that operators have declared."""

    data_class = document.Document
    revision: base.Count = 0
    operation: OperationId = b""
    author: base.Name = ""
    reason: Reason = ""
    ranks: tuple[RankModel, ...] = ()
    groups: tuple[GroupModel, ...] = ()
    databases: tuple[DatabaseModel, ...] = ()
    services: tuple[ServiceModel, ...] = ()
    calendar: tuple[CalendarDayModel, ...] = ()
    draining_hosts: tuple[base.Name, ...] = ()
    history: Annotated[
        tuple[RevisionModel, ...], pydantic.Field(max_length=MAX_REVISIONS)
    ] = ()
