"""Takes the mechanisms of the request pipe out, one at a time.

Run as `python tests/lib/removals.py [NAME ...]`. Each runs the proofs over a
copy of the sources and prints the tests that fail; it exits 1 if a mechanism
can be missing and nothing fails.
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
PROOFS = (
    "tests/functional/test_replays.py",
    "tests/functional/test_request_promises.py",
    "tests/functional/test_transaction_promises.py",
    "tests/functional/test_request_model.py",
)
FAILED = re.compile(r"^FAILED \S+::(\S+)", re.MULTILINE)


@dataclasses.dataclass(frozen=True, slots=True)
class Removal:
    """A mechanism, and the text whose change takes it out.

    `also` is a second module, text and change, where two checks stand behind
    each other.
    """

    name: str
    module: str
    old: str
    new: str
    also: tuple[str, str, str] | None = None


REMOVALS = (
    Removal(
        "claim of the request id",
        "write",
        "        return (claim, *req.statements)",
        "        return (request.Statement('SELECT 1'), *req.statements)",
    ),
    Removal(
        "tombstone before not run is told",
        "write",
        '(ledger.insert(subject, b"", ledger.RowState.TOMBSTONE),)',
        "(request.Statement('SELECT 1'),)",
    ),
    Removal(
        "fingerprint of the request",
        "write",
        "            row.fingerprint != ledger.fingerprint(work.req)",
        "            False",
    ),
    Removal(
        "wait for a majority",
        "acknowledge",
        "    return view.count_holders(held.position) >= "
        "len(view.states) // 2 + 1",
        "    return True",
    ),
    Removal(
        "settling of what an ended term committed",
        "acknowledge",
        "view.term > held.position.term",
        "False",
    ),
    Removal(
        "token checks of choice and answer",
        "read",
        "if after is not None and not reply.history.holds(after):",
        "if False:",
        also=(
            "choose",
            "    if work.req.after is not None and not history.holds("
            "work.req.after):",
            "    if False:",
        ),
    ),
    Removal(
        "doubt in what is told",
        "outcome",
        "    if error is None or isinstance(error, SETTLED):",
        "    if True:",
    ),
    Removal(
        "match of an answer with its request",
        "route",
        "        if forward.work.req.request_id != request_id:",
        "        if False:",
    ),
    Removal(
        "one connection for each transaction",
        "transact",
        "        if work.req.request_id in self._pinned:",
        "        if False:",
    ),
    Removal(
        "check of who goes on with a transaction",
        "route",
        "        if pin is None or pin.conn != work.origin.conn:",
        "        if pin is None:",
    ),
    Removal(
        "statements of a transaction run once",
        "transact",
        "        and work.req.request_id not in pinned.seen",
        "",
    ),
    Removal(
        "wait for what is in flight at a stop",
        "drain",
        "        if state.asked_at is None or state.in_flight > 0:",
        "        if state.asked_at is not None:\n"
        "            return True\n"
        "        if state.asked_at is None:",
    ),
    Removal(
        "leaving upstreams are no choice",
        "choose",
        "if u.name not in closed and not u.draining",
        "if True",
        also=(
            "gate",
            "if state is None or upstream in view.leaving:",
            "if state is None:",
        ),
    ),
)


def main(names: list[str]) -> int:
    """Runs the removals called `names`, or all; returns the exit code."""
    unseen = 0
    for removal in REMOVALS:
        if names and removal.name not in names:
            continue
        failed = try_without(removal)
        unseen += not failed
        print(f"{removal.name}: {len(failed)} fail", flush=True)
        for test in failed:
            print(f"    {test}", flush=True)
    return 1 if unseen else 0


def try_without(removal: Removal) -> list[str]:
    """Returns the tests that fail without a mechanism."""
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder) / "packages"
        shutil.copytree(PACKAGES, copy)
        sources = [str(path) for path in sorted(copy.glob("*/src"))]
        for edit in _edits(removal):
            _take_out(copy / "fescueshunt" / "src", *edit)
        env = {
            **os.environ,
            "PYTHONPATH": os.pathsep.join(sources),
            "FESCUESHUNT_NO_SHRINK": "1",
        }
        print(f"without {removal.name}", flush=True)
        done = subprocess.run(
            [sys.executable, "-m", "pytest", "-q", "-n", "3", *PROOFS],
            cwd=ROOT,
            env=env,
            capture_output=True,
            text=True,
            check=False,
        )
    failed = sorted(set(FAILED.findall(done.stdout)))
    if done.returncode and not failed:
        print(done.stdout[-2000:], flush=True)
    return failed


def _edits(removal: Removal) -> Iterator[tuple[str, str, str]]:
    yield removal.module, removal.old, removal.new
    if removal.also is not None:
        yield removal.also


def _take_out(sources: pathlib.Path, module: str, old: str, new: str) -> None:
    path = sources / "fescueshunt" / "request" / f"{module}.py"
    text = path.read_text()
    flat = re.escape(old.strip())
    pattern = re.compile(re.sub(r"(\\ )+", r"\\s+", flat))
    if len(pattern.findall(text)) != 1:
        raise SystemExit(f"{old}: not found once in {path.name}")
    path.write_text(pattern.sub(lambda _: new.strip(), text))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
