"""Tests of the error codes: each is on the operators' page."""

import pathlib

import pytest

from pumicestand import errors
from pumicestand import refusals

PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'operations' / 'errors.md'


@pytest.mark.parametrize(
    'code', [*errors.Code, *refusals.CallCode], ids=lambda code: code.value
)
def test_each_code_is_documented(code):
    assert f'`{code.value}`' in PAGE.read_text(encoding='utf-8')


def test_an_error_carries_code_step_peer_and_remedy():
    error = errors.PumicestandError(
        errors.Code.CONFLICT, 'why', step='write', peer='store', remedy='do'
    )
    assert str(error) == 'conflict: why (step write, peer store); do'
