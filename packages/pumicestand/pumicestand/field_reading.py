"""Read data classes from decoded JSON that another writer sent.

It accepts and rejects what pydantic's models do, in their lax and their
strict mode, but for integers like ``0-5`` and ``0__5`` and for unpaired
surrogates, which it rejects. It takes a fiftieth of the time to import, and a
node needs it before its first call.

>>> Point = dataclasses.make_dataclass('Point', ['x', 'y'])
>>> point = RecordReader(Point, x=read_integer, y=read_integer)
>>> point.read({'x': 1, 'y': '2', 'z': None})
Point(x=1, y=2)
>>> point.read({'x': 1.5})
Traceback (most recent call last):
    ...
pumicestand.field_reading.FieldError: x: not an integer
"""

import dataclasses
import math
import re

_INTEGER = re.compile(r'[+-]?[0-9]+(_[0-9]+)*(\.0+)?')
# Python converts no longer texts to integers.
_MAX_INTEGER_LENGTH = 4300
# Floats from here on are no exact integers.
_MAX_INTEGRAL_FLOAT = 2.0**63
# The white space of Unicode; `str.strip` removes other characters as well.
_WHITE_SPACE = (
    '\t\n\v\f\r \x85\xa0\u1680\u2000\u2001\u2002\u2003\u2004\u2005'
    '\u2006\u2007\u2008\u2009\u200a\u2028\u2029\u202f\u205f\u3000'
)
_NUMBER = re.compile(
    r'[+-]?(([0-9]+\.?[0-9]*|\.[0-9]+)(e[+-]?[0-9]+)?|inf(inity)?|nan)',
    re.IGNORECASE,
)
# What the fields of messages between nodes hold; times are sent in
# milliseconds, in 32 bits.
MAX_PORT = 65_535
MAX_COUNT = 65_535
MAX_INTEGER = 2**63 - 1
MAX_SECONDS = 1_000_000.0
MAX_NAME_LENGTH = 256
# A name that the resolver can encode, or an address of IPv4 or IPv6.
HOST_PATTERN = (
    r'[0-9A-Za-z_-]{1,63}(\.[0-9A-Za-z_-]{1,63})*|[0-9A-Fa-f.]*:[0-9A-Fa-f:.]+'
)
# Names become parts of headers.
NAME_PATTERN = r'[^\x00-\x1f\x7f]*'
_TRUE_WORDS = frozenset(('1', 'on', 't', 'true', 'y', 'yes'))
_FALSE_WORDS = frozenset(('0', 'off', 'f', 'false', 'n', 'no'))


class FieldError(ValueError):
    """A field is missing or has an invalid value.

    :param detail: what is wrong with it
    :param field: name of the field, empty for the value as a whole
    """

    def __init__(self, detail, field=''):
        super().__init__(f'{field}: {detail}' if field else detail)
        self.detail = detail
        self.field = field


def read_text(value):
    """Return a value that has to be a string, without unpaired surrogates."""
    if type(value) is not str:
        raise FieldError('not a string')
    if not value.isascii():
        try:
            value.encode()
        except UnicodeEncodeError as error:
            raise FieldError('not text in Unicode') from error
    return value


def read_integer(value):
    """Return a value as an integer; it may be written in another type."""
    if type(value) is int:
        return value
    if type(value) is bool:
        return int(value)
    if type(value) is float and abs(value) < _MAX_INTEGRAL_FLOAT:
        if value.is_integer():
            return int(value)
    elif type(value) is str:
        text = value.strip(_WHITE_SPACE)
        digits = text.partition('.')[0]
        if _INTEGER.fullmatch(text) and len(digits) <= _MAX_INTEGER_LENGTH:
            return int(digits)
    raise FieldError('not an integer')


def read_number(value):
    """Return a value as a float; it may be written in another type."""
    if type(value) is float:
        return value
    if type(value) in (int, bool):
        return _to_float(value)
    if type(value) is str:
        text = value.strip(_WHITE_SPACE)
        if '_' in value:
            text = _remove_underscores(value)
        if _NUMBER.fullmatch(text):
            return float(text)
    raise FieldError('not a number')


def read_finite(value):
    """Return a value as a float that is neither infinite nor no number."""
    number = read_number(value)
    if not math.isfinite(number):
        raise FieldError('not a finite number')
    return number


def read_boolean(value):
    """Return a value as a boolean; it may be written in another type."""
    if type(value) is bool:
        return value
    if type(value) is str:
        word = value.lower()
        if word in _TRUE_WORDS:
            return True
        if word in _FALSE_WORDS:
            return False
    if type(value) in (int, float) and value in (0, 1):
        return bool(value)
    raise FieldError('not a boolean')


