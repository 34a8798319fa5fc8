"""Reads the INI file of a bench plan into validated streams and phases.

The sections are [site], [stream NAME] and [phase NAME].
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
    """The simulated site of a bench; times are in milliseconds.

    Attributes:
      deployment: the path of the deployment file.
      databases: the number of the deployment's databases to run.
      proxies_per_zone: the number of proxies in each zone. This and
        `databases` scale the deployment to one machine.
      statement_ms: the time that an upstream takes for a statement.
      connect_ms: the time that an upstream takes to accept a connection.
      zone_ms: the one-way delay between zones.
      client_ms: the one-way delay between callers and proxies.
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
    """A stream of similar requests.

    Attributes:
      service: the name of the declared service.
      kind: the kind of the requests, such as read or write.
      rate: the mean rate of the requests, in requests per second.
      sessions: the name of the set of sessions that send the requests; several
        streams may share a set.
      lanes: the number of sessions in the set.
      primed: whether each session writes once before the phase starts, to get
        a token.
      timeout_s: the time-out of the requests, in seconds.
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
    """A phase of a bench, with changed rates and injected faults.

    Attributes:
      seconds: the duration of the phase.
      rates: pairs of a stream's name and its rate in this phase; in the file, a
        list of STREAM:RATE.
      lag_s: the replication lag of the upstreams, in seconds.
      kill_primary: whether the primaries are killed.
      store_down: whether the platform's store is down.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)
    seconds: float = pydantic.Field(6.0, gt=0)
    rates: tuple[tuple[str, float], ...] = ()
    lag_s: float = pydantic.Field(0.0, ge=0)
    kill_primary: bool = False
    store_down: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """A validated bench plan, with streams and phases by name."""

    site: SiteModel
    streams: dict[str, StreamModel]
    phases: dict[str, PhaseModel]

    def rate(self, phase: str, stream: str) -> float:
        """Returns the rate of `stream` in `phase`, in requests per second."""
        phase_rates = dict(self.phases[phase].rates)
        return phase_rates.get(stream, self.streams[stream].rate)


def load(path: pathlib.Path) -> Plan:
    """Returns the plan in the INI file at `path`.

    Raises:
      InvalidSettingsError: with all invalid settings of the file.
    """
    problems: list[errors.SettingProblem] = []
    sections_by_kind: dict[str, dict[str, Any]] = {
        "site": {},
        "stream": {},
        "phase": {},
    }
    model_classes = {
        "site": SiteModel,
        "stream": StreamModel,
        "phase": PhaseModel,
    }
    for header, values in sections.read_sections(path).items():
        kind, _, name = header.partition(" ")
        if kind not in model_classes:
            problems.append(
                errors.SettingProblem(
                    str(path), header, "", "", "expected a known kind"
                )
            )
            continue
        fields: dict[str, Any] = dict(values)
        if "rates" in values:
            fields["rates"] = tuple(
                tuple(part.split(":", 1))
                for part in sections.split_list(values["rates"])
            )
        model, invalid = ini.validate(
            model_classes[kind], str(path), header, fields
        )
        problems.extend(invalid)
        sections_by_kind[kind][name] = model
    if problems:
        raise errors.InvalidSettingsError(problems)
    return Plan(
        sections_by_kind["site"][""],
        sections_by_kind["stream"],
        sections_by_kind["phase"],
    )
