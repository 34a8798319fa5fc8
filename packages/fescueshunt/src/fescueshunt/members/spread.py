"""Gossip filter: piggybacks membership changes on pings and acks.

Each change is sent a number of times that grows with the logarithm of the
fleet's size, and each message carries only a few changes, so that the load on
a proxy is bounded. Pings and acks carry a digest of the sender's membership
table; tables whose digests still differ are transferred in full.
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
EXCHANGE_INTERVAL_S = 10.0
DIGEST_BYTES = 8


@dataclasses.dataclass(slots=True)
class GossipDisseminatorState:
    """State of the filter.

    Attributes:
      members: the membership table, by name.
      remaining_sends: the number of times to send each rumor, by member name.
      digest: the digest of the live, suspect and leaving members; 8 bytes.
      exchanged_at: when a full table was last requested; local clock, seconds.
    """

    members: dict[str, views.Member]
    remaining_sends: dict[str, int] = dataclasses.field(default_factory=dict)
    digest: bytes = b""
    exchanged_at: float = float("-inf")


class GossipDisseminator(filters.Filter):
    """Adds rumors to outgoing pings and acks, and handles received rumors."""

    def __init__(self, local_proxy: identity.Identity) -> None:
        self._local_name = local_proxy.name
        member = views.Member.from_identity(local_proxy)
        self._state = GossipDisseminatorState({local_proxy.name: member})
        self._state.digest = _digest(member)

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields claims from rumors received, and messages with rumors."""
        match item:
            case core_items.SendPeer(
                message=membership.Ping() | membership.Ack()
            ):
                yield self._add_rumors(item)
            case core_items.PeerReceived(
                message=membership.Ping() | membership.Ack() as message
            ):
                yield from self._handle_rumors(item, message)
            case core_items.PeerReceived(message=membership.TableRequest()):
                members = tuple(self._state.members.values())
                reply = membership.TableReply(members)
                yield core_items.SendPeer(item.at, item.sender, reply)
            case core_items.PeerReceived(
                message=membership.TableReply() as reply
            ):
                yield from _claims(item.at, reply.members)
            case items.MemberChanged():
                self._queue_rumor(item.member)
                yield item
            case items.MemberRemoved():
                self._remove_member(item.name)
                yield item
            case _:
                yield item

    def _queue_rumor(self, member: views.Member) -> None:
        self._replace_member(member.name, member)
        doublings = math.ceil(math.log2(len(self._state.members) + 1))
        self._state.remaining_sends[member.name] = (
            SENDS_PER_DOUBLING * doublings
        )

    def _remove_member(self, name: str) -> None:
        self._replace_member(name, None)
        self._state.remaining_sends.pop(name, None)

    def _replace_member(self, name: str, member: views.Member | None) -> None:
        """Replaces or removes one member, and updates the digest."""
        state = self._state
        for changed in (state.members.pop(name, None), member):
            state.digest = _xor(state.digest, _digest(changed))
        if member is not None:
            state.members[name] = member

    def _add_rumors(self, item: core_items.SendPeer) -> core_items.SendPeer:
        message = dataclasses.replace(
            item.message,
            digest=self._state.digest,
            rumors=self._choose_rumors(item.name),
        )
        return dataclasses.replace(item, message=message)

    def _choose_rumors(self, receiver: str) -> tuple[views.Member, ...]:
        """Returns the rumors with the most remaining sends.

        If the receiver is not known to be live, its own entry comes first,
        even if it has no remaining sends, so that the receiver can refute it.
        """
        remaining_sends = self._state.remaining_sends
        names = sorted(remaining_sends, key=lambda name: -remaining_sends[name])
        names = names[:RUMORS_PER_MESSAGE]
        for name in names:
            remaining_sends[name] -= 1
            if remaining_sends[name] <= 0:
                del remaining_sends[name]
        receiver_entry = self._state.members.get(receiver)
        if (
            receiver_entry is not None
            and receiver_entry.state is not views.MemberState.LIVE
        ):
            names = [receiver, *(name for name in names if name != receiver)]
        return tuple(self._state.members[name] for name in names)

    def _handle_rumors(
        self,
        item: core_items.PeerReceived,
        message: membership.Ping | membership.Ack,
    ) -> Iterator[filters.Item]:
        yield from _claims(item.at, message.rumors)
        is_due = item.at - self._state.exchanged_at >= EXCHANGE_INTERVAL_S
        no_rumors_pending = (
            not self._state.remaining_sends and not message.rumors
        )
        is_alone = len(self._state.members) == 1
        differs = message.digest != self._state.digest
        if differs and (is_alone or (is_due and no_rumors_pending)):
            self._state.exchanged_at = item.at
            request = membership.TableRequest()
            sender = message.sender
            yield core_items.SendPeer(
                item.at, sender.name, request, sender.address
            )


def _digest(member: views.Member | None) -> bytes:
    """Returns the member's part of the digest; all zeros if dead or None."""
    if member is None or member.state is views.MemberState.DEAD:
        return bytes(DIGEST_BYTES)
    line = f"{member.name}\0{member.incarnation}\0{member.state}"
    return hashlib.blake2b(line.encode(), digest_size=DIGEST_BYTES).digest()


def _xor(first: bytes, second: bytes) -> bytes:
    """Returns the bitwise XOR of two digests.

    Applying the same part a second time removes it from the digest.
    """
    pairs = zip(first, second, strict=True)
    return bytes(first_byte ^ second_byte for first_byte, second_byte in pairs)


def _claims(
    now: float, members: tuple[views.Member, ...]
) -> Iterator[filters.Item]:
    for member in members:
        yield items.MemberClaimed(now, member, items.ClaimSource.RUMOR)
