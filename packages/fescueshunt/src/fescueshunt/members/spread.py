"""Rumors: changes of the table travel on the pings and acks that flow anyway.

Each change is sent a number of times that grows with the logarithm of the
fleet, a few of them on each message, so that the cost of a proxy is bounded.
Tables that still differ, by the digests that they carry, are exchanged whole.
"""

from __future__ import annotations

import dataclasses
import hashlib
import math
from typing import TYPE_CHECKING

from fescueshunt.core import filters, membership, views
from fescueshunt.core import items as core_items
from fescueshunt.members import items

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.core import identity

RUMORS_PER_MESSAGE = 6
SENDS_PER_DOUBLING = 3
EXCHANGE_EVERY_S = 10.0
DIGEST_BYTES = 8


@dataclasses.dataclass(slots=True)
class SpreadState:
    """What the filter remembers; `left` counts the sends of a rumor."""

    members: dict[str, views.Member]
    left: dict[str, int] = dataclasses.field(default_factory=dict)
    digest: bytes = b""
    exchanged_at: float = float("-inf")


class Spread(filters.Filter):
    """Puts rumors on outgoing pings and acks, and takes them from others."""

    def __init__(self, me: identity.Identity) -> None:
        self._me = me.name
        member = views.Member(me.name, me.zone, me.address, me.incarnation)
        self._state = SpreadState({me.name: member})
        self._state.digest = _digest(member)

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields claims for rumors heard, and messages with rumors added."""
        match item:
            case core_items.SendPeer(
                message=membership.Ping() | membership.Ack()
            ):
                yield self._add_rumors(item)
            case core_items.PeerReceived(
                message=membership.Ping() | membership.Ack() as message
            ):
                yield from self._hear(item, message)
            case core_items.PeerReceived(message=membership.TableRequest()):
                members = tuple(self._state.members.values())
                reply = membership.TableReply(members)
                yield core_items.SendPeer(item.at, item.sender, reply)
            case core_items.PeerReceived(
                message=membership.TableReply() as reply
            ):
                yield from _claims(item.at, reply.members)
            case items.Changed():
                self._note(item.member)
                yield item
            case items.Forgotten():
                self._forget(item.name)
                yield item
            case _:
                yield item

    def _note(self, member: views.Member) -> None:
        self._replace(member.name, member)
        doublings = math.ceil(math.log2(len(self._state.members) + 1))
        self._state.left[member.name] = SENDS_PER_DOUBLING * doublings

    def _forget(self, name: str) -> None:
        self._replace(name, None)
        self._state.left.pop(name, None)

    def _replace(self, name: str, member: views.Member | None) -> None:
        """Changes one member, and the digest by what it adds and takes."""
        state = self._state
        for changed in (state.members.pop(name, None), member):
            state.digest = _combine(state.digest, _digest(changed))
        if member is not None:
            state.members[name] = member

    def _add_rumors(self, item: core_items.SendPeer) -> core_items.SendPeer:
        message = dataclasses.replace(
            item.message,
            digest=self._state.digest,
            rumors=self._choose(item.name),
        )
        return dataclasses.replace(item, message=message)

    def _choose(self, receiver: str) -> tuple[views.Member, ...]:
        """Returns the least sent rumors, first what concerns the receiver."""
        left = self._state.left
        names = sorted(left, key=lambda name: -left[name])
        names = names[:RUMORS_PER_MESSAGE]
        for name in names:
            left[name] -= 1
            if left[name] <= 0:
                del left[name]
        about = self._state.members.get(receiver)
        if about is not None and about.state is not views.MemberState.LIVE:
            names = [receiver, *(name for name in names if name != receiver)]
        return tuple(self._state.members[name] for name in names)

    def _hear(
        self,
        item: core_items.PeerReceived,
        message: membership.Ping | membership.Ack,
    ) -> Iterator[filters.Item]:
        yield from _claims(item.at, message.rumors)
        due = item.at - self._state.exchanged_at >= EXCHANGE_EVERY_S
        settled = not self._state.left and not message.rumors
        is_first = len(self._state.members) == 1
        differs = message.digest != self._state.digest
        if differs and (is_first or (due and settled)):
            self._state.exchanged_at = item.at
            request = membership.TableRequest()
            sender = message.sender
            yield core_items.SendPeer(
                item.at, sender.name, request, sender.address
            )


def _digest(member: views.Member | None) -> bytes:
    """Returns what a member adds to the digest; nothing if it is dead."""
    if member is None or member.state is views.MemberState.DEAD:
        return bytes(DIGEST_BYTES)
    line = f"{member.name}\0{member.incarnation}\0{member.state}"
    return hashlib.blake2b(line.encode(), digest_size=DIGEST_BYTES).digest()


def _combine(first: bytes, second: bytes) -> bytes:
    """Returns the exclusive or of two digests; it undoes itself."""
    pairs = zip(first, second, strict=True)
    return bytes(one ^ other for one, other in pairs)


def _claims(
    now: float, members: tuple[views.Member, ...]
) -> Iterator[filters.Item]:
    for member in members:
        yield items.Claimed(now, member, items.Evidence.RUMOR)
