"""Replays a trace of the takeover specification on the production code.

The members are stand-ins; the holders run real failover attempts, and the
reader uses the real rules for leases and confirmations. A step that they refuse
is skipped, as in a running system.
"""

from __future__ import annotations

from fescueshunt.core import leadership, replica_sets, sessions, store_items
from fescueshunt.replicas import primary_state
from fescueshunt.takeover import participants, promotion_calls
from fescueshunt_standins.hosted import replicas
from lib import replica_set_views
from lib.takeover_holder import DATABASE, Holder

READER = "reader"
READER_LEASE = 50
STEP_S = 0.001
FIRST_PRIMARY = "u0"
WRITES = ("first", "second")
# The methods that are not named after their step.
STEP_METHODS = {"promote": "_promote_now", "record": "_see_leader"}


def member_name(number: str | int) -> str:
    return f"u{number}"


class Group:
    """The members, the holders and the reader of one trace.

    Attributes:
      duty_token: The fencing token of the current holder.
      acked: The tags of the acknowledged writes.
      tokens: The fencing tokens of the promotions, in order.
      silent: The members that the holders have dropped; they still run.
      unreachable: The members that do not answer the holders.
      open_promotions: The calls for promotions that have not arrived.

    Args:
      holder_count: The number of holders, each with an attempt.
      by_status: Whether hosts rely on a primary by the status of two members.
    """

    def __init__(self, holder_count: int, *, by_status: bool = False) -> None:
        self.now = 10.0
        self.revision = 100
        self._stored_record: store_items.StoredKey | None = None
        self._has_acknowledged = False
        self._by_status = by_status
        self.duty_token = 1
        members = {
            member_name(n): replicas.Member(
                member_name(n),
                sessions.ReplicaRole.REPLICA
                if n
                else sessions.ReplicaRole.PRIMARY,
            )
            for n in range(3)
        }
        self.replicas = replicas.ReplicaSet(
            members, lambda one, other: False, lambda delay_s, call: None
        )
        self.unreachable: set[str] = set()
        self.open_promotions: list[store_items.CallPromotion] = []
        self.holders = [Holder(self, n) for n in range(holder_count)]
        self.holders[0].take_duty()
        self.hosts = participants.Participants()
        key = store_items.HOSTS_PREFIX + READER
        stored = store_items.StoredKey("z", 1, READER_LEASE)
        self.hosts.load(store_items.KeysListed(0.0, {key: stored}, 1))
        self.trusts_record = True
        self.confirmed_until = replica_sets.NEVER
        self.acked: set[str] = set()
        self.tokens: list[int] = []
        self.silent: frozenset[str] = frozenset()

    def run_step(self, label: str) -> None:
        """Runs the step with this label, as far as the real code allows it."""
        self.now += STEP_S
        verb, *rest = label.split()
        getattr(self, STEP_METHODS.get(verb, f"_{verb}"))(*rest)

    def view(self) -> replica_sets.ReplicaSetView:
        """Returns the replica set as a holder sees it when it starts."""
        entries = [
            replica_set_views.make_entry(member.name, member.role)
            for member in self.replicas.members.values()
            if member.name not in self.silent
        ]
        term = max(m.term for m in self.replicas.members.values())
        return replica_set_views.make_view(
            entries, FIRST_PRIMARY, now=self.now, term=term, silent=self.silent
        )

    def run_call(
        self, member: replicas.Member, call: sessions.UpstreamCall
    ) -> sessions.UpstreamReply:
        """Runs a call of a holder on a member and returns the reply."""
        match call:
            case sessions.Pause():
                self.replicas.pause(member, call.term)
            case sessions.StepDown():
                self.replicas.step_down(member, call.term)
            case sessions.Resume():
                member.paused_term = 0
        return sessions.UpstreamReply(
            (),
            "",
            None,
            "",
            sessions.TransactionState.IDLE,
            member.received_position(),
            member.status(),
        )

    def read_duty_key(self, read: store_items.ReadKey) -> store_items.KeyRead:
        """Returns the answer to a read of the duty key."""
        stored = store_items.StoredKey(
            f"h{self.duty_token}", self.duty_token, 1
        )
        return store_items.KeyRead(self.now, read.key, read.at, True, stored)

    def write_record(
        self, write: store_items.WriteKey
    ) -> store_items.KeyWritten:
        """Writes the record if the writer still holds the duty."""
        expected = self._stored_record.revision if self._stored_record else 0
        guard = write.guard
        is_held = guard is None or guard.revision == self.duty_token
        if not is_held or write.expected != expected:
            return store_items.KeyWritten(self.now, write.key, False, 0, write)
        self.revision += 1
        self._stored_record = store_items.StoredKey(
            write.value, self.revision, 0
        )
        if self._has_acknowledged:
            self._store_acknowledgement()
        return store_items.KeyWritten(
            self.now, write.key, True, self.revision, write
        )

    def record(self) -> leadership.Record | None:
        """Returns the leadership record, or None if there is none yet."""
        if self._stored_record is None:
            return None
        return leadership.parse_record(self._stored_record)

    def deliver_promotions(self) -> None:
        """Carries out all calls for promotions that are under way."""
        while self.open_promotions:
            self._promote(self.open_promotions.pop(0))

    def _promote(self, call: store_items.CallPromotion) -> None:
        """Promotes a member unless it leads; all replicas learn of it."""
        self.tokens.append(call.token)
        target = self.replicas.members[call.upstream]
        highest_term = max(m.term for m in self.replicas.members.values())
        if target.is_primary and target.term == highest_term:
            return
        term = highest_term + 1
        for member in self.replicas.members.values():
            if member is target or not member.is_primary:
                member.term, member.paused_term = term, 0
        target.role = sessions.ReplicaRole.PRIMARY

    # Members.

    def _write(self, number: str) -> None:
        member = self.replicas.members[member_name(number)]
        if not member.is_primary:
            return
        tag = WRITES[member.term > 1]
        index = member.log[-1].index + 1 if member.log else 1
        member.log.append(replicas.LogEntry(member.term, index, tag))

    def _ack(self, number: str) -> None:
        member = self.replicas.members[member_name(number)]
        others = [
            other
            for other in self.replicas.members.values()
            if other is not member
        ]
        if not member.is_primary or not member.log:
            return
        if not self._is_relied_on(member):
            return
        tag = WRITES[member.term > 1]
        if any(tag == c.tag for other in others for c in other.log):
            self.acked.add(tag)

    def _is_relied_on(self, member: replicas.Member) -> bool:
        """Returns whether hosts acknowledge the writes of a primary."""
        if member.term == 1:
            return True
        record = self.record()
        if record is not None and not record.is_failing_over:
            return record.upstream == member.name
        return self._by_status and self._primary_by_status().primary == (
            member.name
        )

    def _replicate(self, leader: str, number: str) -> None:
        member = self.replicas.members[member_name(number)]
        primary = self.replicas.members[member_name(leader)]
        if (
            primary.is_primary
            and not member.is_primary
            and not member.paused_term
            and member.term <= primary.term
        ):
            member.term = primary.term
            member.log = list(primary.log)

    def _notice(self, number: str) -> None:
        member = self.replicas.members[member_name(number)]
        highest_term = max(m.term for m in self.replicas.members.values())
        if member.term < highest_term:
            member.role = sessions.ReplicaRole.REPLICA

    def _restart(self, number: str) -> None:
        self.replicas.members[member_name(number)].paused_term = 0

    def _drop(self, number: str) -> None:
        self.silent |= {member_name(number)}

    # Holders of the failover duty.

    def _next_holder(self) -> None:
        self.duty_token += 1
        self.holders[self.duty_token - 1].take_duty()

    def _elsewhere(self) -> None:
        self.tokens.append(self.duty_token)

    def _begin(self, number: str) -> None:
        self.holders[int(number)].begin()

    def _fence(self, number: str, member: str) -> None:
        self.holders[int(number)].fence(member_name(member))

    def _resume(self, number: str, member: str) -> None:
        pending_resumes = self.holders[int(number)].pending_resumes
        if member_name(member) in pending_resumes:
            pending_resumes.remove(member_name(member))
            self.replicas.members[member_name(member)].paused_term = 0

    def _call(self, number: str) -> None:
        """Lets a holder call, once the calls that have arrived are void to it.

        Time passes for that only if no other call is still under way.
        """
        holder = self.holders[int(number)]
        if holder.calls.has_calls(DATABASE) and not self.open_promotions:
            self.now += promotion_calls.CALL_LIFETIME_S
        holder.check()

    def _promote_now(self, number: str) -> None:
        self.holders[int(number)].check(arrives=True)

    def _see_leader(self, number: str, member: str) -> None:
        self.holders[int(number)].see_leader(member_name(member))

    def _give_up(self, number: str) -> None:
        self.holders[int(number)].give_up()

    # Calls for promotions.

    def _arrive(self, member: str, token: str) -> None:
        call = self._remove_call(member, token)
        if call is None:
            return
        assert self.now - call.at < promotion_calls.CALL_LIFETIME_S
        self._promote(call)

    def _void(self, member: str, token: str) -> None:
        """Drops a call, which is void once its lifetime has passed."""
        if self._remove_call(member, token) is not None:
            self.now += promotion_calls.CALL_LIFETIME_S

    def _remove_call(
        self, member: str, token: str
    ) -> store_items.CallPromotion | None:
        for call in self.open_promotions:
            if (call.upstream, call.token) == (member_name(member), int(token)):
                self.open_promotions.remove(call)
                return call
        return None

    # The reader.

    def _acknowledge(self) -> None:
        self.trusts_record = False
        self._has_acknowledged = True
        self._store_acknowledgement()

    def _store_acknowledgement(self) -> None:
        """Acknowledges the move that the record announces, if there is one."""
        record = self.record()
        announcement = record.announcement or record.revision
        stored = store_items.StoredKey(str(announcement), self.revision, 1)
        key = leadership.ack_key(DATABASE, READER)
        self.hosts.apply_change(
            store_items.KeyChanged(self.now, key, stored, self.revision)
        )

    def _lapse(self) -> None:
        """Ends the reader's lease, and only then removes its key."""
        self.trusts_record = False
        key = store_items.HOSTS_PREFIX + READER
        self.hosts.apply_change(
            store_items.KeyChanged(self.now, key, None, self.revision)
        )

    def _confirm(self) -> None:
        confirmed_lead = self._primary_by_status()
        if confirmed_lead.primary == FIRST_PRIMARY:
            self.confirmed_until = confirmed_lead.confirmed_until

    def _primary_by_status(self) -> primary_state.PrimaryState:
        tracked = [
            primary_state.TrackedMember(
                replica_set_views.make_entry(member.name, member.role),
                member.status(),
                self.now,
            )
            for member in self.replicas.members.values()
        ]
        return primary_state.from_status(tracked)

    def _expire(self) -> None:
        self.confirmed_until = replica_sets.NEVER

    # Properties.

    def find_violations(self) -> list[str]:
        """Returns every property that fails in the current state."""
        members = self.replicas.members.values()
        highest_term = max(member.term for member in members)
        violations = []
        for member in members:
            if member.is_primary and member.term == highest_term:
                written_tags = {commit.tag for commit in member.log}
                violations += [
                    f"lost {tag}" for tag in self.acked - written_tags
                ]
        if self.tokens != sorted(self.tokens):
            violations.append(f"tokens went back: {self.tokens}")
        may_read = self.trusts_record or self.now < self.confirmed_until
        written_tags = {c.tag for c in self.replicas.members[FIRST_PRIMARY].log}
        if may_read and WRITES[1] in self.acked - written_tags:
            violations.append("stale read at the first primary")
        return violations
