"""The settings of a host that are this product's own, an INI file."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import msgspec

from fescueshunt import errors
from fescueshunt_wire import sections, structs

if TYPE_CHECKING:
    import pathlib

SECTION = "host"
Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
Lines = Annotated[float, msgspec.Meta(gt=0, le=10_000)]


class OwnSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What operators may set for a host.

    Attributes:
      metrics_port: where scrapers read the metrics; 0 for nowhere.
      log_lines_per_s: log lines of one kind a second.
      log_burst_lines: log lines of one kind at once.
    """

    metrics_port: Port = 0
    log_lines_per_s: Lines = 20.0
    log_burst_lines: Lines = 60.0


def load(file: pathlib.Path | None) -> OwnSettings:
    """Returns the settings in `file`, the defaults for no file.

    Raises:
      InvalidSettingsError: with every problem at once.
    """
    if file is None:
        return OwnSettings()
    found = sections.read_sections(file)
    unknown = [
        errors.SettingProblem(
            str(file), name, "", "", f"expected only [{SECTION}]"
        )
        for name in found
        if name != SECTION
    ]
    values = found.get(SECTION, {})
    known = {field.name for field in msgspec.structs.fields(OwnSettings)}
    unknown += [
        errors.SettingProblem(
            str(file), SECTION, key, values[key], "expected a known setting"
        )
        for key in values.keys() - known
    ]
    try:
        kept = {key: values[key] for key in values.keys() & known}
        cfg = structs.convert(
            OwnSettings, kept, str(file), SECTION, strict=False
        )
    except errors.InvalidSettingsError as exc:
        raise errors.InvalidSettingsError(unknown + exc.problems) from exc
    if unknown:
        raise errors.InvalidSettingsError(unknown)
    return cfg
