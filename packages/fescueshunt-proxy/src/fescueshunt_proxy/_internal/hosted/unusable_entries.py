"""Reports the entries that name no upstream, each of them once."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fescueshunt_proxy._internal.hosted import measures


class UnusableEntries:
    """The entries that can't be used, and why.

    An entry is logged when it becomes unusable, when the reason changes, and
    when it can be used again. Its writer may write it over and over.
    """

    def __init__(self, metrics_recorder: measures.HostMetrics) -> None:
        self._metrics = metrics_recorder
        self._logger = structlog.get_logger(__name__)
        self._problems: dict[str, str] = {}

    def replace(self, problems: Mapping[str, str]) -> None:
        """Records a full listing of the problems, by upstream."""
        for upstream in self._problems.keys() - problems.keys():
            self.update(upstream, "")
        for upstream, problem in problems.items():
            self.update(upstream, problem)

    def update(self, upstream: str, problem: str) -> None:
        """Records the problem of one entry, "" if it has none or is gone."""
        if self._problems.get(upstream, "") == problem:
            return
        if problem:
            self._problems[upstream] = problem
            self._metrics.count("entries_unreadable")
            self._logger.info(
                "entry_unreadable", upstream=upstream, problem=problem
            )
        else:
            del self._problems[upstream]
            self._logger.info("entry_mended", upstream=upstream)

    def record_skipped(self, count: int) -> None:
        """Records the items that were left out of one answer of the store."""
        if count:
            self._metrics.count("entries_unreadable", count)
            self._logger.info("entries_unreadable", count=count)
