"""Records the items that enter the core in a file, for later replay."""

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
def recording_to_file(
    path: str, local_proxy: identity.Identity, core_runtime: runtime.Runtime
) -> Iterator[None]:
    """Records each item that enters the core until the context exits.

    The file at `path` has one line for the identity of the proxy, then one for
    each item. If `path` is empty, nothing is recorded.
    """
    if not path:
        yield
        return
    with pathlib.Path(path).open("w", encoding="utf-8") as stream:

        def write_item(item: filters.Item) -> None:
            stream.write(records.to_line(item) + "\n")

        stream.write(records.to_line(local_proxy) + "\n")
        with core_runtime.observe(write_item):
            yield
