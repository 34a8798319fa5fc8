"""Real cores of three proxies under two faults at once; histories checked."""

import os

from hypothesis import Phase, settings, stateful
from hypothesis import strategies as st

from fescueshunt import errors
from fescueshunt.core import request, upstream
from lib import world

RUNS = int(os.environ.get("SOAK_RUNS", "0"))
PROXIES = ("proxy-0", "proxy-1", "proxy-2")
UPSTREAMS = ("db-0", "db-1", "db-2")
HEAL_S = 12.0
CALLER_S = 3.0


class Histories(stateful.RuleBasedStateMachine):
    """Writes through failing proxies and upstreams, two faults at once.

    The checker knows only what callers were told and the final table.
    """

    runs = 0
    faults = 0

    @stateful.initialize(seed=st.integers(0, 2**32))
    def start(self, seed: int) -> None:
        self.world = world.World(seed, proxies=3)
        self.world.run(3.0)
        self.sent: dict[str, tuple[str, int, int]] = {}

    @stateful.rule(proxy=st.sampled_from(PROXIES), count=st.integers(1, 4))
    def write(self, proxy: str, count: int) -> None:
        for _ in range(count):
            tag = f"t{len(self.sent)}"
            req = request.Request(
                self.world.new_id(),
                "pay",
                "db",
                request.Kind.WRITE,
                (request.Statement("INSERT INTO hit VALUES (?)", (tag,)),),
                timeout_s=CALLER_S,
            )
            seq = self.world.send(proxy, 1, req)
            self.sent[tag] = (proxy, 1, seq)

    @stateful.rule(seconds=st.sampled_from((0.003, 0.01, 0.1, 0.7, 2.0)))
    def wait(self, seconds: float) -> None:
        self.world.run(seconds)

    @stateful.precondition(lambda self: all(self._alive()))
    @stateful.rule(name=st.sampled_from(UPSTREAMS))
    def stop_upstream(self, name: str) -> None:
        Histories.faults += 1
        self.world.upstreams[name].alive = False

    @stateful.precondition(lambda self: all(self._alive()))
    @stateful.rule(proxy=st.sampled_from(PROXIES))
    def strand_primary(self, proxy: str) -> None:
        """The replicas go silent, then the primary while they come back."""
        Histories.faults += 2
        fakes = self.world.upstreams.values()
        primary = max(
            (f for f in fakes if f.engine.role is upstream.Role.PRIMARY),
            key=lambda f: f.engine.term,
            default=None,
        )
        if primary is None:
            return
        for fake in fakes:
            fake.alive = fake is primary
        self.write(proxy, 2)
        self.world.run(0.3)
        for fake in fakes:
            fake.alive = fake is not primary
        self.world.run(3.0)

    @stateful.rule()
    def resume_upstreams(self) -> None:
        for fake in self.world.upstreams.values():
            fake.alive = True

    @stateful.rule(name=st.sampled_from(PROXIES))
    def restart_proxy(self, name: str) -> None:
        Histories.faults += 1
        self.world.kill(name)
        self.world.start(name)

    @stateful.rule(
        lost=st.sampled_from((0.0, 0.1, 0.3)),
        late=st.sampled_from((0.0, 0.3)),
        doubled=st.sampled_from((0.0, 0.1)),
    )
    def disturb(self, lost: float, late: float, doubled: float) -> None:
        Histories.faults += 1
        self.world.faults = world.Faults(lost, doubled, late)

    @stateful.rule()
    def calm(self) -> None:
        self.world.faults = world.Faults()

    @stateful.rule(name=st.sampled_from(UPSTREAMS), number=st.integers(2, 9))
    def duel(self, name: str, number: int) -> None:
        """A proposer from before fences one upstream and dies."""
        Histories.faults += 1
        fake = self.world.upstreams[name]
        above = fake.engine.promised.number + number % 3
        call = upstream.Fence(type(fake.engine.promised)(above, "old"))
        fake.control(call, self.world.now, lambda _: None)

    def _alive(self) -> list[bool]:
        return [fake.alive for fake in self.world.upstreams.values()]

    def teardown(self) -> None:
        if not hasattr(self, "sent"):
            return
        Histories.runs += 1
        self.calm()
        self.resume_upstreams()
        self.world.run(HEAL_S)
        check(self.world, self.sent)


def check(played: world.World, sent: dict[str, tuple[str, int, int]]) -> None:
    """Compares what callers were told with the table of the last primary."""
    rows = played.rows()
    assert len(rows) == len(set(rows)), "ran twice"
    for tag, key in sent.items():
        answer = played.answers.get(key)
        if answer is None:
            continue
        if answer.outcome is errors.Outcome.DONE:
            assert tag in rows, f"lost {tag}"
        if answer.outcome is errors.Outcome.NOT_RUN:
            assert tag not in rows, f"ran {tag}"


class TestHistories(Histories.TestCase):
    """Runs the histories, the same ones each time unless SOAK_RUNS is set."""

    settings = settings(
        max_examples=RUNS or 12,
        stateful_step_count=25,
        deadline=None,
        derandomize=not RUNS,
        database=None,
        phases=(Phase.generate,),
    )

    @classmethod
    def tearDownClass(cls) -> None:
        print(f"{Histories.runs} histories, {Histories.faults} faults")


def test_a_group_heals_and_writes_again():
    played = world.World(5, proxies=3)
    played.run(3.0)
    played.upstreams["db-0"].alive = False
    played.run(3.0)
    req = request.Request(
        played.new_id(),
        "pay",
        "db",
        request.Kind.WRITE,
        (request.Statement("INSERT INTO hit VALUES ('a')"),),
    )
    answer = played.ask("proxy-1", req)
    assert answer.error is None
    assert answer.upstream != "db-0"
