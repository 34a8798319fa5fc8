"""Random histories of three real proxy cores under two concurrent faults."""

import os

from hypothesis import Phase, settings, stateful
from hypothesis import strategies as st

from fescueshunt import errors
from fescueshunt.core import request, upstream
from lib import simulated_network, simulation

SOAK_RUNS = int(os.environ.get("SOAK_RUNS", "0"))
PROXIES = ("proxy-0", "proxy-1", "proxy-2")
UPSTREAMS = ("db-0", "db-1", "db-2")
RECOVERY_S = 12.0
CALLER_TIMEOUT_S = 3.0


class Histories(stateful.RuleBasedStateMachine):
    """Writes through failing proxies and upstreams, two faults at once.

    The check compares only the callers' answers with the final table.
    """

    runs = 0
    faults = 0

    @stateful.initialize(seed=st.integers(0, 2**32))
    def start(self, seed: int) -> None:
        self.world = simulation.SimulatedCluster(seed, proxies=3)
        self.world.run(3.0)
        self.sent: dict[str, tuple[str, int, int]] = {}

    @stateful.rule(proxy=st.sampled_from(PROXIES), count=st.integers(1, 4))
    def write(self, proxy: str, count: int) -> None:
        for _ in range(count):
            tag = f"t{len(self.sent)}"
            req = request.Request(
                self.world.new_request_id(),
                "pay",
                "db",
                request.Kind.WRITE,
                (request.Statement("INSERT INTO hit VALUES (?)", (tag,)),),
                timeout_s=CALLER_TIMEOUT_S,
            )
            seq = self.world.send(proxy, 1, req)
            self.sent[tag] = (proxy, 1, seq)

    @stateful.rule(seconds=st.sampled_from((0.003, 0.01, 0.1, 0.7, 2.0)))
    def wait(self, seconds: float) -> None:
        self.world.run(seconds)

    @stateful.precondition(lambda self: all(self._upstreams_alive()))
    @stateful.rule(name=st.sampled_from(UPSTREAMS))
    def stop_upstream(self, name: str) -> None:
        Histories.faults += 1
        self.world.upstreams[name].alive = False

    @stateful.precondition(lambda self: all(self._upstreams_alive()))
    @stateful.rule(proxy=st.sampled_from(PROXIES))
    def fail_primary_with_unreplicated_writes(self, proxy: str) -> None:
        """Writes while the replicas are stopped, then stops the primary.

        The replicas resume without the entries of those writes.
        """
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
        loss_rate=st.sampled_from((0.0, 0.1, 0.3)),
        delay_rate=st.sampled_from((0.0, 0.3)),
        duplication_rate=st.sampled_from((0.0, 0.1)),
    )
    def inject_message_faults(
        self, loss_rate: float, delay_rate: float, duplication_rate: float
    ) -> None:
        Histories.faults += 1
        self.world.faults = simulated_network.Faults(
            loss_rate, duplication_rate, delay_rate
        )

    @stateful.rule()
    def clear_message_faults(self) -> None:
        self.world.faults = simulated_network.Faults()

    @stateful.rule(name=st.sampled_from(UPSTREAMS), number=st.integers(2, 9))
    def fence_by_crashed_proposer(self, name: str, number: int) -> None:
        """Fences one upstream with a ballot whose proposer has crashed."""
        Histories.faults += 1
        fake = self.world.upstreams[name]
        ballot_number = fake.engine.promised.number + number % 3
        call = upstream.Fence(type(fake.engine.promised)(ballot_number, "old"))
        fake.control(call, self.world.now, lambda _: None)

    def _upstreams_alive(self) -> list[bool]:
        return [fake.alive for fake in self.world.upstreams.values()]

    def teardown(self) -> None:
        if not hasattr(self, "sent"):
            return
        Histories.runs += 1
        self.clear_message_faults()
        self.resume_upstreams()
        self.world.run(RECOVERY_S)
        check_history(self.world, self.sent)


def check_history(
    cluster: simulation.SimulatedCluster, sent: dict[str, tuple[str, int, int]]
) -> None:
    """Compares the callers' answers with the table of the last primary."""
    rows = cluster.rows()
    assert len(rows) == len(set(rows)), "ran twice"
    for tag, key in sent.items():
        answer = cluster.answers.get(key)
        if answer is None:
            continue
        if answer.outcome is errors.Outcome.DONE:
            assert tag in rows, f"lost {tag}"
        if answer.outcome is errors.Outcome.NOT_RUN:
            assert tag not in rows, f"ran {tag}"


class TestHistories(Histories.TestCase):
    """Runs the histories; they are deterministic unless SOAK_RUNS is set."""

    settings = settings(
        max_examples=SOAK_RUNS or 12,
        stateful_step_count=25,
        deadline=None,
        derandomize=not SOAK_RUNS,
        database=None,
        phases=(Phase.generate,),
    )

    @classmethod
    def tearDownClass(cls) -> None:
        print(f"{Histories.runs} histories, {Histories.faults} faults")


def test_a_group_accepts_writes_after_its_primary_stops():
    cluster = simulation.SimulatedCluster(5, proxies=3)
    cluster.run(3.0)
    cluster.upstreams["db-0"].alive = False
    cluster.run(3.0)
    req = request.Request(
        cluster.new_request_id(),
        "pay",
        "db",
        request.Kind.WRITE,
        (request.Statement("INSERT INTO hit VALUES ('a')"),),
    )
    answer = cluster.execute("proxy-1", req)
    assert answer.error is None
    assert answer.upstream != "db-0"
