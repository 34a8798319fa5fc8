"""Fences the members of a replica set, so that the old term has no new commits.

A commit is acknowledged only when the primary and at least one replica have it.
Once all members but one are paused or have stepped down, no commit can be
acknowledged in the old term, and the highest log position among the fenced
members covers every acknowledged commit. Former members that may still run
count as members that can't be fenced.

The old primary has every commit of its term. Once it has stepped down, a former
member that is known to have left needs no fence, and a member with the old
primary's whole log may be promoted.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from fescueshunt.core import position, replica_sets, session_items, sessions

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator, Mapping

    from fescueshunt.core import filters

CALL_TIMEOUT_S = 0.5
MAX_TERM_RAISES = 4


def get_status(upstream: str, now: float) -> session_items.CallUpstream:
    """Returns a call that asks a member for its status."""
    return session_items.CallUpstream(
        now, upstream, sessions.GetStatus(), now + CALL_TIMEOUT_S
    )


class FenceResult(enum.Enum):
    """The result of a fence call to one member.

    FENCED: The member is paused or has stepped down.
    LEADS: A member other than the old primary is the primary, and of no earlier
      term.
    HIGHER_TERM: The member knows a term at least as high as the fence's term,
      so the fence needs a higher one.
    NOT_FENCED: The member is not fenced; the call must be repeated.
    """

    FENCED = "fenced"
    LEADS = "leads"
    HIGHER_TERM = "higher"
    NOT_FENCED = "not yet"


class Fence:
    """Tracks which members are fenced, and their final log positions.

    Attributes:
      term: The term with which the members are paused.
      final_positions: The final log position of each fenced member.
      old_primary_stepped_down: Whether the old primary has stepped down.

    Args:
      members: The members that can be fenced, by id.
      old_primary: The id of the primary to replace; "" if it is unknown.
      old_term: The highest known term.
      silent: The ids of former members that may still run.
      left: The processes of former members that don't run any more. They may
        have held a commit that only the old primary has otherwise. Those of the
        old primary hold nothing that it lacks, unless it lost its log.
      min_required: The fewest members that must be fenced.
      is_old_primary_certain: Whether no later primary can have been promoted.
        Otherwise the old primary may receive from one, and must be paused, or
        may itself have been promoted once more.
      recorded_term: The term of the leadership record, 0 if there is none.
      is_leaving: Whether the old primary is replaced as it leaves. It still
        serves for a while, so it comes before another leaving member.
      knows_all_members: Whether no other former member may have acknowledged
        commits.
    """

    def __init__(
        self,
        members: Mapping[str, replica_sets.UpstreamEntry],
        old_primary: str,
        old_term: int,
        silent: Collection[str] = (),
        min_required: int = 1,
        *,
        left: Collection[replica_sets.Incarnation] = (),
        is_old_primary_certain: bool = True,
        recorded_term: int = 0,
        is_leaving: bool = False,
        knows_all_members: bool = True,
    ) -> None:
        self.term = old_term + 1
        self.final_positions: dict[str, position.Position] = {}
        self.old_primary_stepped_down = False
        self._members = members
        self._silent = frozenset(silent)
        self._running = {*members, *silent}
        self._old_primary = old_primary
        self._set_left(left)
        self._is_leaving = is_leaving
        self._knows_all_members = knows_all_members
        self._min_required = min_required
        self._old_term = old_term
        self._is_old_primary_certain = is_old_primary_certain
        self._recorded_term = recorded_term
        self._acting_primaries = (
            {old_primary} if is_old_primary_certain else set()
        )
        self._relies_on_old_primary = False
        self._term_raises = 0

    def doubt_old_primary(self) -> None:
        """Takes into account that a later primary may have been promoted.

        The old primary may receive from it, and is to be paused as well.
        """
        if self._is_old_primary_certain:
            self._is_old_primary_certain = False
            self._acting_primaries.discard(self._old_primary)
            self.final_positions.pop(self._old_primary, None)

    def follow(self, view: replica_sets.ReplicaSetView, now: float) -> bool:
        """Follows the replica set, whose members come, go and start again.

        A member that is gone or has started again is not fenced any more. One
        that has joined may acknowledge commits, and is to be fenced as well.

        Returns:
          Whether a member has joined or started again.
        """
        members = _entries(view)
        unknown = {
            upstream
            for upstream, entry in members.items()
            if upstream not in self._members
            or self._members[upstream].started_ms != entry.started_ms
        }
        for upstream in self.final_positions.keys() - members.keys() | unknown:
            self.final_positions.pop(upstream, None)
        self._members = members
        self._silent = view.silent
        self._running = {*members, *view.silent}
        self._set_left(view.left)
        self._knows_all_members = view.knows_all_members
        self._min_required = max(self._min_required, _min_required(view, now))
        return bool(unknown)

    def _set_left(self, left: Collection[replica_sets.Incarnation]) -> None:
        own = {each for each in left if each.upstream == self._old_primary}
        self._left = frozenset(left) - own
        self._has_old_primary_restarted = bool(own)

    def pending_calls(self, now: float) -> Iterator[filters.Item]:
        """Yields a fence call to each member that is not fenced yet."""
        for upstream in self._members:
            if upstream not in self.final_positions:
                yield session_items.CallUpstream(
                    now,
                    upstream,
                    self.call_to_fence(upstream),
                    now + CALL_TIMEOUT_S,
                )

    def status_calls(self, now: float) -> Iterator[filters.Item]:
        """Yields a status call to each member."""
        for upstream in self._members:
            yield get_status(upstream, now)

    def resume_calls(self, now: float) -> Iterator[filters.Item]:
        """Yields a call to each member but the old primary to go on."""
        for upstream in sorted(self._members.keys() - {self._old_primary}):
            yield session_items.CallUpstream(
                now, upstream, sessions.Resume(), now + CALL_TIMEOUT_S
            )

    def is_for_other_database(self, item: filters.Item) -> bool:
        """Returns whether an upstream has replied that is no member."""
        is_reply = isinstance(item, session_items.UpstreamCallCompleted)
        return is_reply and item.upstream not in self._members

    def call_to_fence(self, upstream: str) -> sessions.UpstreamCall:
        """Returns the call that fences `upstream`.

        A former primary steps down first and is paused as a replica then.
        """
        if upstream in self._acting_primaries:
            return sessions.StepDown(self.term)
        return sessions.Pause(self.term)

    def record_reply(
        self, upstream: str, status: sessions.ReplicaStatus
    ) -> FenceResult:
        """Records a member's reply to its fence call."""
        if self.leads(upstream, status):
            return FenceResult.LEADS
        is_primary = status.role is sessions.ReplicaRole.PRIMARY
        if is_primary:
            self._acting_primaries.add(upstream)
        if is_primary and upstream != self._old_primary:
            return FenceResult.NOT_FENCED
        if not is_primary and upstream == self._old_primary:
            self.old_primary_stepped_down = True
        needs_pause = is_primary or upstream not in self.members_not_paused
        if not is_primary and needs_pause:
            self._acting_primaries.discard(upstream)
        if needs_pause and status.paused_term != self.term:
            highest = max(status.term, status.paused_term)
            return (
                FenceResult.HIGHER_TERM
                if highest >= self.term
                else FenceResult.NOT_FENCED
            )
        self.final_positions[upstream] = status.received
        return FenceResult.FENCED

    def leads(self, upstream: str, status: sessions.ReplicaStatus) -> bool:
        """Returns whether a member is already the new primary.

        A primary that was replaced earlier, and that has not learned of it,
        still reports itself as the primary, but of an earlier term.
        """
        if status.role is not sessions.ReplicaRole.PRIMARY:
            return False
        if upstream != self._old_primary:
            return status.term >= self._old_term
        is_certain = self._is_old_primary_certain
        return not is_certain and status.term > self._recorded_term

    def raise_term(self, status: sessions.ReplicaStatus) -> bool:
        """Restarts the fence with a term above those in `status`.

        Returns False if the term was raised more than `MAX_TERM_RAISES` times.
        """
        self.term = max(status.term, status.paused_term) + 1
        self.final_positions.clear()
        self._term_raises += 1
        return self._term_raises <= MAX_TERM_RAISES

    def is_complete(self) -> bool:
        """Returns whether enough members are fenced.

        The old primary is, once it is relied on.
        """
        if self._relies_on_old_primary and self.has_old_primary:
            return True
        fenced = self.final_positions.keys()
        if self._has_old_primary_lost_log:
            fenced = fenced - {self._old_primary}
        return len(fenced) >= self.required

    @property
    def required(self) -> int:
        """The number of members that must be fenced.

        This is all but one of those that may run. If the old primary is not
        known to be one of them, every other one must be fenced. An unknown old
        primary is one of the silent members, if there are any.

        Members that have left count as running until the old primary is fenced,
        as they may have acknowledged commits with it.
        """
        running = self._running
        if not self.has_old_primary:
            running = running | self._left
        is_silent = not self._old_primary and bool(self._silent)
        is_running = is_silent or self._old_primary in running
        allowed_missing = 1 if is_running else 0
        return max(len(running) - allowed_missing, self._min_required)

    @property
    def members_not_paused(self) -> frozenset[str]:
        """The members that need no pause once they have stepped down."""
        is_certain = self._is_old_primary_certain
        return frozenset({self._old_primary} if is_certain else ())

    @property
    def has_old_primary(self) -> bool:
        """Whether the old primary is fenced, and certainly was the last one."""
        is_fenced = self._old_primary in self.final_positions
        is_last = self._is_old_primary_certain
        return is_fenced and is_last and not self._has_old_primary_lost_log

    @property
    def _has_old_primary_lost_log(self) -> bool:
        """Whether the old primary started again with less than a replica."""
        position_of_old = self.final_positions.get(self._old_primary)
        if position_of_old is None or not self._has_old_primary_restarted:
            return False
        return position_of_old < max(self.final_positions.values())

    def rely_on_old_primary(self) -> None:
        """Keeps the old primary, and the members that have its whole log.

        The old primary by itself has every commit of its term.
        """
        self._relies_on_old_primary = True
        covering = self.final_positions[self._old_primary]
        self.final_positions = {
            upstream: final_position
            for upstream, final_position in self.final_positions.items()
            if final_position >= covering
        }

    def choose_candidate(self, preferred: Collection[str] = ()) -> str:
        """Returns the member to promote, one with every acknowledged commit.

        Chooses first the preferred ones, then those that are listed and not
        draining, then replicas over the old primary. A leaving old primary
        comes before leaving replicas.
        """
        covering = self._covering_position()
        candidates = [
            upstream
            for upstream, final_position in self.final_positions.items()
            if final_position >= covering
        ]
        return min(
            candidates,
            key=lambda upstream: (
                upstream not in preferred,
                self._members[upstream].draining
                or not self._members[upstream].listed,
                (upstream == self._old_primary) != self._is_leaving,
                upstream,
            ),
        )

    def _covering_position(self) -> position.Position:
        """Returns a position that covers all acknowledged commits.

        If all replicas are fenced, the highest of theirs does; what the old
        primary has beyond it was not acknowledged, unless by a former member.
        """
        replicas = (self._running | self._left) - {self._old_primary}
        are_all_fenced = replicas <= self.final_positions.keys()
        if not replicas or not are_all_fenced or not self._knows_all_members:
            return max(self.final_positions.values())
        return max(self.final_positions[upstream] for upstream in replicas)

    def is_candidate_draining(self) -> bool:
        """Returns whether the candidate is a replica that is draining."""
        candidate = self.choose_candidate()
        is_replica = candidate != self._old_primary
        return is_replica and self._members[candidate].draining


