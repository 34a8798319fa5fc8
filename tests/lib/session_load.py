"""A host's queue of statements under load, on a fake clock, without a network.

Connections to three members take `SERVICE_S` for each statement; time is what
the test says.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random

from fescueshunt.core import (
    identity,
    position,
    replica_sets,
    routes,
    sessions,
)
from fescueshunt.sessions import choose, items, pool, pools, queue
from lib import hosted_routes

SERVICE_S = 0.02
STEP_S = 0.005
TIMEOUT_S = 1.0
WAIT_SHARE = 0.5
PRIMARY = "u0"
NAMES = (PRIMARY, "u1", "u2")


def route(priority: int, target_s: float = 0.2) -> routes.Route:
    """Returns a route of one rank."""
    return routes.Route(
        f"r{priority}",
        hosted_routes.DATABASE,
        routes.Consistency.PRIMARY,
        TIMEOUT_S,
        target_s,
        priority,
        0.0,
    )


@dataclasses.dataclass(slots=True)
class Ended:
    """What became of a statement: served, or refused for a reason."""

    work: items.Work
    at: float
    why: str = ""

    @property
    def is_in_target(self) -> bool:
        """Whether it was served within its objective."""
        late_s = self.at - self.work.arrived_at - self.work.route.target_s
        return not self.why and late_s <= 0


class Host:
    """The queue, its connections, and what became of each statement."""

    def __init__(self, links: int = 2) -> None:
        self.now = 0.0
        self.ended: list[Ended] = []
        self._keys = itertools.count()
        self._running: list[tuple[float, int, pool.Link, items.Work]] = []
        self._pools = pools.Pools(random.Random(1))
        me = identity.Identity("h0", "z", "127.0.0.1:1", 1)
        self.queue = queue.Queue(choose.LeastLoaded(me), self._pools)
        self.see(PRIMARY)
        for name in NAMES:
            kept = self._pools.by_upstream[name]
            for _ in range(links):
                opened = self._pools.open(kept, 0.0)
                self._pools.links[opened.link].enter(pool.LinkState.IDLE, 0.0)

    def see(self, primary: str) -> None:
        """Tells the queue who leads; nobody while a move is under way."""
        members = tuple(
            replica_sets.MemberView(
                replica_sets.UpstreamEntry(
                    name,
                    hosted_routes.DATABASE,
                    "127.0.0.1:2",
                    "z",
                    2,
                    False,
                    sessions.ReplicaRole.REPLICA,
                ),
                None,
                replica_sets.NEVER,
                None,
            )
            for name in NAMES
        )
        start = position.Position(position.Term(1), 0)
        view = replica_sets.ReplicaSetView(
            self.now,
            hosted_routes.DATABASE,
            members,
            primary,
            1,
            float("inf"),
            not primary,
            (replica_sets.PositionSample(float("inf"), start),),
        )
        list(self._pools.set_members(view))
        self.queue.see(view)

    def offer(self, asked: routes.Route, account: str = "a") -> None:
        """Takes a statement for the primary that comes now."""
        statement = sessions.Statement("id", sessions.Verb.READ, "READ x")
        work = items.Work(
            client=next(self._keys),
            account=account,
            statement=statement,
            route=asked,
            rank=asked.rank,
            settings=sessions.SessionSettings({}, {}),
            prepared=None,
            arrived_at=self.now,
            since_at=self.now,
            wait_s=asked.target_s * WAIT_SHARE,
            refuse_at=self.now + asked.target_s * WAIT_SHARE,
            expire_at=self.now + asked.timeout_s,
            begin=None,
            in_transaction=False,
            read_only=False,
            needs_primary=True,
            writes=False,
            own_commit=None,
        )
        refusal = self.queue.add(work, self.now)
        if refusal is not None:
            self.ended.append(Ended(work, self.now, refusal.why))
        self._start()

    def run(self, until: float, offered: dict[int, float]) -> None:
        """Offers so many statements a second of each rank until a time."""
        due = dict.fromkeys(offered, self.now)
        while self.now < until:
            for priority, rate in offered.items():
                while due[priority] <= self.now:
                    due[priority] += 1 / rate
                    number = len(self.ended) % 7
                    self.offer(route(priority), f"a{number}")
            self.step()

    def step(self) -> None:
        """Lets a little time pass."""
        self.now += STEP_S
        while self._running and self._running[0][0] <= self.now:
            at, _, link, work = heapq.heappop(self._running)
            link.work = None
            link.enter(pool.LinkState.IDLE, at)
            self.queue.ended(work, at, ran=True)
            self.ended.append(Ended(work, at))
            self._start()
        for refusal in self.queue.overdue(self.now):
            self.ended.append(Ended(refusal.work, self.now, refusal.why))
        self._start()

    def _start(self) -> None:
        for found in self.queue.startable(self.now):
            if isinstance(found, queue.Refusal):
                self.ended.append(Ended(found.work, self.now, found.why))
                continue
            found.link.work = found.work
            found.link.enter(pool.LinkState.WORKING, self.now)
            ends_at = self.now + SERVICE_S
            entry = (ends_at, found.work.client, found.link, found.work)
            heapq.heappush(self._running, entry)

    def of(self, priority: int) -> list[Ended]:
        """Returns what became of the statements of one rank."""
        return [e for e in self.ended if e.work.route.priority == priority]
