"""Histograms of the durations of calls."""

import hdrh.histogram

MAX_LATENCY_US = 60_000_000
# Precision of the histograms, in decimal digits.
SIGNIFICANT_DIGITS = 1


class Latencies:
    """The durations of calls by route and version.

    ``histograms`` maps (route, version) to a histogram of microseconds.
    """

    def __init__(self):
        self.histograms = {}

    def record(self, route, version, seconds):
        """Add the duration of one call.

        :param version: version of the service, empty if it does not matter
        """
        histogram = self.histograms.get((route, version))
        if histogram is None:
            histogram = hdrh.histogram.HdrHistogram(
                1, MAX_LATENCY_US, SIGNIFICANT_DIGITS
            )
            self.histograms[(route, version)] = histogram
        histogram.record_value(max(1, int(seconds * 1e6)))
