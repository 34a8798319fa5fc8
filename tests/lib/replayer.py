"""The replayer: feeds a recorded trace into a new core by plain calls."""

from __future__ import annotations

import dataclasses
import pathlib
from collections.abc import Iterable

from fescueshunt import proxy
from fescueshunt.core import filters, identity, items, peer
from fescueshunt_wire import codec, records

TRACES = pathlib.Path(__file__).resolve().parents[1] / "data" / "traces"

REQUEST_MESSAGES = (
    peer.ForwardedRequest,
    peer.ForwardedAnswer,
    peer.Redirected,
    peer.AbandonedTransaction,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """A replayed trace: every effect of the core, in order."""

    effects: tuple[filters.Item, ...]

    def of(self, *kinds: type[filters.Item]) -> list[filters.Item]:
        """Returns the effects of some types."""
        return [e for e in self.effects if isinstance(e, kinds)]

    def path_of_requests(self) -> list[filters.Item]:
        """Returns the effects by which requests are served.

        Heartbeats and other control messages are not part of it, so that a
        change of theirs leaves the stated outcomes as they are.
        """
        return [e for e in self.effects if _serves_request(e)]

    def answers(self) -> list[items.AnswerCaller]:
        """Returns the answers to callers."""
        return self.of(items.AnswerCaller)


def replay(path: pathlib.Path) -> Replay:
    """Replays the trace in the data file `path`."""
    with path.open(encoding="utf-8") as lines:
        me, *entering = records.read(lines)
    return feed(me, entering)


def feed(me: identity.Identity, entering: Iterable[filters.Item]) -> Replay:
    """Feeds items into a new core of the proxy `me`."""
    core = proxy.build(me, codec.ResultCodec())
    effects = [effect for item in entering for effect in core.feed(item)]
    return Replay(tuple(effects))


def _serves_request(effect: filters.Item) -> bool:
    match effect:
        case items.AnswerCaller() | items.RunUpstream():
            return True
        case items.SendPeer(message=message):
            return isinstance(message, REQUEST_MESSAGES)
        case _:
            return False


def as_lines(effects: Iterable[filters.Item]) -> str:
    """Returns answers and calls as the lines that a stated outcome holds."""
    lines = (_line(effect) for effect in effects)
    return "\n".join(line for line in lines if line)


def _line(effect: filters.Item) -> str:
    match effect:
        case items.AnswerCaller():
            return records.to_line(effect)
        case items.RunUpstream(conn=conn, call=call):
            return (
                f"call {conn}: {call.mode}, {len(call.statements)} statements"
            )
        case items.SendPeer(name=name, message=message):
            return f"{type(message).__name__} to {name}"
        case _:
            return ""
