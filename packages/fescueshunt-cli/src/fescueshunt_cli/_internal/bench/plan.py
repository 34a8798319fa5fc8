"""Bench plans: INI in, checked streams and phases out.

Sections: [site], [stream NAME] and [phase NAME].
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

import pydantic

from fescueshunt import errors
from fescueshunt.core import request
from fescueshunt_wire import ini, sections

if TYPE_CHECKING:
    import pathlib


class SiteModel(pydantic.BaseModel):
    """The hosts of a bench: times in milliseconds, one way for delays.

    `databases` and `proxies_per_zone` scale the deployment to one machine.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)
    deployment: str
    databases: int = pydantic.Field(1, ge=1)
    proxies_per_zone: int = pydantic.Field(1, ge=1)
    statement_ms: float = pydantic.Field(gt=0)
    connect_ms: float = pydantic.Field(12.0, ge=0)
    zone_ms: float = pydantic.Field(ge=0)
    client_ms: float = pydantic.Field(ge=0)


class StreamModel(pydantic.BaseModel):
    """One stream of requests; `sessions` names the sessions that send it.

    `rate` is requests a second, `lanes` how many sessions there are.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)
    service: str
    kind: request.Kind
    rate: float = pydantic.Field(gt=0)
    sessions: str
    lanes: int = pydantic.Field(20, ge=1, le=1000)
    primed: bool = False
    timeout_s: float = pydantic.Field(5.0, gt=0)


class PhaseModel(pydantic.BaseModel):
    """One phase: streams at other rates, and faults of the platform.

    `rates` is a list of STREAM:RATE.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)
    seconds: float = pydantic.Field(6.0, gt=0)
    rates: tuple[tuple[str, float], ...] = ()
    lag_s: float = pydantic.Field(0.0, ge=0)
    kill_primary: bool = False
    store_down: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """A checked bench plan."""

    site: SiteModel
    streams: dict[str, StreamModel]
    phases: dict[str, PhaseModel]

    def rate(self, phase: str, stream: str) -> float:
        """Returns the rate of `stream` in `phase`; requests a second."""
        changed = dict(self.phases[phase].rates)
        return changed.get(stream, self.streams[stream].rate)


def load(path: pathlib.Path) -> Plan:
    """Returns the plan in the INI file at `path`.

    Raises:
      InvalidSettingsError: with every invalid setting at once.
    """
    problems: list[errors.SettingProblem] = []
    found: dict[str, dict[str, Any]] = {"site": {}, "stream": {}, "phase": {}}
    models = {"site": SiteModel, "stream": StreamModel, "phase": PhaseModel}
    for header, values in sections.read_sections(path).items():
        kind, _, name = header.partition(" ")
        if kind not in models:
            problems.append(
                errors.SettingProblem(
                    str(path), header, "", "", "expected a known kind"
                )
            )
            continue
        full: dict[str, Any] = dict(values)
        if "rates" in values:
            full["rates"] = tuple(
                tuple(part.split(":", 1))
                for part in sections.split_list(values["rates"])
            )
        model, invalid = ini.validate(models[kind], str(path), header, full)
        problems.extend(invalid)
        found[kind][name] = model
    if problems:
        raise errors.InvalidSettingsError(problems)
    return Plan(found["site"][""], found["stream"], found["phase"])
