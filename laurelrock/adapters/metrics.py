"""Metrics: OpenTelemetry, read by operators in the Prometheus format.

How they are rendered is up to `prometheus` and `exposition`.
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

Reader = collections.abc.Callable[[], float]
RowsReader = collections.abc.Callable[[], dict[str, float]]
Observer = collections.abc.Callable[
    [metrics.CallbackOptions], list[metrics.Observation]
]


class Metrics(typing.NamedTuple):
    """The meter of this process.

    Attributes:
        provider: Of the meter.
        meter: Creates the instruments.
        render: Returns all metrics in the Prometheus text format.
    """

    provider: sdk.MeterProvider
    meter: metrics.Meter
    render: collections.abc.Callable[[], bytes]

    def counter(self, name: str, read: Reader, meaning: str) -> None:
        """Registers a counter whose value is read when it is exported."""
        observe = _single(read)
        self.meter.create_observable_counter(name, [observe], "1", meaning)

    def counters(self, name: str, read: RowsReader, meaning: str) -> None:
        """Registers a family of counters, one a kind."""
        observe = _by_kind(read)
        self.meter.create_observable_counter(name, [observe], "1", meaning)

    def gauge(self, name: str, read: Reader, meaning: str) -> None:
        """Registers a gauge whose value is read when it is exported."""
        observe = _single(read)
        self.meter.create_observable_gauge(name, [observe], "1", meaning)

    def gauges(self, name: str, read: RowsReader, meaning: str) -> None:
        """Registers a family of gauges, one a kind."""
        observe = _by_kind(read)
        self.meter.create_observable_gauge(name, [observe], "1", meaning)

    def histogram(self, name: str, meaning: str) -> metrics.Histogram:
        """Creates a histogram of latencies in milliseconds."""
        return self.meter.create_histogram(
            name,
            "ms",
            meaning,
            explicit_bucket_boundaries_advisory=LATENCY_BUCKETS_MS,
        )

    def export(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return self.render()


def _single(read: Reader) -> Observer:
    """Returns a callback that observes one value."""

    def observe(options: metrics.CallbackOptions) -> list[metrics.Observation]:
        return [metrics.Observation(read())]

    return observe


def _by_kind(read: RowsReader) -> Observer:
    """Returns a callback that observes one value a kind."""

    def observe(options: metrics.CallbackOptions) -> list[metrics.Observation]:
        return [
            metrics.Observation(value, {"kind": kind})
            for kind, value in read().items()
        ]

    return observe
