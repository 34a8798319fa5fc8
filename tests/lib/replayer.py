"""Replays recorded traces: feeds their items to a new core."""

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
    """The result of a replay: all effects of the core, in order."""

    effects: tuple[filters.Item, ...]

    def effects_of_type(self, *kinds: type[filters.Item]) -> list[filters.Item]:
        """Returns the effects of the given types."""
        return [e for e in self.effects if isinstance(e, kinds)]

    def request_effects(self) -> list[filters.Item]:
        """Returns the effects that serve requests.

        Heartbeats and other control messages are left out, so that changes to
        them don't change the expected results in the snapshots.
        """
        return [e for e in self.effects if _serves_request(e)]

    def answers(self) -> list[items.AnswerCaller]:
        """Returns the answers sent to callers."""
        return self.effects_of_type(items.AnswerCaller)


def replay(path: pathlib.Path) -> Replay:
    """Replays the trace in the file `path`."""
    with path.open(encoding="utf-8") as lines:
        local_proxy, *recorded_items = records.read(lines)
    return replay_items(local_proxy, recorded_items)


def replay_items(
    local_proxy: identity.Identity, recorded_items: Iterable[filters.Item]
) -> Replay:
    """Feeds items to a new core of the proxy `local_proxy`."""
    core = proxy.build(local_proxy, codec.ResultCodec())
    effects = [effect for item in recorded_items for effect in core.feed(item)]
    return Replay(tuple(effects))


def _serves_request(effect: filters.Item) -> bool:
    match effect:
        case items.AnswerCaller() | items.RunUpstream():
            return True
        case items.SendPeer(message=message):
            return isinstance(message, REQUEST_MESSAGES)
        case _:
            return False


def format_effects(effects: Iterable[filters.Item]) -> str:
    """Returns the effects that serve requests as text, one on each line.

    The snapshots of the tests have this format.
    """
    lines = (_format_effect(effect) for effect in effects)
    return "\n".join(line for line in lines if line)


def _format_effect(effect: filters.Item) -> str:
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
