"""Prometheus text format for OpenTelemetry metrics, without an exporter.

The OpenTelemetry Prometheus exporter takes 4 MB of memory, too much on a small
VM, while the text format needs only a few lines per metric.
"""

import collections.abc
import typing

from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk.metrics import export

from laurelrock.adapters import metrics

__all__ = ["create_metrics"]


def create_metrics() -> metrics.Metrics:
    """Returns the metrics of this process, rendered on each read."""
    reader = export.InMemoryMetricReader()
    provider = sdk.MeterProvider([reader], shutdown_on_exit=False)

    def render() -> bytes:
        data = reader.get_metrics_data()
        return "".join(_format_metrics(data)).encode()

    return metrics.Metrics(provider, provider.get_meter("laurelrock"), render)


def _format_metrics(data: typing.Any) -> collections.abc.Iterator[str]:
    """Yields the lines of all metrics."""
    if data is None:
        return
    for resource in data.resource_metrics:
        for scope in resource.scope_metrics:
            for metric in scope.metrics:
                yield from _format_metric(metric)


def _format_metric(metric: typing.Any) -> collections.abc.Iterator[str]:
    kind = type(metric.data).__name__.lower()
    kind = {"sum": "counter"}.get(kind, kind)
    yield f"# HELP {metric.name} {metric.description}\n"
    yield f"# TYPE {metric.name} {kind}\n"
    for point in metric.data.data_points:
        if kind == "histogram":
            yield from _format_histogram(metric.name, point)
        else:
            yield f"{metric.name}{_label_set(point.attributes)} {point.value}\n"


def _format_histogram(
    name: str, point: typing.Any
) -> collections.abc.Iterator[str]:
    total = 0
    bounds = [*point.explicit_bounds, "+Inf"]
    for bound, count in zip(bounds, point.bucket_counts, strict=True):
        total += count
        labels = _label_set({**point.attributes, "le": bound})
        yield f"{name}_bucket{labels} {total}\n"
    yield f"{name}_sum{_label_set(point.attributes)} {point.sum}\n"
    yield f"{name}_count{_label_set(point.attributes)} {point.count}\n"


def _label_set(attributes: collections.abc.Mapping[str, typing.Any]) -> str:
    if not attributes:
        return ""
    rows = ",".join(f'{key}="{value}"' for key, value in attributes.items())
    return f"{{{rows}}}"
