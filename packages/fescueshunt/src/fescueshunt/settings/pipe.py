"""The settings pipe, put together."""

from __future__ import annotations

from fescueshunt.core import filters, items
from fescueshunt.settings import adopt

ACCEPTS = (items.SettingsRead, items.SettingsReadFailed, filters.Tick)


def build() -> filters.Pipe:
    """Returns the settings pipe."""
    return filters.Pipe((adopt.Adopt(),), ACCEPTS)
