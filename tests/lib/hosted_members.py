"""The entries of simulated members, and how those that ended refuse callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import failures, replica_sets, session_items
from lib import hosted_routes

if TYPE_CHECKING:
    from lib import hosted_world

OUTAGE = errors.ConnectionLostError("cut")
VACANT = errors.NobodyListensError("refused")


def address(world: hosted_world.World, name: str) -> str:
    """Returns the address of a member, of its own unless one was set."""
    number = list(world.replicas.members).index(name)
    return world.addresses.get(name, f"127.0.0.1:{number + 1}")


def entries(
    world: hosted_world.World,
) -> tuple[replica_sets.UpstreamEntry, ...]:
    """Returns the entries of all members that are listed."""
    return tuple(
        replica_sets.UpstreamEntry(
            member.name,
            hosted_routes.DATABASE,
            address(world, member.name),
            "z",
            2,
            member.name in world.draining,
            member.role,
            world.started_ms.get(member.name, 1),
        )
        for member in world.replicas.members.values()
        if member.name not in world.unlisted
    )


def refuse(
    world: hosted_world.World, effect: session_items.OpenConnection
) -> session_items.ConnectionFailed:
    """Returns how a connection to a member that does not run fails.

    The address of a member that has ended for good is vacant until its
    successor answers there.
    """
    upstream = effect.entry.upstream
    error, refusal = OUTAGE, None
    if upstream in world.ended:
        is_replaced = any(
            other.up and address(world, other.name) == effect.entry.address
            for other in world.replicas.members.values()
        )
        error = OUTAGE if is_replaced else VACANT
        refusal = failures.Failure.WRONG_UPSTREAM if is_replaced else None
    return session_items.ConnectionFailed(
        world.now, effect.connection_id, error, refusal
    )
