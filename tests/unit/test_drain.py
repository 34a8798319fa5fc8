"""Tests of the filter that lets a proxy exit once it has drained."""

from fescueshunt.core import filters, items, process, request
from fescueshunt.request import drain, ledger

REQ = request.Request(bytes(16), "s", "d", request.Kind.READ)


def stops_at(stage: drain.Drain, now: float) -> bool:
    """Returns whether the stage lets the proxy exit at `now`."""
    emitted = stage.process(filters.Tick(now, now))
    return any(isinstance(item, process.Stopped) for item in emitted)


# Guards against a stop that never ends, until the process is killed with all
# that it serves, because a fault lost a request before its answer.
def test_stop_does_not_wait_for_a_request_longer_than_any_may_take():
    stage = drain.Drain()
    list(stage.process(items.CallerRequest(0.0, 0.0, 1, 1, REQ)))
    list(stage.process(process.StopAsked(0.0)))
    assert not stops_at(stage, drain.MIN_DRAIN_S)
    last_request_s = drain.TRANSACTION_DRAIN_TIMEOUT_S
    assert not stops_at(stage, last_request_s + ledger.MAX_TIMEOUT_S)
    assert stops_at(stage, last_request_s + ledger.MAX_TIMEOUT_S + 1.0)
