"""Messages about shares of quotas on links of hosts."""

from __future__ import annotations

import msgspec

from fescueshunt.core import quotas
from fescueshunt_wire import host_fields


class _ShareWish(msgspec.Struct, frozen=True, array_like=True):
    account: host_fields.Name
    wanted: host_fields.Fraction
    held: host_fields.Fraction
    left_s: host_fields.Seconds
    missing: host_fields.Number
    returned: host_fields.Tokens


class _ShareGrant(msgspec.Struct, frozen=True, array_like=True):
    account: host_fields.Name
    fraction: host_fields.Fraction
    tokens: host_fields.Tokens


class _QuotaReport(host_fields.Message, frozen=True, tag=12):
    incarnation: host_fields.Number
    number: host_fields.Number
    seen: host_fields.Number
    wishes: list[_ShareWish]


class _QuotaShares(host_fields.Message, frozen=True, tag=13):
    epoch: host_fields.Number
    number: host_fields.Number
    answers: host_fields.Number
    grants: list[_ShareGrant]
    # Hosts of earlier versions don't send it.
    ttl_s: host_fields.Seconds = quotas.SHARE_TTL_S


AnyMessage = _QuotaReport | _QuotaShares
Message = quotas.QuotaReport | quotas.QuotaShares


def to_fields(message: Message) -> list[object]:
    """Returns the fields of a message."""
    match message:
        case quotas.QuotaReport():
            wishes = [
                [
                    wish.account,
                    wish.wanted,
                    wish.held,
                    wish.left_s,
                    wish.missing,
                    wish.returned,
                ]
                for wish in message.wishes
            ]
            return [
                12,
                message.incarnation,
                message.number,
                message.seen,
                wishes,
            ]
        case quotas.QuotaShares():
            grants = [
                [grant.account, grant.fraction, grant.tokens]
                for grant in message.grants
            ]
            return [
                13,
                message.epoch,
                message.number,
                message.answers,
                grants,
                message.ttl_s,
            ]


def to_message(model: AnyMessage) -> Message:
    """Returns the message that a model describes."""
    match model:
        case _QuotaReport():
            wishes = (
                quotas.ShareWish(
                    wish.account,
                    wish.wanted,
                    wish.held,
                    wish.left_s,
                    wish.missing,
                    wish.returned,
                )
                for wish in model.wishes
            )
            return quotas.QuotaReport(
                model.incarnation, model.number, model.seen, tuple(wishes)
            )
        case _QuotaShares():
            grants = (
                quotas.ShareGrant(grant.account, grant.fraction, grant.tokens)
                for grant in model.grants
            )
            return quotas.QuotaShares(
                model.epoch,
                model.number,
                model.answers,
                tuple(grants),
                model.ttl_s,
            )
