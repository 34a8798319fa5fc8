"""Polls the status of replica set members.

The replies to statements carry most of the needed status. Status calls are sent
only to suspected members, and to the members of a replica set whose primary has
to be confirmed without the store. That takes the replies of two members, again
and again from before this host's lease ends, as long as the database is used.
Where hosts outnumber the connections that an upstream accepts, the members are
asked only if a statement waits, as each host would hold a connection otherwise.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import (
    filters,
    replica_sets,
    session_items,
    sessions,
    store_items,
)
from fescueshunt.replicas import items

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

POLL_INTERVAL_S = 0.25
STATUS_TIMEOUT_S = 0.5
# A suspected member is polled until it answers, but no longer than this.
MAX_SUSPECT_POLL_S = 20.0
CONFIRMATION_POLL_S = 0.2
# Two confirmations, with their calls, must fit into CONFIRMATION_TTL_S.
CONFIRMATION_INTERVAL_S = 0.2
# Confirmation by status begins this long before this host's lease ends. A lease
# that is renewed in time is valid for longer.
LEASE_LEAD_S = 0.5
# Confirmation goes on for this long after the last use of the database.
DATABASE_USE_S = 10.0


@dataclasses.dataclass(slots=True)
class PollState:
    """The polling state of one member.

    Attributes:
      due_at: when the next status call may be sent.
      in_flight: whether a status call is in flight.
      poll_until: when polling ends.
      stops_on_reply: whether a reply ends the polling before `poll_until`.
    """

    due_at: float = 0.0
    in_flight: bool = False
    poll_until: float = replica_sets.NEVER
    stops_on_reply: bool = False


class StatusPoller(filters.Filter):
    """Sends status calls to members that are suspected or must be confirmed."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._polls: dict[str, PollState] = {}
        self._members: dict[str, frozenset[str]] = {}
        self._used_until: dict[str, float] = {}
        self._scarce: frozenset[str] = frozenset()
        self._lease_until = replica_sets.NEVER

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields the status calls that are due."""
        match item:
            case filters.Tick():
                self._poll_without_lease(item.at)
                yield from self._poll_due(item.at)
                yield item
            case items.ScarceConnections():
                self._scarce = item.databases
            case items.MembersChanged():
                self._update_members(item)
                yield item
            case session_items.UpstreamSuspected():
                self._suspect(item)
                yield item
            case session_items.ConfirmationRequested():
                self._record_use(item.database, item.at)
                for name in sorted(self._members.get(item.database, ())):
                    self._poll_for_confirmation(name, item.at)
            case session_items.UpstreamResponded():
                if item.wrote:
                    self._record_write(item)
                yield item
            case store_items.LeaseView():
                self._update_lease(item)
                yield item
            case session_items.UpstreamCallCompleted():
                self._record_outcome(item)
                yield item
            case _:
                yield item

    def _update_members(self, item: items.MembersChanged) -> None:
        names = frozenset(entry.upstream for entry in item.entries)
        for removed in self._members.get(item.database, frozenset()) - names:
            self._polls.pop(removed, None)
        self._members[item.database] = names

    def _update_lease(self, item: store_items.LeaseView) -> None:
        """Counts each database as in use when the lease ends."""
        self._lease_until = item.valid_until
        for database in self._members:
            self._record_use(database, max(item.at, item.valid_until))

    def _record_write(self, item: session_items.UpstreamResponded) -> None:
        for database, names in self._members.items():
            if item.upstream in names:
                self._record_use(database, item.at)

    def _record_use(self, database: str, now: float) -> None:
        self._used_until[database] = now + DATABASE_USE_S

    def _confirms_by_status(self, now: float) -> bool:
        """Returns whether this host's lease has ended or may end soon."""
        return now > self._lease_until - LEASE_LEAD_S

    def _poll_without_lease(self, now: float) -> None:
        if not self._confirms_by_status(now):
            return
        for database, names in self._members.items():
            used_until = self._used_until.get(database, replica_sets.NEVER)
            if now < used_until and database not in self._scarce:
                for name in sorted(names):
                    self._poll_for_confirmation(name, now)

    def _suspect(self, item: session_items.UpstreamSuspected) -> None:
        poll = self._polls.setdefault(item.upstream, PollState())
        poll.poll_until = item.at + MAX_SUSPECT_POLL_S
        poll.stops_on_reply = True

    def _poll_for_confirmation(self, upstream: str, now: float) -> None:
        poll = self._polls.setdefault(upstream, PollState())
        if poll.poll_until < now + CONFIRMATION_POLL_S:
            poll.poll_until = now + CONFIRMATION_POLL_S
            poll.stops_on_reply = False

    def _record_outcome(
        self, item: session_items.UpstreamCallCompleted
    ) -> None:
        poll = self._polls.get(item.upstream)
        if poll is None or not isinstance(item.call, sessions.GetStatus):
            return
        poll.in_flight = False
        interval_s = POLL_INTERVAL_S
        if self._confirms_by_status(item.at):
            interval_s = CONFIRMATION_INTERVAL_S
        poll.due_at = item.at + interval_s * self._rng.uniform(0.8, 1.0)
        if item.reply is not None and poll.stops_on_reply:
            poll.poll_until = replica_sets.NEVER

    def _poll_due(self, now: float) -> Iterator[filters.Item]:
        for upstream, poll in self._polls.items():
            if poll.in_flight or now < poll.due_at or now > poll.poll_until:
                continue
            poll.in_flight = True
            yield session_items.CallUpstream(
                now, upstream, sessions.GetStatus(), now + STATUS_TIMEOUT_S
            )
