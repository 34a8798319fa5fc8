"""Which members a failover counts as fenced, and which as the new primary."""

from __future__ import annotations

import pytest

from fescueshunt.core import position, replica_sets, sessions
from fescueshunt.takeover import fence

MEMBERS = {
    name: replica_sets.UpstreamEntry(
        name,
        "db",
        f"127.0.0.1:{port}",
        "z",
        2,
        False,
        sessions.ReplicaRole.REPLICA,
    )
    for port, name in enumerate(("former", "current", "replica"), start=1)
}
GONE, LOST = (replica_sets.Incarnation(name, 1) for name in ("gone", "lost"))
OLD_TERM = 2
NEW_TERM = 3
PRIMARY = sessions.ReplicaRole.PRIMARY
REPLICA = sessions.ReplicaRole.REPLICA


def _status(
    role: sessions.ReplicaRole, term: int, paused_term: int = 0
) -> sessions.ReplicaStatus:
    received = position.Position(position.Term(term), 7)
    return sessions.ReplicaStatus(role, term, received, paused_term, 0.0, 0, 1)


# A primary that was replaced behind a cut, and still called itself the primary,
# was recorded as the new one; reads there missed acknowledged commits.
def test_former_primary_is_not_taken_for_the_new_one():
    attempt_fence = fence.Fence(MEMBERS, "current", OLD_TERM)
    result = attempt_fence.record_reply("former", _status(PRIMARY, 1))
    assert result is fence.FenceResult.NOT_FENCED
    assert "former" not in attempt_fence.final_positions


def test_former_primary_steps_down_before_it_is_paused():
    attempt_fence = fence.Fence(MEMBERS, "current", OLD_TERM)
    attempt_fence.record_reply("former", _status(PRIMARY, 1))
    assert attempt_fence.call_to_fence("former") == sessions.StepDown(NEW_TERM)
    result = attempt_fence.record_reply("former", _status(REPLICA, 1))
    assert result is fence.FenceResult.NOT_FENCED
    assert attempt_fence.call_to_fence("former") == sessions.Pause(NEW_TERM)
    paused = _status(REPLICA, 1, paused_term=NEW_TERM)
    result = attempt_fence.record_reply("former", paused)
    assert result is fence.FenceResult.FENCED
    assert not attempt_fence.old_primary_stepped_down


# Guards against an outage: before the first failover of a set, no record names
# the primary, and a crashed one is known only as a silent member.
def test_unknown_old_primary_is_taken_for_the_silent_member():
    members = {name: MEMBERS[name] for name in ("current", "replica")}
    assert fence.Fence(members, "", OLD_TERM, {"former"}, 2).required == 2
    assert fence.Fence(members, "", OLD_TERM, (), 1).required == 2


def _fence_all(attempt_fence: fence.Fence, *upstreams: str) -> None:
    for upstream in upstreams:
        paused = _status(REPLICA, OLD_TERM, paused_term=attempt_fence.term)
        attempt_fence.record_reply(upstream, paused)


# Guards against lost commits: a silent member may hold commits that the only
# member fenced lacks.
def test_silent_member_counts_as_one_that_is_not_fenced():
    members = {name: MEMBERS[name] for name in ("current", "replica")}
    attempt_fence = fence.Fence(members, "current", OLD_TERM, {"former"})
    _fence_all(attempt_fence, "replica")
    assert not attempt_fence.is_complete()
    stepped_down = _status(REPLICA, OLD_TERM)
    attempt_fence.record_reply("current", stepped_down)
    assert attempt_fence.is_complete()


def test_silent_old_primary_is_the_one_that_may_be_missing():
    members = {name: MEMBERS[name] for name in ("former", "replica")}
    attempt_fence = fence.Fence(members, "current", OLD_TERM, {"current"})
    _fence_all(attempt_fence, "former")
    assert not attempt_fence.is_complete()
    _fence_all(attempt_fence, "replica")
    assert attempt_fence.is_complete()


# Guards against lost commits: a host that started while an entry was missing
# does not know of the member that holds commits with the primary.
@pytest.mark.parametrize(
    ("watched_s", "knows_all_members", "required"),
    [
        (1.0, False, 2),
        (replica_sets.FORMER_MEMBER_TTL_S + 1.0, False, 1),
        (1.0, True, 1),
    ],
)
def test_one_replica_suffices_only_if_no_former_member_can_run(
    watched_s, knows_all_members, required
):
    now = 100.0
    unknown = replica_sets.unknown_members(now - watched_s)
    members = tuple(
        replica_sets.MemberView(MEMBERS[name], None, now, None)
        for name in ("current", "replica")
    )
    view = replica_sets.ReplicaSetView(
        now,
        "db",
        members,
        "current",
        OLD_TERM,
        now,
        False,
        (),
        () if knows_all_members else (unknown,),
        now - watched_s,
    )
    attempt_fence = fence.fence_for(
        view,
        "current",
        now,
        is_old_primary_certain=True,
        recorded_term=OLD_TERM,
    )
    assert attempt_fence.required == required


def test_primary_of_a_newer_term_is_the_new_one():
    attempt_fence = fence.Fence(MEMBERS, "current", OLD_TERM)
    result = attempt_fence.record_reply("replica", _status(PRIMARY, NEW_TERM))
    assert result is fence.FenceResult.LEADS


