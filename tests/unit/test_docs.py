"""Checks that links, commands, codes and names on the pages exist."""

import ast
import importlib
import inspect
import pathlib
import re

import pytest
from capacity import __main__ as capacity_main
from capacity import figures, page

from fescueshunt import errors
from fescueshunt.core import document, ranks
from fescueshunt_cli._internal import main

ROOT = pathlib.Path(__file__).resolve().parents[2]
DOCS = ROOT / "docs"
CORE_SOURCES = ROOT / "packages/fescueshunt/src/fescueshunt"
PAGES = sorted(
    [ROOT / "README.md", ROOT / "CONTRIBUTING.md", *DOCS.rglob("*.md")]
)
SOURCES = [path.read_text() for path in ROOT.glob("packages/*/src/**/*.py")]
GRAMMAR = sorted(ROOT.glob("packages/**/language/grammar.lark"))
PACKAGES = (
    "fescueshunt",
    "fescueshunt_wire",
    "fescueshunt_proxy",
    "fescueshunt_cli",
    "fescueshunt_standins",
)
LOCAL_LINK = re.compile(r"\]\((?!https?:|#)([^)#]+)")
MAKE_TARGET = re.compile(r"(?:`|^ {4})make ([a-z]+)", re.MULTILINE)
COMMAND = re.compile(r"(?:`|^ {4})fescueshunt ([a-z]+)", re.MULTILINE)
CAPACITY_COMMAND = re.compile(r"`python -m capacity ([a-z-]+)`")
LOG_EVENT = re.compile(r"[Ll]og(?:s|'s)? (?:has |ends with )?`([a-z_]+)`")
SHOW_SUBJECT = re.compile(r"`SHOW ([A-Z]+)")


def parameters(pages: list[pathlib.Path]) -> list:
    return [pytest.param(p, id=str(p.relative_to(ROOT))) for p in pages]


def errors_by_code() -> dict[str, type[errors.FescueshuntError]]:
    classes = [
        value
        for _, value in inspect.getmembers(errors, inspect.isclass)
        if issubclass(value, errors.FescueshuntError)
    ]
    return {e.code: e for e in classes if e is not errors.FescueshuntError}


@pytest.mark.parametrize("path", parameters(PAGES))
def test_links_resolve(path):
    links = LOCAL_LINK.findall(path.read_text())
    missing = [link for link in links if not (path.parent / link).exists()]
    assert not missing


@pytest.mark.parametrize("path", parameters(PAGES))
def test_commands_exist(path):
    text = path.read_text()
    makefile = (ROOT / "Makefile").read_text()
    targets = set(re.findall(r"^([a-z]+):", makefile, re.MULTILINE))
    commands = {command.name for command in main.COMMANDS}
    assert set(MAKE_TARGET.findall(text)) <= targets
    assert set(COMMAND.findall(text)) <= commands
    assert set(CAPACITY_COMMAND.findall(text)) <= set(
        capacity_main.MEASUREMENTS
    )


def test_index_links_every_page():
    index = (DOCS / "README.md").read_text()
    linked = {(DOCS / link).resolve() for link in LOCAL_LINK.findall(index)}
    missing = [
        path
        for path in DOCS.rglob("*.md")
        if path not in linked and path.parent not in linked
    ]
    assert missing == [DOCS / "README.md"]


def test_runbook_has_every_error_code():
    text = (DOCS / "operators" / "runbook.md").read_text()
    rows = re.findall(r"^\| `([a-z_]+)` \| ([a-z_]+) \|", text, re.MULTILINE)
    expected = {code: e.outcome.value for code, e in errors_by_code().items()}
    assert dict(rows) == expected


def test_operators_pages_name_existing_codes_log_events_and_subjects():
    text = "".join(p.read_text() for p in (DOCS / "operators").glob("*.md"))
    codes = set(re.findall(r"`errors\.([a-z_]+)`", text))
    assert codes
    assert codes <= set(errors_by_code())
    for event in LOG_EVENT.findall(text):
        assert any(f'"{event}"' in source for source in SOURCES), event
    grammar = "".join(path.read_text() for path in GRAMMAR).lower()
    for subject in set(SHOW_SUBJECT.findall(text)):
        assert subject.lower() in grammar, subject


def resolve(name: str) -> object:
    """Returns the object with a dotted name of the glossary.

    A name without a package is looked up in `fescueshunt`.
    """
    first = name.split(".", maxsplit=1)[0]
    parts = (
        name.split(".")
        if first in PACKAGES
        else [PACKAGES[0], *name.split(".")]
    )
    resolved: object = importlib.import_module(parts[0])
    for number, part in enumerate(parts[1:], 2):
        try:
            resolved = importlib.import_module(".".join(parts[:number]))
        except ModuleNotFoundError:
            fields = getattr(resolved, "__dataclass_fields__", {})
            resolved = (
                fields[part] if part in fields else getattr(resolved, part)
            )
    return resolved


def test_glossary_names_resolve():
    names = re.findall(
        r"`((?:core|request|settings|members|failover|errors|fescueshunt_\w+)"
        r"\.[\w.]+)`",
        (DOCS / "GLOSSARY.md").read_text(),
    )
    assert len(names) > 40
    for name in names:
        assert resolve(name) is not None


def test_glossary_names_the_settings_classes():
    text = (DOCS / "GLOSSARY.md").read_text()
    for kind in (
        ranks.Rank,
        document.Upstream,
        document.Database,
        document.Group,
        document.CalendarDay,
    ):
        module = kind.__module__.removeprefix("fescueshunt.")
        assert f"`{module}.{kind.__name__}`" in text


def test_capacity_page_has_the_tables_of_the_measured_figures():
    text = page.PAGE.read_text()
    measured = figures.load(page.MEASURED)
    assert set(measured.fits_by_measurement) == set(capacity_main.MEASUREMENTS)
    for table in page.tables(measured).values():
        assert table in text


def filters_of(pipe: str) -> list[str]:
    """Returns the modules of a pipe's filters, in the order of the code."""
    path = CORE_SOURCES / pipe / "pipe.py"
    chain = next(
        node.value
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Assign) and node.targets[0].id == "stages"
    )
    return [call.func.value.id for call in chain.elts]


def test_shape_page_lists_every_pipe_and_its_filters():
    page = (ROOT / "docs/design/shape.md").read_text()
    rows = re.findall(r"^\| `([a-z]+)` \| ([a-z_, ]+) \|$", page, re.MULTILINE)
    documented = {pipe: filters.split(", ") for pipe, filters in rows}
    pipes = [path.parent.name for path in CORE_SOURCES.glob("*/pipe.py")]
    assert documented == {pipe: filters_of(pipe) for pipe in pipes}
