"""Host settings that operators change in an INI file."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import msgspec

from fescueshunt import errors
from fescueshunt_wire import sections, structs

if TYPE_CHECKING:
    import pathlib

SECTION = "host"
Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
Timeout = Annotated[float, msgspec.Meta(gt=0, le=86_400)]
LineCount = Annotated[float, msgspec.Meta(gt=0, le=10_000)]


class OperatorSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The settings in the section `[host]`.

    Attributes:
      metrics_port: port of the metrics endpoint; 0 disables it.
      log_lines_per_s: rate limit for the log lines of one event name, in lines
        per second.
      log_burst_lines: number of log lines of one event name that may be
        written at once.
      start_timeout_s: how long a client may take to start its session.
      message_timeout_s: how long a client may take to send one message.
      lends_connections: whether hosts lend each other connections to upstreams
        that accept too few for all.
      read_timeout_s: how long a client may go without reading any of its
        answers.
    """

    metrics_port: Port = 0
    log_lines_per_s: LineCount = 20.0
    log_burst_lines: LineCount = 60.0
    start_timeout_s: Timeout = 10.0
    message_timeout_s: Timeout = 30.0
    read_timeout_s: Timeout = 30.0
    lends_connections: bool = False


def load(file: pathlib.Path | None) -> OperatorSettings:
    """Returns the settings in `file`, or the defaults if `file` is None.

    Raises:
      InvalidSettingsError: lists all problems of the file.
    """
    if file is None:
        return OperatorSettings()
    values_by_section = sections.read_sections(file)
    problems = [
        errors.SettingProblem(
            str(file), name, "", "", f"expected only [{SECTION}]"
        )
        for name in values_by_section
        if name != SECTION
    ]
    section_values = values_by_section.get(SECTION, {})
    setting_names = {
        field.name for field in msgspec.structs.fields(OperatorSettings)
    }
    problems += [
        errors.SettingProblem(
            str(file),
            SECTION,
            key,
            section_values[key],
            "expected a known setting",
        )
        for key in section_values.keys() - setting_names
    ]
    try:
        recognized_settings = {
            key: section_values[key]
            for key in section_values.keys() & setting_names
        }
        cfg = structs.convert(
            OperatorSettings,
            recognized_settings,
            str(file),
            SECTION,
            strict=False,
        )
    except errors.InvalidSettingsError as exc:
        raise errors.InvalidSettingsError(problems + exc.problems) from exc
    if problems:
        raise errors.InvalidSettingsError(problems)
    return cfg
