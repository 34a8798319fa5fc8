"""Mutation tests for the safety mechanisms of the request pipe.

Run as `python tests/lib/removals.py [NAME ...]`. For each mechanism, the script
removes it from a copy of the sources, runs the tests against the copy and
prints those that fail. It exits with 1 if no test fails for some mechanism.
"""

from __future__ import annotations

import dataclasses
import os
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Iterator

ROOT = pathlib.Path(__file__).resolve().parents[2]
PACKAGES = ROOT / "packages"
TESTS = (
    "tests/functional/test_replays.py",
    "tests/functional/test_request_promises.py",
    "tests/functional/test_request_limits.py",
    "tests/functional/test_request_moves.py",
    "tests/functional/test_transaction_promises.py",
    "tests/functional/test_request_model.py",
)
FAILED_TEST = re.compile(r"^FAILED \S+::(\S+)", re.MULTILINE)


@dataclasses.dataclass(frozen=True, slots=True)
class Removal:
    """A mechanism, and the edit of the sources that removes it.

    Attributes:
      name: the mechanism, for the command line and the output.
      module: the module of `fescueshunt.request` to edit.
      old: the source text to replace; must occur exactly once in the module,
        where a space matches any whitespace.
      new: the text that replaces it.
      second_edit: the module, old text and new text of another edit, for a
        mechanism that is checked in two places.
    """

    name: str
    module: str
    old: str
    new: str
    second_edit: tuple[str, str, str] | None = None


REMOVALS = (
    Removal(
        "claim of the request id in the ledger",
        "write",
        "        return (claim, *req.statements)",
        "        return (request.Statement('SELECT 1'), *req.statements)",
    ),
    Removal(
        "tombstone before a write is reported as not run",
        "write",
        'ledger.insert_statement(ledger_key, b"", ledger.RowState.TOMBSTONE)',
        "request.Statement('SELECT 1')",
    ),
    Removal(
        "comparison of request fingerprints",
        "write",
        "            row.fingerprint != ledger.fingerprint(work.req)",
        "            False",
    ),
    Removal(
        "wait for a majority",
        "acknowledge",
        "    return view.count_holders(commit.position) >= "
        "len(view.states) // 2 + 1",
        "    return True",
    ),
    Removal(
        "retry of commits from an earlier term",
        "acknowledge",
        "view.term > commit.position.term",
        "False",
    ),
    Removal(
        "session token checks of upstream choice and answer",
        "read",
        "if after is not None and not reply.history.holds(after):",
        "if False:",
        second_edit=(
            "choose",
            "    if work.req.after is not None and not history.holds("
            "work.req.after):",
            "    if False:",
        ),
    ),
    Removal(
        "unknown outcome of work that is in doubt",
        "outcome",
        "    if error is None or isinstance(error, DEFINITE_ERRORS):",
        "    if True:",
    ),
    Removal(
        "match of a forwarded answer with its request",
        "route",
        "        if forward.work.req.request_id != request_id:",
        "        if False:",
    ),
    Removal(
        "refusal of a second BEGIN of one transaction",
        "transact",
        "        if work.req.request_id in self._pinned:",
        "        if False:",
    ),
    Removal(
        "check that a transaction stays on its client connection",
        "route",
        "        if pin is None or pin.conn != work.origin.conn:",
        "        if pin is None:",
    ),
    Removal(
        "statements of a transaction run once",
        "transact",
        "        and work.req.request_id not in pinned.request_ids",
        "",
    ),
    Removal(
        "wait for work that is in flight at shutdown",
        "drain",
        "        if state.stop_requested_at is None or state.in_flight > 0:",
        "        if state.stop_requested_at is not None:\n"
        "            return True\n"
        "        if state.stop_requested_at is None:",
    ),
    Removal(
        "exclusion of leaving upstreams from the choice",
        "choose",
        "if upstream.name not in unavailable and not upstream.draining",
        "if True",
        second_edit=(
            "eligibility",
            "if state is None or upstream in view.leaving:",
            "if state is None:",
        ),
    ),
)


def main(names: list[str]) -> int:
    """Tests the removals in `names`, or all; returns the exit code."""
    undetected = 0
    for removal in REMOVALS:
        if names and removal.name not in names:
            continue
        failed = run_without(removal)
        undetected += not failed
        print(f"{removal.name}: {len(failed)} fail", flush=True)
        for test in failed:
            print(f"    {test}", flush=True)
    return 1 if undetected else 0


def run_without(removal: Removal) -> list[str]:
    """Returns the names of the tests that fail without a mechanism."""
    with tempfile.TemporaryDirectory() as folder:
        packages_copy = pathlib.Path(folder) / "packages"
        shutil.copytree(PACKAGES, packages_copy)
        sources = [str(path) for path in sorted(packages_copy.glob("*/src"))]
        for edit in _edits(removal):
            _apply_edit(packages_copy / "fescueshunt" / "src", *edit)
        env = {
            **os.environ,
            "PYTHONPATH": os.pathsep.join(sources),
            "FESCUESHUNT_NO_SHRINK": "1",
        }
        print(f"without {removal.name}", flush=True)
        result = subprocess.run(
            [sys.executable, "-m", "pytest", "-q", "-n", "3", *TESTS],
            cwd=ROOT,
            env=env,
            capture_output=True,
            text=True,
            check=False,
        )
    failed = sorted(set(FAILED_TEST.findall(result.stdout)))
    if result.returncode and not failed:
        print(result.stdout[-2000:], flush=True)
    return failed


def _edits(removal: Removal) -> Iterator[tuple[str, str, str]]:
    yield removal.module, removal.old, removal.new
    if removal.second_edit is not None:
        yield removal.second_edit


def _apply_edit(sources: pathlib.Path, module: str, old: str, new: str) -> None:
    path = sources / "fescueshunt" / "request" / f"{module}.py"
    text = path.read_text()
    escaped = re.escape(old.strip())
    pattern = re.compile(re.sub(r"(\\ )+", r"\\s+", escaped))
    if len(pattern.findall(text)) != 1:
        raise SystemExit(f"{old}: not found exactly once in {path.name}")
    path.write_text(pattern.sub(lambda _: new.strip(), text))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
