"""Tests that fields are read as pydantic's models read them."""

import enum
import math
import typing

import pydantic
import pytest

from pumicestand import field_reading

VALUES = (
    *(None, True, False, [], {}, [1], {'x': 1}, (1,)),
    *(0, 1, -1, 2, 65535, 65536, 2**63, 2**64, 10**400),
    *(0.0, -0.0, 1.0, 1.5, -1.0, 1e18, 1e19, 2.0**63, -(2.0**63), 1e300),
    *(math.inf, -math.inf, math.nan),
    *('', ' ', 'x', '1', ' 1 ', '\t1\n', '\x1f1', '\xa01', '\u0661'),
    *('+1', '-1', '++1', '+-1', '- 1', '0x1', '0b1', '01', '00', '-0'),
    *('1_0', '1__0', '_1', '1_', ' 1_0', '1_0.5', '1_.5', '._5', '1._0'),
    *('1.0', '1.', '1.00', '1.50', '.0', '.5', '1.0 ', '+1.0', '1,5'),
    *('1e3', '1E3', '1e', 'e1', '1e400', '1e-400', '1.0e0', '1e1_0'),
    *('inf', 'Infinity', '-inf', '+inf', 'infin', 'nan', '-nan', 'NaN'),
    *('9' * 4300, '9' * 4301, '9' * 400, '1.' + '0' * 4300),
    *('true', 'TRUE', 'on', 'Off', 'y', 'N', 't', 'f', 'yes', ' true', 'ı'),
    *('2', '10', 'running', 'Running', '\u00e9', '\ud800', 'x\udcff'),
)


class Level(enum.IntEnum):
    LOW = 0
    HIGH = 1


def check_encodable(text):
    try:
        text.encode()
    except UnicodeEncodeError as error:
        raise ValueError('not text') from error
    return text


# Pydantic accepts unpaired surrogates in strings that are not from JSON.
Text = typing.Annotated[str, pydantic.AfterValidator(check_encodable)]


def adapt(type_, **config):
    config = pydantic.ConfigDict(**config) if config else None
    return pydantic.TypeAdapter(type_, config=config).validate_python


def bounded(type_, **bounds):
    return typing.Annotated[type_, pydantic.Field(**bounds)]


def attempt(read_value, value):
    """Return the text of the value that was read, None if it is rejected."""
    try:
        return repr(read_value(value))
    except (pydantic.ValidationError, field_reading.FieldError):
        return None


integer, number = field_reading.read_integer, field_reading.read_number


@pytest.mark.parametrize(
    ('read_value', 'reference'),
    [
        (field_reading.read_text, adapt(Text)),
        (integer, adapt(int)),
        (number, adapt(float)),
        (field_reading.read_boolean, adapt(bool)),
        (field_reading.read_strict_integer, adapt(int, strict=True)),
        (field_reading.read_strict_number, adapt(float, strict=True)),
        (field_reading.not_empty, adapt(bounded(str, min_length=1))),
        (field_reading.at_least(0, number), adapt(bounded(float, ge=0))),
        (field_reading.more_than(0, number), adapt(bounded(float, gt=0))),
        (field_reading.at_most(1, integer), adapt(bounded(int, le=1))),
        (field_reading.optional(integer), adapt(int | None)),
        (field_reading.member_of(Level), adapt(Level)),
        (
            field_reading.one_of('running', 'x'),
            adapt(typing.Literal['running', 'x']),
        ),
    ],
)
@pytest.mark.parametrize('value', VALUES, ids=lambda value: repr(value)[:12])
def test_value_is_accepted_or_rejected_as_by_pydantic(
    read_value, reference, value
):
    """An invalid setting or record must not get into the node."""
    assert attempt(read_value, value) == attempt(reference, value)


@pytest.mark.parametrize('value', ['0-5', '0__5', '000-0'])
def test_malformed_integers_that_pydantic_accepts_are_rejected(value):
    assert attempt(integer, value) is None


def test_list_is_read_item_by_item():
    read_value = field_reading.each(integer)
    assert read_value([1, '2']) == [1, 2]
    for value in (None, 'x', {}, {1: 2}, [1, 'x'], 3):
        assert attempt(read_value, value) is None
