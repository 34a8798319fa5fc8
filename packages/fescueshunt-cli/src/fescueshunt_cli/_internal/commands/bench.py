"""`fescueshunt bench`: runs one phase of a bench plan on running proxies."""

from __future__ import annotations

import pathlib

from fescueshunt_cli._internal.bench import load_generator, plan, samples
from fescueshunt_cli._internal.commands import base


class BenchCommand(base.Command):
    """The command `bench`, which generates the load of one phase."""

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
        """Generates an open-loop load and writes a sample for each request.

        Args:
          file: the INI file of the bench plan.
          phase: the name of the phase in the plan.
          out: the file that the samples are written to, as JSON lines.
          addresses: the addresses of the proxies, each as IP:port.
          databases: the names of the databases.
          seed: the seed for the choice of arrival times, sessions and proxies.
          number: the index of this generator, from 0.
          parts: the number of generators that share the load.
        """
        cfg = load_generator.GeneratorConfig(
            plan.load(file),
            phase,
            tuple(addresses),
            tuple(databases),
            seed,
            number,
            parts,
        )
        return base.run_async(_run(cfg, out))


async def _run(cfg: load_generator.GeneratorConfig, out: pathlib.Path) -> int:
    samples.write(out, await load_generator.run_phase(cfg))
    return base.SUCCESS
