"""Tests that attempts for several databases do not disturb each other."""

from __future__ import annotations

from fescueshunt.core import (
    filters,
    position,
    replica_sets,
    session_items,
    sessions,
    store_items,
)
from fescueshunt.takeover import (
    attempt,
    cause,
    participants,
    promotion,
    promotion_calls,
    promotion_check,
)
from lib import hosted_routes, replica_set_views

DATABASE = hosted_routes.DATABASE
MEMBERS = ("u0", "u1", "u2")
OTHER_MEMBERS = ("v1", "v2")
TOKEN = 7
FENCE_TERM = 2
WAIT_S = 1.0
SLOW_CHECKS = 5


def _view(*joined: str) -> replica_sets.ReplicaSetView:
    names = (*MEMBERS, *joined)
    entries = [replica_set_views.make_entry(name) for name in names]
    return replica_set_views.make_view(entries, "u0", term=FENCE_TERM - 1)


class _Failover:
    """An attempt whose clock and replies the test controls."""

    def __init__(self) -> None:
        calls = promotion_calls.PromotionCalls()
        calls.take_duty(TOKEN)
        self.now = 10.0
        self.sent: list[filters.Item] = []
        self._duty = store_items.DutyView(0.0, TOKEN, 0.0, 1000.0)
        self._hosts = participants.Participants()
        self._hosts.load(store_items.KeysListed(0.0, {}, 1))
        self.attempt = attempt.Attempt(
            "h0",
            _view(),
            None,
            cause.Cause.FAILING,
            calls,
            TOKEN,
            self.now,
        )
        self.sent += self.attempt.begin(self.now)

    def feed(self, item: filters.Item) -> None:
        self.sent += self.attempt.handle(item, self._duty, self._hosts)

    def answer_write(self) -> None:
        write = self._last(store_items.WriteKey)
        self.feed(store_items.KeyWritten(self.now, write.key, True, 50, write))

    def answer_duty_read(self) -> None:
        read = self._last(store_items.ReadKey)
        stored = store_items.StoredKey("h0", TOKEN, 1)
        item = store_items.KeyRead(self.now, read.key, read.at, True, stored)
        self.feed(item)

    def reply(self, upstream: str, call: sessions.UpstreamCall) -> None:
        """Feeds a reply of a fenced member with the highest position so far."""
        received = position.Position(position.Term(1), 5)
        status = sessions.ReplicaStatus(
            sessions.ReplicaRole.REPLICA, 1, received, FENCE_TERM, 0.0, 0, 1
        )
        reply = sessions.UpstreamReply(
            (),
            "",
            None,
            "",
            sessions.TransactionState.IDLE,
            received,
            status,
        )
        item = session_items.UpstreamCallCompleted(
            self.now, upstream, call, self.now, reply
        )
        self.feed(item)

    def wait(self) -> None:
        self.now += WAIT_S
        self.feed(filters.Tick(self.now, 0.0))

    def has_called(self) -> bool:
        return any(
            isinstance(item, store_items.CallPromotion) for item in self.sent
        )

    def _last(self, kind: type[filters.Item]) -> filters.Item:
        return [item for item in self.sent if isinstance(item, kind)][-1]


def _check_fences() -> _Failover:
    failover = _Failover()
    failover.answer_write()
    for name in MEMBERS[1:]:
        failover.reply(name, sessions.Pause(FENCE_TERM))
    failover.wait()
    return failover


def _confirm_duty_and_fences(
    failover: _Failover, members: tuple[str, ...]
) -> None:
    failover.answer_duty_read()
    for name in members:
        failover.reply(name, sessions.GetStatus())
    failover.answer_write()


# Guards against a promotion that relies on the fences of another database,
# which is being replaced at the same time and has the same term.
def test_members_of_another_database_confirm_no_fence():
    failover = _check_fences()
    _confirm_duty_and_fences(failover, OTHER_MEMBERS)
    assert not failover.has_called()


def test_own_members_confirm_their_fences():
    failover = _check_fences()
    _confirm_duty_and_fences(failover, MEMBERS[1:])
    assert failover.has_called()


# Guards against a failover that ends without a fence, though all members are
# fenced, as the store was too slow to confirm the duty three times.
def test_complete_fence_is_not_given_up_when_the_duty_is_confirmed_late():
    failover = _check_fences()
    for _ in range(SLOW_CHECKS):
        for name in MEMBERS[1:]:
            failover.reply(name, sessions.GetStatus())
        failover.wait()
    assert failover.attempt.outcome == ""
    failover.wait()
    _confirm_duty_and_fences(failover, MEMBERS[1:])
    assert failover.has_called()