# A recorded primary that is a replica of a later, unrecorded one counted as
# fenced, and could acknowledge commits with that one until the promotion.
def test_old_primary_is_paused_if_a_later_one_may_have_been_promoted():
    attempt_fence = fence.Fence(
        MEMBERS,
        "current",
        OLD_TERM,
        is_old_primary_certain=False,
        recorded_term=OLD_TERM,
    )
    assert attempt_fence.call_to_fence("current") == sessions.Pause(NEW_TERM)
    attempt_fence.record_reply("current", _status(PRIMARY, OLD_TERM))
    assert attempt_fence.call_to_fence("current") == sessions.StepDown(NEW_TERM)
    result = attempt_fence.record_reply("current", _status(REPLICA, OLD_TERM))
    assert result is fence.FenceResult.NOT_FENCED
    assert attempt_fence.call_to_fence("current") == sessions.Pause(NEW_TERM)
    paused = _status(REPLICA, OLD_TERM, NEW_TERM)
    result = attempt_fence.record_reply("current", paused)
    assert result is fence.FenceResult.FENCED
    assert not attempt_fence.has_old_primary
    assert not attempt_fence.members_not_paused


def test_old_primary_that_was_promoted_once_more_is_the_new_one():
    attempt_fence = fence.Fence(
        MEMBERS,
        "current",
        NEW_TERM,
        is_old_primary_certain=False,
        recorded_term=OLD_TERM,
    )
    result = attempt_fence.record_reply("current", _status(PRIMARY, NEW_TERM))
    assert result is fence.FenceResult.LEADS


def test_candidate_that_was_called_for_is_preferred_only_among_the_newest():
    attempt_fence = fence.Fence(MEMBERS, "current", OLD_TERM)
    newer = position.Position(position.Term(OLD_TERM), 9)
    older = position.Position(position.Term(OLD_TERM), 8)
    attempt_fence.final_positions = {"former": newer, "replica": newer}
    assert attempt_fence.choose_candidate({"replica"}) == "replica"
    attempt_fence.final_positions["replica"] = older
    assert attempt_fence.choose_candidate({"replica"}) == "former"


# A leaving primary was promoted again, and was without service once more, as it
# had a commit in flight when it stepped down.
def test_old_primary_is_not_chosen_if_all_replicas_are_fenced():
    attempt_fence = fence.Fence(MEMBERS, "current", OLD_TERM)
    ahead = position.Position(position.Term(OLD_TERM), 9)
    behind = position.Position(position.Term(OLD_TERM), 8)
    attempt_fence.final_positions = {"current": ahead, "replica": behind}
    assert attempt_fence.choose_candidate() == "current"
    attempt_fence.final_positions["former"] = behind
    assert attempt_fence.choose_candidate() == "former"
    assert attempt_fence.choose_candidate({"current"}) == "current"
    attempt_fence.final_positions["replica"] = ahead
    assert attempt_fence.choose_candidate() == "replica"


# Failure: members that had left as planned made a fence wait in vain, and the
# leaving primary was promoted again.
def test_member_that_has_left_counts_until_the_old_primary_is_fenced():
    attempt_fence = fence.Fence(MEMBERS, "current", OLD_TERM, left={GONE})
    _fence_all(attempt_fence, "former", "replica")
    assert not attempt_fence.is_complete()
    attempt_fence.record_reply("current", _status(REPLICA, OLD_TERM))
    assert attempt_fence.is_complete()


def test_member_that_has_left_counts_if_the_old_primary_is_not_certain():
    attempt_fence = fence.Fence(
        MEMBERS,
        "current",
        OLD_TERM,
        left={GONE, LOST},
        is_old_primary_certain=False,
    )
    _fence_all(attempt_fence, "former", "replica", "current")
    assert not attempt_fence.is_complete()


# Guards against lost commits: a member that has left may have acknowledged what
# only the old primary has.
def test_replica_behind_the_old_primary_is_not_chosen_if_a_member_has_left():
    attempt_fence = fence.Fence(MEMBERS, "current", OLD_TERM, left={GONE})
    ahead = position.Position(position.Term(OLD_TERM), 9)
    behind = position.Position(position.Term(OLD_TERM), 8)
    attempt_fence.final_positions = {
        "current": ahead,
        "replica": behind,
        "former": behind,
    }
    assert attempt_fence.choose_candidate() == "current"
    attempt_fence.final_positions["former"] = ahead
    assert attempt_fence.choose_candidate() == "former"


# Failure: a leaving primary was promoted again though a replica had its log.
def test_replica_with_the_whole_log_of_the_old_primary_stays_a_candidate():
    attempt_fence = fence.Fence(MEMBERS, "current", OLD_TERM, {"silent"})
    ahead = position.Position(position.Term(OLD_TERM), 9)
    behind = position.Position(position.Term(OLD_TERM), 8)
    attempt_fence.final_positions = {
        "current": ahead,
        "former": behind,
        "replica": ahead,
    }
    attempt_fence.rely_on_old_primary()
    assert attempt_fence.final_positions.keys() == {"current", "replica"}
    assert attempt_fence.choose_candidate() == "replica"
