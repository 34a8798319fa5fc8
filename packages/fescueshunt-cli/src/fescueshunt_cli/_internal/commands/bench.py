"""`fescueshunt bench`: one phase of a bench plan against running proxies."""

from __future__ import annotations

import pathlib

from fescueshunt_cli._internal.bench import drive, plan, samples
from fescueshunt_cli._internal.commands import base


class BenchCommand(base.Command):
    """Offers the load of one phase and writes what became of it."""

    name = "bench"

    def run(
        self,
        file: pathlib.Path,
        phase: str,
        out: pathlib.Path,
        *,
        addresses: list[str],
        databases: list[str],
        seed: int = 1,
        number: int = 0,
        parts: int = 1,
    ) -> int:
        """Offers an open-loop load and writes a sample for each request.

        Args:
          file: the INI file of the bench plan.
          phase: the phase of the plan.
          out: where the samples go, as JSON lines.
          addresses: the proxies, each as IP number:port.
          databases: the databases.
          seed: of arrivals, sessions and proxies.
          number: which of the generators this is, from 0.
          parts: how many generators share the load.
        """
        cfg = drive.Generator(
            plan.load(file),
            phase,
            tuple(addresses),
            tuple(databases),
            seed,
            number,
            parts,
        )
        return base.finish(_run(cfg, out))


async def _run(cfg: drive.Generator, out: pathlib.Path) -> int:
    samples.write(out, await drive.run(cfg))
    return base.SUCCESS
