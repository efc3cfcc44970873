"""Metrics by OpenTelemetry, read by a scraper."""

from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk import resources
import prometheus_client

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST


class Metrics:
    """The instruments of one process.

    :param process: name of the process
    """

    def __init__(self, process):
        self._reader = prometheus.PrometheusMetricReader()
        resource = resources.Resource({'service.instance.id': process})
        self._provider = sdk.MeterProvider([self._reader], resource)
        meter = self._provider.get_meter('pumicestand')
        self.calls = meter.create_counter(
            'pumicestand_calls', description='Calls answered by targets'
        )
        self.refusals = meter.create_counter(
            'pumicestand_refusals', description='Calls refused, by code'
        )
        self.call_seconds = meter.create_histogram(
            'pumicestand_call',
            unit='s',
            description='Time from request to the end of the answer',
        )
        self.control_bytes = meter.create_counter(
            'pumicestand_control',
            unit='By',
            description='Bytes between nodes, by direction',
        )
        self.events = meter.create_counter(
            'pumicestand_events', description='Events, by kind'
        )
        self._meter = meter

    def observe(self, name, read, description):
        """Have a gauge read by a function when a scraper asks.

        :param read: returns a number
        """
        from opentelemetry import metrics as api

        self._meter.create_observable_gauge(
            name,
            callbacks=[lambda options: [api.Observation(read())]],
            description=description,
        )

    def text(self):
        """Return all metrics in the scraper's text format, as bytes."""
        return prometheus_client.generate_latest()

    def close(self):
        """Stop the provider."""
        self._provider.shutdown()
