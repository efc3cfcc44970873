"""The pace of a target: its speed and its slow periods."""

import numpy


class Pace:
    """Says when a target has done a given work.

    :param speed: multiple of the usual speed
    :param slowness: the `deployments.Slowness`
    :param duration_s: time for which slow periods are generated
    :param rng: a `numpy.random.Generator`
    """

    def __init__(self, speed, slowness, duration_s, rng):
        self._speed = speed
        self._factor = slowness.factor
        # Alternating starts of slow and of normal periods.
        self._changes = []
        if slowness.share <= 0:
            return
        mean_pause_s = slowness.length_s * (1 / slowness.share - 1)
        time = float(rng.exponential(mean_pause_s))
        while time < duration_s:
            self._changes += [time, time + slowness.length_s]
            time += slowness.length_s + float(rng.exponential(mean_pause_s))

    def finish_time(self, start, work_s):
        """Return the time at which work that starts now is done.

        :param work_s: time that a target of the usual speed takes
        """
        index = int(numpy.searchsorted(self._changes, start, side='right'))
        left_s = work_s / self._speed
        while True:
            factor = self._factor if index % 2 else 1.0
            end = (
                self._changes[index]
                if index < len(self._changes)
                else float('inf')
            )
            if start + left_s * factor <= end:
                return start + left_s * factor
            left_s -= (end - start) / factor
            start = end
            index += 1
