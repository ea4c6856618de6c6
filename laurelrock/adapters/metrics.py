"""Metrics of a process, recorded with OpenTelemetry.

The modules `prometheus` and `exposition` render them in the Prometheus text
format.
"""

import collections.abc
import typing

from opentelemetry import metrics
from opentelemetry.sdk import metrics as sdk

__all__ = ["Metrics"]

#: Upper bounds of the latency buckets, in milliseconds.
LATENCY_BUCKETS_MS = [
    *(1, 2, 5, 10, 20, 35, 50, 75),
    *(100, 150, 200, 350, 500, 750),
    *(1000, 2000, 5000, 10_000),
]

ValueReader = collections.abc.Callable[[], float]
ValuesReader = collections.abc.Callable[[], dict[str, float]]
Observer = collections.abc.Callable[
    [metrics.CallbackOptions], list[metrics.Observation]
]


class Metrics(typing.NamedTuple):
    """Meter of this process, with functions that register instruments.

    Attributes:
        provider: Provider of the meter.
        meter: Meter that creates the instruments.
        render: Function that returns all metrics in the Prometheus text
            format.
    """

    provider: sdk.MeterProvider
    meter: metrics.Meter
    render: collections.abc.Callable[[], bytes]

    def counter(self, name: str, read: ValueReader, description: str) -> None:
        """Registers a counter whose value is read on each export."""
        observe = _observe_value(read)
        self.meter.create_observable_counter(name, [observe], "1", description)

    def counters(self, name: str, read: ValuesReader, description: str) -> None:
        """Registers a counter whose values are read on each export.

        The key of each value becomes its label `kind`.
        """
        observe = _observe_by_kind(read)
        self.meter.create_observable_counter(name, [observe], "1", description)

    def gauge(self, name: str, read: ValueReader, description: str) -> None:
        """Registers a gauge whose value is read on each export."""
        observe = _observe_value(read)
        self.meter.create_observable_gauge(name, [observe], "1", description)

    def gauges(self, name: str, read: ValuesReader, description: str) -> None:
        """Registers a gauge whose values are read on each export.

        The key of each value becomes its label `kind`.
        """
        observe = _observe_by_kind(read)
        self.meter.create_observable_gauge(name, [observe], "1", description)

    def histogram(self, name: str, description: str) -> metrics.Histogram:
        """Creates a histogram of latencies, in milliseconds."""
        return self.meter.create_histogram(
            name,
            "ms",
            description,
            explicit_bucket_boundaries_advisory=LATENCY_BUCKETS_MS,
        )

    def export(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return self.render()


def _observe_value(read: ValueReader) -> Observer:
    """Returns a callback that observes one value."""

    def observe(options: metrics.CallbackOptions) -> list[metrics.Observation]:
        return [metrics.Observation(read())]

    return observe


def _observe_by_kind(read: ValuesReader) -> Observer:
    """Returns a callback that observes one value per kind."""

    def observe(options: metrics.CallbackOptions) -> list[metrics.Observation]:
        return [
            metrics.Observation(value, {"kind": kind})
            for kind, value in read().items()
        ]

    return observe
