"""Replays a trace of the takeover's specification against the real decisions.

Members are the stand-ins, holders the real attempts, the reader the real host's
lease and confirmation. A step that they refuse is left out, as it would be in a
running system.
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
from fescueshunt.takeover import attempt, cause, items, participants
from fescueshunt_standins.hosted import replicas

DATABASE = "db"
READER = "reader"
READER_LEASE = 50
STEP_S = 0.001
WAIT_S = 1.0
DUTY_S = 60.0
FIRST = "u0"
WRITES = ("first", "second")


def name_of(number: str | int) -> str:
    return f"u{number}"


class Holder:
    """A host with the duty and its attempt."""

    def __init__(self, world: Group, number: int) -> None:
        self._world = world
        self.token = number + 1
        self.duty = items.DutyView(0.0, self.token, 0.0, DUTY_S)
        self.attempt: attempt.Attempt | None = None
        self.calls: dict[str, session_items.CallUpstream] = {}
        self.resumes: dict[str, session_items.CallUpstream] = {}
        self.reads: list[store_items.ReadKey] = []

    def begin(self) -> None:
        world = self._world
        view = world.view()
        self.attempt = attempt.Attempt(
            f"h{self.token}", view, None, cause.Cause.FAILING, world.now
        )
        self._take(self.attempt.begin(world.now))
        world.revision += 1
        world.moving = world.revision
        self._feed(
            store_items.KeyWritten(
                world.now,
                leadership.record_key(DATABASE),
                True,
                world.revision,
            )
        )

    def deliver(self, upstream: str) -> None:
        """Carries out the call to a member that is under way."""
        call = self.calls.pop(upstream, None)
        if call is not None:
            self._answer(call)

    def promote(self) -> None:
        """Lets time pass, and confirms what the attempt asks for."""
        for _ in range(4):
            self._world.now += WAIT_S / 4
            self._feed(filters.Tick(self._world.now, 0.0))
            for read in self.reads[:]:
                self.reads.remove(read)
                self._feed(self._world.duty_key(read))
            for upstream, call in list(self.calls.items()):
                if isinstance(call.call, sessions.GetStatus):
                    del self.calls[upstream]
                    self._answer(call)

    def _answer(self, call: session_items.CallUpstream) -> None:
        member = self._world.replicas.members[call.upstream]
        reply = self._world.carry_out(member, call.call)
        self._feed(
            session_items.UpstreamCallCompleted(
                self._world.now, call.upstream, call.call, call.at, reply
            )
        )

    def _feed(self, item: filters.Item) -> None:
        if self.attempt is None or self.attempt.outcome:
            return
        hosts = self._world.hosts
        self._take(self.attempt.handle(item, self.duty, hosts))

    def _take(self, effects: object) -> None:
        for effect in list(effects):
            match effect:
                case session_items.CallUpstream(call=sessions.Resume()):
                    self.resumes[effect.upstream] = effect
                case session_items.CallUpstream():
                    self.calls[effect.upstream] = effect
                case store_items.ReadKey():
                    self.reads.append(effect)
                case store_items.CallPromotion():
                    self._world.promote(effect)


class Group:
    """The members, the holders and the reader of one trace."""

    def __init__(self, attempts: int) -> None:
        self.now = 10.0
        self.revision = 100
        self.moving = 0
        self.duty = 1
        members = {
            name_of(n): replicas.Member(
                name_of(n),
                sessions.ReplicaRole.REPLICA
                if n
                else sessions.ReplicaRole.PRIMARY,
            )
            for n in range(3)
        }
        self.replicas = replicas.ReplicaSet(
            members, lambda one, other: False, lambda delay_s, call: None
        )
        self.holders = [Holder(self, n) for n in range(attempts)]
        self.hosts = participants.Participants()
        key = store_items.HOSTS_PREFIX + READER
        stored = store_items.StoredKey("z", 1, READER_LEASE)
        self.hosts.list(store_items.KeysListed(0.0, {key: stored}, 1))
        self.believes = True
        self.confirmed_until = replica_sets.NEVER
        self.acked: set[str] = set()
        self.tokens: list[int] = []

    def play(self, label: str) -> None:
        """Carries out one step as far as the real parts allow it."""
        self.now += STEP_S
        verb, *rest = label.split()
        getattr(self, f"_{verb}")(*rest)

    def view(self) -> replica_sets.ReplicaSetView:
        """Returns the replica set as a holder sees it when it begins."""
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
        )
        term = max(m.term for m in self.replicas.members.values())
        return replica_sets.ReplicaSetView(
            self.now, DATABASE, members, FIRST, term, 0.0, False, ()
        )

    def carry_out(
        self, member: replicas.Member, call: sessions.UpstreamCall
    ) -> sessions.UpstreamReply:
        """Lets a member answer a call of a holder."""
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

    def duty_key(self, read: store_items.ReadKey) -> store_items.KeyRead:
        """Returns the answer to a read of the duty's key."""
        stored = store_items.StoredKey(f"h{self.duty}", self.duty, 1)
        return store_items.KeyRead(self.now, read.key, read.at, True, stored)

    def promote(self, call: store_items.CallPromotion) -> None:
        """Carries out a promotion at once, known to all replicas."""
        self.tokens.append(call.token)
        target = self.replicas.members[call.upstream]
        term = max(m.term for m in self.replicas.members.values()) + 1
        for member in self.replicas.members.values():
            if member is target or not member.is_primary:
                member.term, member.paused_term = term, 0
        target.role = sessions.ReplicaRole.PRIMARY

    # Members.

    def _write(self, number: str) -> None:
        member = self.replicas.members[name_of(number)]
        if not member.is_primary:
            return
        tag = WRITES[member.term > 1]
        index = member.log[-1].index + 1 if member.log else 1
        member.log.append(replicas.LogEntry(member.term, index, tag))

    def _ack(self, number: str) -> None:
        member = self.replicas.members[name_of(number)]
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
        member = self.replicas.members[name_of(number)]
        primary = self.replicas.members[name_of(leader)]
        if (
            primary.is_primary
            and not member.is_primary
            and not member.paused_term
            and member.term <= primary.term
        ):
            member.term = primary.term
            member.log = list(primary.log)

    def _notice(self, number: str) -> None:
        member = self.replicas.members[name_of(number)]
        newest = max(m.term for m in self.replicas.members.values())
        if member.term < newest:
            member.role = sessions.ReplicaRole.REPLICA

    def _restart(self, number: str) -> None:
        self.replicas.members[name_of(number)].paused_term = 0

    # Holders.

    def _next_holder(self) -> None:
        self.duty += 1

    def _elsewhere(self) -> None:
        self.tokens.append(self.duty)

    def _begin(self, number: str) -> None:
        self.holders[int(number)].begin()

    def _fence(self, number: str, member: str) -> None:
        self.holders[int(number)].deliver(name_of(member))

    def _resume(self, number: str, member: str) -> None:
        resumes = self.holders[int(number)].resumes
        if resumes.pop(name_of(member), None) is not None:
            self.replicas.members[name_of(member)].paused_term = 0

    def _promote(self, number: str) -> None:
        self.holders[int(number)].promote()

    # The reader.

    def _acknowledge(self) -> None:
        self.believes = False
        stored = store_items.StoredKey(str(self.moving), self.moving, 1)
        key = leadership.ack_key(DATABASE, READER)
        self.hosts.change(
            store_items.KeyChanged(self.now, key, stored, self.revision)
        )

    def _lapse(self) -> None:
        """The reader's lease ends; its key goes no sooner."""
        self.believes = False
        key = store_items.HOSTS_PREFIX + READER
        self.hosts.change(
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
        found = primary_state.from_status(tracked)
        if found.primary == FIRST:
            self.confirmed_until = found.confirmed_until

    def _expire(self) -> None:
        self.confirmed_until = replica_sets.NEVER

    # What must hold.

    def faults(self) -> list[str]:
        """Returns every rule that is broken now."""
        members = self.replicas.members.values()
        newest = max(member.term for member in members)
        found = []
        for member in members:
            if member.is_primary and member.term == newest:
                tags = {commit.tag for commit in member.log}
                found += [f"lost {tag}" for tag in self.acked - tags]
        if self.tokens != sorted(self.tokens):
            found.append(f"tokens went back: {self.tokens}")
        reads = self.believes or self.now < self.confirmed_until
        tags = {c.tag for c in self.replicas.members[FIRST].log}
        if reads and WRITES[1] in self.acked - tags:
            found.append("stale read at the first primary")
        return found
