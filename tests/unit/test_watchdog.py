"""Tests that a request which a fault in a filter loses is answered."""

import dataclasses
import random

import pytest

from fescueshunt import errors
from fescueshunt.core import filters, identity, items, peer, process, request
from fescueshunt.request import admit, drain, pipe, policies, reply, watchdog
from fescueshunt.request import items as request_items
from fescueshunt_wire import codec

Kind = request.Kind
TICK_S = 0.02
TIMEOUT_S = 2.0
CALLER_GRACE_S = 0.25


def make_request(kind: Kind = Kind.WRITE) -> request.Request:
    return request.Request(bytes(16), "s", "d", kind, timeout_s=TIMEOUT_S)


def caller_request(kind: Kind = Kind.WRITE) -> filters.Item:
    return items.CallerRequest(0.0, 0.0, 1, 1, make_request(kind))


def forwarded_request() -> filters.Item:
    message = peer.ForwardedRequest(1, "u", make_request(), TIMEOUT_S)
    return items.PeerReceived(0.0, "peer", message)


def end_of(answered: request_items.Answered) -> request_items.RequestEnded:
    return request_items.RequestEnded(
        answered.at,
        answered.origin,
        answered.answer.request_id,
        answered.transaction,
        failed=True,
    )


class PipeHarness:
    """A request pipe whose admission filter raises an exception.

    Attributes:
      now: the time on the fake clock, in seconds.
      effects: all items that the pipe has emitted.
      failures: the exceptions that its filters have raised.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 0.0
        self.effects: list[filters.Item] = []
        self.failures: list[Exception] = []
        request_pipe = pipe.build(
            identity.Identity("p", "z", "127.0.0.1:1"),
            codec.ResultCodec(),
            policies.Policy(),
            random.Random(1),
        )
        self._core = filters.Core((request_pipe,))

        def fail(*args: object) -> None:
            raise KeyError("fault")

        monkeypatch.setattr(admit.Admit, "_admit_caller", fail)
        monkeypatch.setattr(admit.Admit, "_admit_peer", fail)

    def feed(self, item: filters.Item) -> None:
        self.effects += self._core.feed(item, self.failures.append)

    def run(self, until: float) -> None:
        while self.now < until:
            self.now += TICK_S
            self.feed(filters.Tick(self.now, self.now))

    def effects_of(self, effect_type: type) -> list[filters.Item]:
        return [e for e in self.effects if isinstance(e, effect_type)]


# Guards against a caller that gets no answer, as a fault in a filter has lost
# its request.
@pytest.mark.parametrize(
    ("kind", "outcome"),
    [
        (Kind.WRITE, errors.Outcome.UNKNOWN),
        (Kind.READ, errors.Outcome.NOT_RUN),
    ],
)
def test_lost_request_is_answered_at_its_deadline(monkeypatch, kind, outcome):
    harness = PipeHarness(monkeypatch)
    harness.feed(caller_request(kind))
    harness.run(TIMEOUT_S - TICK_S)
    assert harness.effects_of(items.AnswerCaller) == []
    harness.run(TIMEOUT_S + CALLER_GRACE_S)
    (answered,) = harness.effects_of(items.AnswerCaller)
    assert len(harness.failures) == 1
    assert (answered.conn, answered.seq) == (1, 1)
    assert answered.answer.outcome is outcome


# Guards against a planned stop that waits for requests that a fault has lost,
# until the process is killed with all that it serves.
@pytest.mark.parametrize("item", [caller_request(), forwarded_request()])
def test_stop_does_not_wait_for_a_lost_request(monkeypatch, item):
    harness = PipeHarness(monkeypatch)
    harness.feed(item)
    harness.feed(process.StopAsked(0.0))
    harness.run(TIMEOUT_S - TICK_S)
    assert harness.effects_of(process.Stopped) == []
    harness.run(TIMEOUT_S + drain.MIN_DRAIN_S)
    assert harness.effects_of(process.Stopped)


# Guards against a second answer to a request that was only delayed, by a pause
# of the process.
def test_late_answer_is_dropped():
    stage = reply.Reply()
    origin = request_items.CallerOrigin(1, 1)
    answer = request.Answer(bytes(16))
    late = request_items.Answered(TIMEOUT_S, origin, "d", "", answer)
    first = dataclasses.replace(late, overdue=True)
    sent = [list(stage.process(item)) for item in (first, late)]
    assert isinstance(sent[0][0], items.AnswerCaller)
    assert sent[1] == []


# Guards against an answer that is counted twice, so that a stop ends before
# another request is answered.
def test_request_ends_once():
    stage = watchdog.Watchdog()
    list(stage.process(caller_request()))
    ticks = [filters.Tick(TIMEOUT_S + now, 0.0) for now in (1.0, 2.0)]
    first, second = (list(stage.process(tick)) for tick in ticks)
    answered = second[0]
    assert first == ticks[:1]
    ended = [list(stage.process(item)) for item in 2 * [end_of(answered)]]
    assert ended == [[end_of(answered)], []]
