"""Finds by the source text which modules make items, and which take them."""

from __future__ import annotations

import ast
import importlib
import inspect
import pathlib
import types
from collections.abc import Iterator
from unittest import mock

from fescueshunt.core import filters

# Functions that make the item they are named after.
_HELPERS = {"ask": "AskPeer", "answer": "AnswerPeer"}


def modules_of(package: types.ModuleType) -> Iterator[types.ModuleType]:
    """Yields the modules of a package, those of its folders too."""
    root = pathlib.Path(package.__file__).parent
    for path in sorted(root.rglob("*.py")):
        parts = path.relative_to(root).with_suffix("").parts
        if parts[-1] not in ("__init__", "__main__"):
            name = ".".join((package.__name__, *parts))
            yield importlib.import_module(name)


def made_in(module: types.ModuleType) -> set[type[filters.Item]]:
    """Returns the items that a module makes."""
    return {
        found
        for call in _calls(module)
        for found in _item_types(module, call.func)
    }


def subscribed_in(module: types.ModuleType) -> set[type[filters.Item]]:
    """Returns the items to which a module subscribes."""
    return {
        found
        for call in _calls(module)
        if isinstance(call.func, ast.Attribute)
        and call.func.attr == "subscribe"
        and call.args
        for found in _item_types(module, call.args[0])
    }


def sample(item_type: type[filters.Item]) -> filters.Item:
    """Returns an item for filters that look at its type only."""
    fields = {name: mock.MagicMock() for name in item_type.__dataclass_fields__}
    return item_type(**(fields | {"at": 0.0}))


def _calls(module: types.ModuleType) -> Iterator[ast.Call]:
    tree = ast.parse(inspect.getsource(module))
    return (node for node in ast.walk(tree) if isinstance(node, ast.Call))


def _item_types(
    module: types.ModuleType, node: ast.expr
) -> Iterator[type[filters.Item]]:
    match node:
        case ast.Attribute(value=ast.Name(id=owner), attr=name):
            holder = getattr(module, owner, None)
        case ast.Name(id=name):
            holder = module
        case _:
            return
    found = getattr(holder, name, None)
    if inspect.isfunction(found) and inspect.ismodule(holder):
        found = getattr(holder, _HELPERS.get(name, ""), None)
    if inspect.isclass(found) and issubclass(found, filters.Item):
        yield found
