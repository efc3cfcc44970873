"""Parses and formats values with units, as operators write them."""

import re

_SECONDS_PER_UNIT = {'ms': 0.001, 's': 1.0, 'm': 60.0, 'h': 3600.0}
_DURATION = re.compile(r'(\d+(?:\.\d+)?)(ms|s|m|h)')
_PERCENT = re.compile(r'(\d+(?:\.\d+)?)%')
_FACTOR = re.compile(r'(\d+(?:\.\d+)?)x')


def parse_duration(text):
    """Return a duration such as ``250ms`` in seconds.

    :raises ValueError: if the text is no number with a unit of time

    >>> parse_duration('250ms')
    0.25
    >>> parse_duration('10m')
    600.0
    >>> parse_duration('3')
    Traceback (most recent call last):
    ...
    ValueError: '3' needs a unit: ms, s, m or h
    """
    match = _DURATION.fullmatch(str(text).strip())
    if match is None:
        raise ValueError(f'{text!r} needs a unit: ms, s, m or h')
    return float(match[1]) * _SECONDS_PER_UNIT[match[2]]


def parse_share(text):
    """Return a percentage such as ``2.5%`` as a fraction.

    :raises ValueError: if the text is no percentage from 0% to 100%

    >>> parse_share('2.5%')
    0.025
    """
    match = _PERCENT.fullmatch(str(text).strip())
    if match is None:
        raise ValueError(f'{text!r} needs a unit: %')
    percent = float(match[1])
    if percent > 100:
        raise ValueError(f'{text!r} is above 100%')
    return percent / 100


def parse_factor(text):
    """Return a factor such as ``2x`` as a number.

    :raises ValueError: if the text is no number followed by ``x``

    >>> parse_factor('1.5x')
    1.5
    """
    match = _FACTOR.fullmatch(str(text).strip())
    if match is None:
        raise ValueError(f'{text!r} needs a unit: x')
    return float(match[1])


def format_duration(seconds):
    """Return a duration as text that `parse_duration` accepts.

    The unit is the largest that gives a whole number, else milliseconds.

    :param seconds: the duration

    >>> format_duration(0.25), format_duration(600.0), format_duration(90.0)
    ('250ms', '10m', '90s')
    """
    for unit in ('h', 'm', 's'):
        count = seconds / _SECONDS_PER_UNIT[unit]
        if count >= 1 and count == int(count):
            return f'{int(count)}{unit}'
    return f'{seconds * 1000:g}ms'


def format_share(fraction):
    """Return a fraction as a percentage that `parse_share` accepts.

    >>> format_share(0.025)
    '2.5%'
    """
    return f'{fraction * 100:.10g}%'
