"""Models of the messages of the failure detector and of gossip."""

from __future__ import annotations

from typing import Annotated

import pydantic

from fescueshunt.core import membership, views
from fescueshunt_wire.models import base

MAX_RUMORS = 64
MAX_MEMBERS = 16_384
Digest = Annotated[bytes, pydantic.Field(max_length=8)]


class MemberModel(base.Model):
    """The record of a proxy in the fleet's membership table."""

    data_class = views.Member
    name: base.Name
    zone: base.Name
    address: base.Name
    incarnation: base.Count
    state: views.MemberState = views.MemberState.LIVE


Rumors = Annotated[
    tuple[MemberModel, ...], pydantic.Field(max_length=MAX_RUMORS)
]


class PingModel(base.Model):
    """The failure detector's request for an ack."""

    data_class = membership.Ping
    seq: base.Count
    target: base.Name
    sender: MemberModel
    digest: Digest = b""
    rumors: Rumors = ()


class AckModel(base.Model):
    """The answer to a ping, with gossiped member records."""

    data_class = membership.Ack
    seq: base.Count
    sender: MemberModel
    digest: Digest = b""
    rumors: Rumors = ()


class ProbeRequestModel(base.Model):
    """The request to ping a proxy on behalf of the sender."""

    data_class = membership.ProbeRequest
    target: MemberModel


class ProbeReportModel(base.Model):
    """The report that a proxy acked a ping on behalf of another."""

    data_class = membership.ProbeReport
    target: MemberModel


class TableRequestModel(base.Model):
    """The request for the complete member table."""

    data_class = membership.TableRequest


class TableReplyModel(base.Model):
    """The complete member table of the sender."""

    data_class = membership.TableReply
    members: Annotated[
        tuple[MemberModel, ...], pydantic.Field(max_length=MAX_MEMBERS)
    ]
