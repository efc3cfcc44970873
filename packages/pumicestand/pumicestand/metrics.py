"""OpenTelemetry metrics, exposed in the Prometheus text format.

Calls only update plain counters and histograms. The OpenTelemetry
instruments read these on each scrape, which keeps them off the call path.
"""

import collections

from opentelemetry.exporter import prometheus
import opentelemetry.metrics as api
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk import resources
import prometheus_client

from pumicestand import latencies

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST
LATENCY_PERCENTILES = (50, 90, 99, 99.9)


class Metrics:
    """The metrics of one process.

    :param process: name of the process
    :param call_latencies: `latencies.Latencies` of calls, None to keep them
        here
    """

    def __init__(self, process, call_latencies=None):
        # A registry of its own, so that another instance adds nothing to it.
        self._registry = prometheus_client.CollectorRegistry()
        self._reader = prometheus.PrometheusMetricReader(
            registry=self._registry
        )
        resource = resources.Resource({'service.instance.id': process})
        self._provider = sdk.MeterProvider([self._reader], resource)
        self._meter = self._provider.get_meter('pumicestand')
        self._latencies = call_latencies or latencies.Latencies()
        self._meter.create_observable_gauge(
            'pumicestand_call',
            callbacks=[lambda options: list(self._read_latencies())],
            unit='s',
            description='Time from request to end of answer, by percentile',
        )

    def create_counter(self, name, labels, description, unit=''):
        """Create a counter and return it as a `collections.Counter`.

        :param name: name of the metric
        :param labels: names of the labels; each key of the counter is a
            tuple with their values
        """
        counts = collections.Counter()
        self.export_counter(name, counts, labels, description, unit)
        return counts

    def export_counter(self, name, counts, labels, description, unit=''):
        """Export an existing `collections.Counter`.

        :param name: name of the metric
        :param labels: names of the labels; each key of the counter is a
            tuple with their values
        """
        self.observe_counter(name, lambda: counts, labels, description, unit)

    def observe_counter(self, name, read_counts, labels, description, unit=''):
        """Create a counter whose values are read on each scrape.

        :param read_counts: returns the counts by tuples with label values
        :param labels: names of the labels
        """
        self._meter.create_observable_counter(
            name,
            callbacks=[
                lambda options: list(_to_observations(read_counts(), labels))
            ],
            unit=unit,
            description=description,
        )

    def observe_gauge(self, name, read_values, labels, description):
        """Create a gauge with labels whose values are read on each scrape.

        :param read_values: returns numbers by tuples with label values
        :param labels: names of the labels
        """
        self._meter.create_observable_gauge(
            name,
            callbacks=[
                lambda options: list(_to_observations(read_values(), labels))
            ],
            description=description,
        )

    def create_gauge(self, name, read_value, description):
        """Create a gauge whose value is read on each scrape.

        :param name: name of the metric
        :param read_value: returns the value, a number; None for no sample
        """

        def observe(options):
            value = read_value()
            return [] if value is None else [api.Observation(value)]

        self._meter.create_observable_gauge(
            name, callbacks=[observe], description=description
        )

    def record_call(self, route, version, seconds):
        """Add one call to the latency histogram of a route and version.

        :param seconds: duration of the call
        """
        self._latencies.record(route, version, seconds)

    def _read_latencies(self):
        for (route, version), histogram in self._latencies.histograms.items():
            for percentile in LATENCY_PERCENTILES:
                seconds = histogram.get_value_at_percentile(percentile) / 1e6
                labels = {'percentile': str(percentile)}
                labels |= {'route': route, 'version': version}
                yield api.Observation(seconds, labels)

    def text(self):
        """Return all metrics in the Prometheus text format, as bytes.

        The library adds those of the interpreter and the process.
        """
        return (
            prometheus_client.generate_latest()
            + prometheus_client.generate_latest(self._registry)
        )

    def close(self):
        """Shut the meter provider down."""
        self._provider.shutdown()


def _to_observations(counts, labels):
    for key, count in counts.items():
        yield api.Observation(count, dict(zip(labels, key, strict=True)))