def fence_for(
    view: replica_sets.ReplicaSetView,
    old_primary: str,
    now: float,
    *,
    is_old_primary_certain: bool,
    recorded_term: int,
    is_leaving: bool = False,
) -> Fence:
    """Returns the fence to replace `old_primary`, with no member fenced yet."""
    return Fence(
        _entries(view),
        old_primary,
        view.term,
        view.silent,
        _min_required(view, now),
        left=view.left,
        is_old_primary_certain=is_old_primary_certain,
        recorded_term=recorded_term,
        is_leaving=is_leaving,
        knows_all_members=view.knows_all_members,
    )


def _entries(
    view: replica_sets.ReplicaSetView,
) -> dict[str, replica_sets.UpstreamEntry]:
    return {member.upstream: member.entry for member in view.members}


def _min_required(view: replica_sets.ReplicaSetView, now: float) -> int:
    """Returns the fewest members that must be fenced.

    A host that does not know all members, and has not watched the entries for
    long, may not know of a former one that still runs. Such a member may
    acknowledge commits with the primary, so that one fenced replica alone does
    not suffice.
    """
    watched_s = now - view.watched_since
    has_watched_long = watched_s > replica_sets.FORMER_MEMBER_TTL_S
    if view.knows_all_members or has_watched_long:
        return 1
    return replica_sets.COMMIT_MEMBERS
