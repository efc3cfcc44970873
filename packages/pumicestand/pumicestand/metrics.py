"""Metrics by OpenTelemetry, read by a scraper.

The hot path only adds to plain numbers and histograms; the instruments read
them when a scraper asks.
"""

import collections

import hdrh.histogram
from opentelemetry.exporter import prometheus
import opentelemetry.metrics as api
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk import resources
import prometheus_client

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST
MAX_MICROSECONDS = 60_000_000
SIGNIFICANT_DIGITS = 1
PERCENTILES = (50, 90, 99, 99.9)


class Metrics:
    """The instruments of one process.

    :param process: name of the process
    """

    def __init__(self, process):
        self._reader = prometheus.PrometheusMetricReader()
        resource = resources.Resource({'service.instance.id': process})
        self._provider = sdk.MeterProvider([self._reader], resource)
        self._meter = self._provider.get_meter('pumicestand')
        self._latencies = {}
        self._meter.create_observable_gauge(
            'pumicestand_call',
            callbacks=[lambda options: list(self._read_latencies())],
            unit='s',
            description='Time from request to end of answer, by percentile',
        )

    def create_counter(self, name, labels, description, unit=''):
        """Return a `collections.Counter` that a scraper reads.

        :param labels: names for the parts of the counter's keys, tuples
        """
        counts = collections.Counter()
        self.export_counter(name, counts, labels, description, unit)
        return counts

    def export_counter(self, name, counts, labels, description, unit=''):
        """Have a scraper read a `collections.Counter` that exists already.

        :param labels: names for the parts of the counter's keys, tuples
        """
        self._meter.create_observable_counter(
            name,
            callbacks=[lambda options: list(_observe(counts, labels))],
            unit=unit,
            description=description,
        )

    def create_gauge(self, name, read, description):
        """Have a function read when a scraper asks.

        :param read: returns a number
        """
        self._meter.create_observable_gauge(
            name,
            callbacks=[lambda options: [api.Observation(read())]],
            description=description,
        )

    def record_call(self, route, version, seconds):
        """Add the time of one call."""
        histogram = self._latencies.get((route, version))
        if histogram is None:
            histogram = hdrh.histogram.HdrHistogram(
                1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS
            )
            self._latencies[(route, version)] = histogram
        histogram.record_value(max(1, int(seconds * 1e6)))

    def _read_latencies(self):
        for (route, version), histogram in self._latencies.items():
            for percentile in PERCENTILES:
                value = histogram.get_value_at_percentile(percentile) / 1e6
                labels = {'percentile': str(percentile)}
                labels |= {'route': route, 'version': version}
                yield api.Observation(value, labels)

    def text(self):
        """Return all metrics in the scraper's text format, as bytes."""
        return prometheus_client.generate_latest()

    def close(self):
        """Stop the provider."""
        self._provider.shutdown()


def _observe(counts, labels):
    for key, count in counts.items():
        yield api.Observation(count, dict(zip(labels, key, strict=True)))
