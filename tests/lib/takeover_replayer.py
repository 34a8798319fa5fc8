"""Replays a trace of the takeover specification on the production code.

The members are stand-ins; the holders run real failover attempts, and the
reader uses the real rules for leases and confirmations. A step that they refuse
is skipped, as in a running system.
"""

from __future__ import annotations

from fescueshunt.core import (
    filters,
    leadership,
    replica_sets,
    session_items,
    sessions,
    store_items,
)
from fescueshunt.replicas import primary_state
from fescueshunt.takeover import (
    attempt,
    cause,
    items,
    participants,
    promotion_calls,
)
from fescueshunt_standins.hosted import replicas

DATABASE = "db"
READER = "reader"
READER_LEASE = 50
STEP_S = 0.001
PROMOTION_WAIT_S = 1.0
DUTY_LEASE_S = 60.0
FIRST_PRIMARY = "u0"
WRITES = ("first", "second")


def member_name(number: str | int) -> str:
    return f"u{number}"


class Holder:
    """A host that holds the failover duty, with its attempt."""

    def __init__(self, group: Group, number: int) -> None:
        self._group = group
        self.token = number + 1
        self.duty = items.DutyView(0.0, self.token, 0.0, DUTY_LEASE_S)
        self.attempt: attempt.Attempt | None = None
        self.pending_calls: dict[str, session_items.CallUpstream] = {}
        self.pending_resumes: dict[str, session_items.CallUpstream] = {}
        self.pending_reads: list[store_items.ReadKey] = []
        self.pending_write: store_items.WriteKey | None = None
        self.calls = promotion_calls.PromotionCalls()
        self.calls.take_duty(self.token)

    def begin(self) -> None:
        group = self._group
        view = group.view()
        self.attempt = attempt.Attempt(
            f"h{self.token}",
            view,
            None,
            cause.Cause.FAILING,
            self.calls,
            self.token,
            group.now,
        )
        self._collect_effects(self.attempt.begin(group.now))
        self.write_record()
        group.announced_revision = group.revision

    def write_record(self) -> None:
        """Answers the write of the record in flight."""
        write, self.pending_write = self.pending_write, None
        if write is not None:
            self._feed(self._group.write_record(write))

    def deliver(self, upstream: str) -> None:
        """Delivers the call in flight to a member, if there is one."""
        call = self.pending_calls.pop(upstream, None)
        if call is not None:
            self._answer(call)

    def promote(self) -> None:
        """Advances the clock and answers the checks of the attempt."""
        for _ in range(4):
            self._group.now += PROMOTION_WAIT_S / 4
            self._feed(filters.Tick(self._group.now, 0.0))
            for read in self.pending_reads[:]:
                self.pending_reads.remove(read)
                self._feed(self._group.read_duty_key(read))
            for upstream, call in list(self.pending_calls.items()):
                if isinstance(call.call, sessions.GetStatus):
                    del self.pending_calls[upstream]
                    self._answer(call)
            self.write_record()

    def _answer(self, call: session_items.CallUpstream) -> None:
        member = self._group.replicas.members[call.upstream]
        reply = self._group.run_call(member, call.call)
        self._feed(
            session_items.UpstreamCallCompleted(
                self._group.now, call.upstream, call.call, call.at, reply
            )
        )

    def _feed(self, item: filters.Item) -> None:
        if self.attempt is None or self.attempt.outcome:
            return
        hosts = self._group.hosts
        self._collect_effects(self.attempt.handle(item, self.duty, hosts))

    def _collect_effects(self, effects: object) -> None:
        for effect in list(effects):
            match effect:
                case session_items.CallUpstream(call=sessions.Resume()):
                    self.pending_resumes[effect.upstream] = effect
                case session_items.CallUpstream():
                    self.pending_calls[effect.upstream] = effect
                case store_items.ReadKey():
                    self.pending_reads.append(effect)
                case store_items.WriteKey():
                    self.pending_write = effect
                case store_items.CallPromotion():
                    self._group.promote(effect)


class Group:
    """The members, the holders and the reader of one trace.

    Attributes:
      announced_revision: The revision of the record that announces a primary
        change, 0 if there is none.
      duty_token: The fencing token of the current holder.
      acked: The tags of the acknowledged writes.
      tokens: The fencing tokens of the promotions, in order.
      silent: The members that the holders have dropped; they still run.
    """

    def __init__(self, holder_count: int) -> None:
        self.now = 10.0
        self.revision = 100
        self.announced_revision = 0
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
        self.holders = [Holder(self, n) for n in range(holder_count)]
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
        getattr(self, f"_{verb}")(*rest)

    def view(self) -> replica_sets.ReplicaSetView:
        """Returns the replica set as a holder sees it when it starts."""
        members = tuple(
            replica_sets.MemberView(
                replica_sets.UpstreamEntry(
                    member.name,
                    DATABASE,
                    "127.0.0.1:1",
                    "z",
                    2,
                    False,
                    member.role,
                ),
                None,
                replica_sets.NEVER,
                None,
            )
            for member in self.replicas.members.values()
            if member.name not in self.silent
        )
        term = max(m.term for m in self.replicas.members.values())
        return replica_sets.ReplicaSetView(
            self.now,
            DATABASE,
            members,
            FIRST_PRIMARY,
            term,
            0.0,
            False,
            (),
            self.silent,
            replica_sets.NEVER,
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
        is_held = write.guard.revision == self.duty_token
        self.revision += is_held
        revision = self.revision if is_held else 0
        return store_items.KeyWritten(
            self.now, write.key, is_held, revision, write
        )

    def promote(self, call: store_items.CallPromotion) -> None:
        """Promotes a member immediately; all replicas learn of it."""
        self.tokens.append(call.token)
        target = self.replicas.members[call.upstream]
        term = max(m.term for m in self.replicas.members.values()) + 1
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
        tag = WRITES[member.term > 1]
        if any(tag == c.tag for other in others for c in other.log):
            self.acked.add(tag)

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

    def _elsewhere(self) -> None:
        self.tokens.append(self.duty_token)

    def _begin(self, number: str) -> None:
        self.holders[int(number)].begin()

    def _fence(self, number: str, member: str) -> None:
        self.holders[int(number)].deliver(member_name(member))

    def _resume(self, number: str, member: str) -> None:
        pending_resumes = self.holders[int(number)].pending_resumes
        if pending_resumes.pop(member_name(member), None) is not None:
            self.replicas.members[member_name(member)].paused_term = 0

    def _promote(self, number: str) -> None:
        self.holders[int(number)].promote()

    # The reader.

    def _acknowledge(self) -> None:
        self.trusts_record = False
        stored = store_items.StoredKey(
            str(self.announced_revision), self.announced_revision, 1
        )
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
        tracked = [
            primary_state.TrackedMember(
                replica_sets.UpstreamEntry(
                    member.name, DATABASE, "", "z", 2, False, member.role
                ),
                member.status(),
                self.now,
            )
            for member in self.replicas.members.values()
        ]
        confirmed_lead = primary_state.from_status(tracked)
        if confirmed_lead.primary == FIRST_PRIMARY:
            self.confirmed_until = confirmed_lead.confirmed_until

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
