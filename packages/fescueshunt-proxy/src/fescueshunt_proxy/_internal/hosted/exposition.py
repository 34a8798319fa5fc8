"""Metrics as text in the exposition format that scrapers read.

Source: the Prometheus text format, version 0.0.4. Names are kept with
their labels, as `name{label="value"}`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from hdrh import histogram

    from fescueshunt_proxy._internal import metrics

PREFIX = "fescueshunt_"
QUANTILES = (0.5, 0.9, 0.99, 1.0)
US_PER_S = 1_000_000
_ESCAPES = str.maketrans({"\\": r"\\", '"': r"\"", "\n": r"\n"})


def labelled(name: str, **labels: object) -> str:
    """Returns the name of a metric with its labels."""
    pairs = (
        f'{label}="{str(value).translate(_ESCAPES)}"'
        for label, value in labels.items()
    )
    return f"{name}{{{','.join(pairs)}}}" if labels else name


def render(measured: metrics.Metrics, gauges: Mapping[str, float]) -> str:
    """Returns counters, gauges and latencies as text."""
    lines = [
        *_simple("counter", "_total", measured.counters),
        *_simple("gauge", "", gauges),
        *_summaries(measured.latencies),
    ]
    return "".join(f"{line}\n" for line in lines)


def _simple(
    kind: str, suffix: str, values: Mapping[str, float]
) -> Iterator[str]:
    told = ""
    for key in sorted(values):
        name, labels = _split(key)
        if name != told:
            told = name
            yield f"# TYPE {PREFIX}{name}{suffix} {kind}"
        yield f"{PREFIX}{name}{suffix}{_braced(labels)} {values[key]:g}"


def _summaries(
    latencies: Mapping[str, histogram.HdrHistogram],
) -> Iterator[str]:
    told = ""
    for key in sorted(latencies):
        name, labels = _split(key)
        seen = latencies[key]
        full = f"{PREFIX}{name}_seconds"
        if name != told:
            told = name
            yield f"# TYPE {full} summary"
        for quantile in QUANTILES:
            value_s = seen.get_value_at_percentile(quantile * 100) / US_PER_S
            own = [*labels, f'quantile="{quantile}"']
            yield f"{full}{_braced(own)} {value_s:g}"
        count = seen.get_total_count()
        sum_s = seen.get_mean_value() * count / US_PER_S
        yield f"{full}_sum{_braced(labels)} {sum_s:g}"
        yield f"{full}_count{_braced(labels)} {count}"


def _split(key: str) -> tuple[str, list[str]]:
    name, _, rest = key.partition("{")
    return name, [rest.removesuffix("}")] if rest else []


def _braced(labels: list[str]) -> str:
    return f"{{{','.join(labels)}}}" if labels else ""
