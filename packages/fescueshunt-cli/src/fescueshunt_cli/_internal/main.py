"""Dispatches the command line of `fescueshunt` to its commands."""

from __future__ import annotations

import defopt

from fescueshunt_cli._internal.commands import (
    ask,
    bench,
    bootstrap,
    explain,
    host,
    load,
    metrics,
    outcome,
    prompt,
    query,
    script,
    trace,
)

COMMANDS = (
    ask.AskCommand(),
    script.ScriptCommand(),
    prompt.PromptCommand(),
    metrics.MetricsCommand(),
    bootstrap.BootstrapCommand(),
    query.QueryCommand(),
    outcome.OutcomeCommand(),
    load.LoadCommand(),
    trace.TraceCommand(),
    explain.ExplainCommand(),
    host.HostCommand(),
    bench.BenchCommand(),
)


def main(argv: list[str]) -> int:
    """Parses `argv`, runs the command and returns the exit code."""
    return defopt.run(
        {command.name: command.run for command in COMMANDS},
        argv=argv,
    )
