"""Renders metrics in the Prometheus text exposition format.

Source: the Prometheus text format, version 0.0.4. Metrics are keyed by their
name with its labels, as `name{label="value"}`.
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


def format_name(name: str, **labels: object) -> str:
    """Returns a metric's name with its labels, escaped for the text format."""
    pairs = (
        f'{label}="{str(value).translate(_ESCAPES)}"'
        for label, value in labels.items()
    )
    return f"{name}{{{','.join(pairs)}}}" if labels else name


def render(
    metrics_registry: metrics.Metrics, gauges: Mapping[str, float]
) -> str:
    """Returns counters, gauges and latency summaries in the text format."""
    lines = [
        *_render_samples("counter", "_total", metrics_registry.counters),
        *_render_samples("gauge", "", gauges),
        *_render_summaries(metrics_registry.latencies),
    ]
    return "".join(f"{line}\n" for line in lines)


def _render_samples(
    kind: str, suffix: str, values: Mapping[str, float]
) -> Iterator[str]:
    last_name = ""
    for key in sorted(values):
        name, labels = _split_key(key)
        if name != last_name:
            last_name = name
            yield f"# TYPE {PREFIX}{name}{suffix} {kind}"
        yield f"{PREFIX}{name}{suffix}{_format_labels(labels)} {values[key]:g}"


def _render_summaries(
    latencies: Mapping[str, histogram.HdrHistogram],
) -> Iterator[str]:
    last_name = ""
    for key in sorted(latencies):
        name, labels = _split_key(key)
        latency_histogram = latencies[key]
        metric_name = f"{PREFIX}{name}_seconds"
        if name != last_name:
            last_name = name
            yield f"# TYPE {metric_name} summary"
        for quantile in QUANTILES:
            value_s = (
                latency_histogram.get_value_at_percentile(quantile * 100)
                / US_PER_S
            )
            quantile_labels = [*labels, f'quantile="{quantile}"']
            yield f"{metric_name}{_format_labels(quantile_labels)} {value_s:g}"
        count = latency_histogram.get_total_count()
        sum_s = latency_histogram.get_mean_value() * count / US_PER_S
        yield f"{metric_name}_sum{_format_labels(labels)} {sum_s:g}"
        yield f"{metric_name}_count{_format_labels(labels)} {count}"


def _split_key(key: str) -> tuple[str, list[str]]:
    name, _, label_text = key.partition("{")
    return name, [label_text.removesuffix("}")] if label_text else []


def _format_labels(labels: list[str]) -> str:
    return f"{{{','.join(labels)}}}" if labels else ""
