"""Models of the messages by which proxies find out about each other."""

from __future__ import annotations

from typing import Annotated

import pydantic

from fescueshunt.core import membership, views
from fescueshunt_wire.models import base

MAX_RUMORS = 64
MAX_MEMBERS = 16_384
Digest = Annotated[bytes, pydantic.Field(max_length=8)]


class MemberModel(base.Model):
    """A member."""

    of = views.Member
    name: base.Name
    zone: base.Name
    address: base.Name
    incarnation: base.Count
    state: views.MemberState = views.MemberState.LIVE


Rumors = Annotated[
    tuple[MemberModel, ...], pydantic.Field(max_length=MAX_RUMORS)
]


class PingModel(base.Model):
    """A ping."""

    of = membership.Ping
    seq: base.Count
    target: base.Name
    sender: MemberModel
    digest: Digest = b""
    rumors: Rumors = ()


class AckModel(base.Model):
    """An ack."""

    of = membership.Ack
    seq: base.Count
    sender: MemberModel
    digest: Digest = b""
    rumors: Rumors = ()


class ProbeRequestModel(base.Model):
    """A request to ping another proxy."""

    of = membership.ProbeRequest
    target: MemberModel


class ProbeReportModel(base.Model):
    """The report of an ack."""

    of = membership.ProbeReport
    target: MemberModel


class TableRequestModel(base.Model):
    """A request for the whole table."""

    of = membership.TableRequest


class TableReplyModel(base.Model):
    """The whole table."""

    of = membership.TableReply
    members: Annotated[
        tuple[MemberModel, ...], pydantic.Field(max_length=MAX_MEMBERS)
    ]