# Failure: a call is sent long after the duty was confirmed by its record, as
# the store was slow to answer; another holder may have sent one since.
def test_call_is_not_sent_if_the_answer_to_its_record_is_late():
    failover = _check_fences()
    failover.answer_duty_read()
    for name in MEMBERS[1:]:
        failover.reply(name, sessions.GetStatus())
    failover.now += promotion_check.DUTY_VALID_S + 0.1
    failover.answer_write()
    assert not failover.has_called()


# Failure: a call that waits for a connection is sent long after it was due.
def test_call_may_be_sent_only_soon_after_its_record():
    failover = _check_fences()
    _confirm_duty_and_fences(failover, MEMBERS[1:])
    call = failover.sent[-1]
    assert call.send_before <= failover.now + promotion.CALL_VALID_S


# Failure: the answer to a call is lost, the old primary no longer counts as
# fenced, and the next call goes out with one fence of two.
def test_call_is_not_repeated_with_an_incomplete_fence():
    failover = _Failover()
    failover.answer_write()
    failover.reply("u0", sessions.StepDown(FENCE_TERM))
    failover.reply("u2", sessions.Pause(FENCE_TERM))
    failover.wait()
    _confirm_duty_and_fences(failover, ("u0", "u2"))
    call = failover.sent[-1]
    assert isinstance(call, store_items.CallPromotion)
    sent_before = len(failover.sent)
    failover.feed(
        store_items.PromotionCompleted(
            failover.now, call.database, call.upstream, None, "lost"
        )
    )
    failover.wait()
    _confirm_duty_and_fences(failover, ("u2",))
    later = failover.sent[sent_before:]
    assert not any(isinstance(i, store_items.CallPromotion) for i in later)
    pauses = [i for i in later if isinstance(i, session_items.CallUpstream)]
    assert "u0" in {i.upstream for i in pauses}


# Failure: a replica that joined after the fence was complete could go on
# acknowledging commits with the old primary, and was not fenced.
def test_replica_that_joins_is_fenced_before_the_promotion():
    failover = _check_fences()
    failover.feed(_view("u3"))
    pause = failover.sent[-1]
    assert isinstance(pause, session_items.CallUpstream)
    assert (pause.upstream, pause.call) == ("u3", sessions.Pause(FENCE_TERM))
    _confirm_duty_and_fences(failover, MEMBERS[1:])
    assert not failover.has_called()
    failover.reply("u3", sessions.Pause(FENCE_TERM))
    failover.wait()
    _confirm_duty_and_fences(failover, (*MEMBERS[1:], "u3"))
    assert failover.has_called()


# Failure: the promotion was called too soon for a host without a lease, which
# the replica that joined had confirmed the old primary to.
def test_promotion_waits_after_the_fence_of_a_replica_that_joins():
    failover = _check_fences()
    failover.feed(_view("u3"))
    failover.reply("u3", sessions.Pause(FENCE_TERM))
    failover.now += replica_sets.CONFIRMATION_TTL_S
    failover.feed(filters.Tick(failover.now, 0.0))
    _confirm_duty_and_fences(failover, (*MEMBERS[1:], "u3"))
    assert not failover.has_called()


# Failure: a fenced replica that started again counted as fenced.
def test_replica_that_starts_again_is_fenced_again():
    failover = _check_fences()
    entries = [
        replica_set_views.make_entry(name, started_ms=int(name == "u1"))
        for name in MEMBERS
    ]
    view = replica_set_views.make_view(entries, "u0", term=FENCE_TERM - 1)
    failover.feed(view)
    assert failover.sent[-1].upstream == "u1"
    _confirm_duty_and_fences(failover, ("u2",))
    assert not failover.has_called()


# Guards against a failover that goes on for ever: an old primary that is relied
# on, as no replica answers, was not enough when the members were seen again.
def test_old_primary_that_is_relied_on_stays_a_whole_fence():
    failover = _Failover()
    failover.answer_write()
    failover.reply("u0", sessions.StepDown(FENCE_TERM))
    failover.now += attempt.FENCE_TIMEOUT_S
    failover.wait()
    failover.feed(_view())
    failover.wait()
    _confirm_duty_and_fences(failover, ("u0",))
    assert failover.has_called()
