"""Tests of the errors and of the documentation of their codes."""

import pathlib

import pytest

from pumicestand import errors
from pumicestand import refusals

ERRORS_PAGE = (
    pathlib.Path(__file__).parents[2] / 'docs' / 'operations' / 'errors.md'
)


@pytest.mark.parametrize(
    'code', [*errors.Code, *refusals.CallCode], ids=lambda code: code.value
)
def test_each_code_is_on_the_page_for_operators(code):
    assert f'`{code.value}`' in ERRORS_PAGE.read_text(encoding='utf-8')


def test_text_holds_code_message_step_peer_and_remedy():
    error = errors.PumicestandError(
        errors.Code.CONFLICT, 'why', step='write', peer='store', remedy='do'
    )
    assert str(error) == 'conflict: why (step write, peer store); do'