def read_strict_integer(value):
    """Return a value that has to be an integer."""
    if type(value) is not int:
        raise FieldError('not an integer')
    return value


def read_strict_number(value):
    """Return a value that has to be a number, as a float."""
    if type(value) not in (int, float):
        raise FieldError('not a number')
    return _to_float(value)


def _remove_underscores(text):
    """Return a text without the underscores between its characters."""
    if text.startswith('_') or text.endswith('_') or '__' in text:
        return ''
    return text.replace('_', '')


def _to_float(value):
    try:
        return float(value)
    except OverflowError as error:
        raise FieldError('not a number') from error


def member_of(enumeration):
    """Return a function that reads a member of an `enum.IntEnum`."""

    def read(value):
        try:
            return enumeration(read_integer(value))
        except ValueError as error:
            raise FieldError(f'not a {enumeration.__name__}') from error

    return read


def one_of(*texts):
    """Return a function that accepts only the given strings."""

    def read(value):
        if type(value) is not str or value not in texts:
            raise FieldError(f'not one of {", ".join(texts)}')
        return value

    return read


def at_least(minimum, read_value):
    """Return a function that also rejects values below a minimum."""

    def read(value):
        result = read_value(value)
        if not result >= minimum:
            raise FieldError(f'not at least {minimum}')
        return result

    return read


def at_most(maximum, read_value):
    """Return a function that also rejects values above a maximum."""

    def read(value):
        result = read_value(value)
        if not result <= maximum:
            raise FieldError(f'not at most {maximum}')
        return result

    return read


def not_empty(value):
    """Return a value that has to be a string of at least one character."""
    if not read_text(value):
        raise FieldError('empty')
    return value


def matching(pattern, read_value):
    """Return a function that also rejects texts that a pattern does not match.

    :param pattern: regular expression of the whole text
    """
    expression = re.compile(pattern)

    def read(value):
        result = read_value(value)
        if not expression.fullmatch(result):
            raise FieldError('not of the expected form')
        return result

    return read


def more_than(bound, read_value):
    """Return a function that also rejects a bound and values below it."""

    def read(value):
        result = read_value(value)
        if not result > bound:
            raise FieldError(f'not more than {bound}')
        return result

    return read


def at_most_long(length, read_value):
    """Return a function that also rejects texts longer than a length."""

    def read(value):
        result = read_value(value)
        if len(result) > length:
            raise FieldError(f'longer than {length} characters')
        return result

    return read


read_port = at_least(1, at_most(MAX_PORT, read_integer))
read_count = at_least(0, at_most(MAX_COUNT, read_integer))
# A count, a sequence or a time in milliseconds that only this node calculates
# with.
read_natural = at_least(0, at_most(MAX_INTEGER, read_integer))
read_strict_natural = at_least(0, at_most(MAX_INTEGER, read_strict_integer))
read_seconds = at_least(0, at_most(MAX_SECONDS, read_finite))
read_host = at_most_long(MAX_NAME_LENGTH, matching(HOST_PATTERN, read_text))
# A name that may be empty where it is not known.
read_label = at_most_long(MAX_NAME_LENGTH, matching(NAME_PATTERN, read_text))


def read_name(value):
    """Return a value that has to be a name, not empty and not too long."""
    return not_empty(read_label(value))


def optional(read_value):
    """Return a function that also accepts None."""

    def read(value):
        return None if value is None else read_value(value)

    return read


def each(read_value):
    """Return a function that reads each item of a list."""

    def read(value):
        if type(value) is not list:
            raise FieldError('not a list')
        return [read_value(item) for item in value]

    return read


class RecordReader:
    """Reads a data class from a mapping; further fields are ignored.

    A field without a default value in the data class is required.

    :param record_type: the data class
    :param aliases: names of fields in the mapping that differ from those in
        the data class
    :param readers: for each field a function that returns its value or
        raises `FieldError`
    """

    def __init__(self, record_type, aliases=None, **readers):
        aliases = aliases or {}
        required = {
            field.name
            for field in dataclasses.fields(record_type)
            if field.default is dataclasses.MISSING
        }
        self._record_type = record_type
        self._fields = [
            (name, aliases.get(name, name), read_value, name in required)
            for name, read_value in readers.items()
        ]

    def read(self, data):
        """Return the data class that decoded JSON holds.

        :raises FieldError: naming the first invalid field
        """
        if type(data) is not dict:
            raise FieldError('not a mapping')
        values = {}
        for name, alias, read_value, is_required in self._fields:
            if alias in data:
                try:
                    values[name] = read_value(data[alias])
                except FieldError as error:
                    field = f'{alias}.{error.field}' if error.field else alias
                    raise FieldError(error.detail, field) from error
            elif is_required:
                raise FieldError('missing', alias)
        return self._record_type(**values)
