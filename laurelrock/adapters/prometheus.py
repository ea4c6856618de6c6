"""Metrics through the Prometheus exporter, for roles on larger VMs."""

from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk import resources
import prometheus_client

from laurelrock.adapters import metrics

__all__ = ["create_metrics"]


def create_metrics(vm: str, role: str) -> metrics.Metrics:
    """Returns the metrics of this process; may be called only once."""
    reader = prometheus.PrometheusMetricReader()
    resource = resources.Resource.create(
        {"service.name": f"laurelrock-{role}", "service.instance.id": vm}
    )
    provider = sdk.MeterProvider([reader], resource=resource)
    return metrics.Metrics(
        provider,
        provider.get_meter("laurelrock"),
        prometheus_client.generate_latest,
    )
