"""Recording: what enters the core, as lines that a replay reads."""

from __future__ import annotations

import contextlib
import pathlib
from typing import TYPE_CHECKING

from fescueshunt_wire import records

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.core import filters, identity
    from fescueshunt_proxy._internal import runtime


@contextlib.contextmanager
def recording(
    path: str, me: identity.Identity, joined: runtime.Runtime
) -> Iterator[None]:
    """Writes each item at the mouth of the core to `path`; "" for nowhere.

    The first line is the identity of the proxy.
    """
    if not path:
        yield
        return
    with pathlib.Path(path).open("w", encoding="utf-8") as stream:

        def write(item: filters.Item) -> None:
            stream.write(records.to_line(item) + "\n")

        stream.write(records.to_line(me) + "\n")
        with joined.observe(write):
            yield
