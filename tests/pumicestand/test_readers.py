"""Tests of reading and validating documents."""

import pytest

from pumicestand import errors
from pumicestand import readers

VALID_DOCUMENT = """\
schema: pumicestand/v1
services:
  till:
    versions: [v1, v2]
    current: v1
    resources: [ledger]
    limits: {slots: 20, connections: 120, queue: 40}
  passdesk:
    versions: [v1]
    current: v1
    calls: [till]
routes:
  - name: sale
    path: /sales
    methods: [POST]
    to: [{service: till}]
    resources: [ledger]
    timeout: 2s
moves:
  - name: till-v2
    service: till
    to: v2
    start: 2026-12-04T10:00:00Z
    by: 2026-12-04T10:10:00Z
    unproven_share: 2%
    bad: {errors: 1%, latency: 2x}
    routes:
      sale: {errors: 0.5%, latency: 3x}
"""


def test_content_reads_back_as_the_same_document():
    document, content = readers.read_yaml(VALID_DOCUMENT)
    assert readers.read_content(content) == document
    assert document.service('till').limits.connections == 120
    assert document.moves[0].thresholds_for('sale').errors == 0.005
    assert document.moves[0].thresholds_for('other').errors == 0.01


# Each case: the text to replace in `VALID_DOCUMENT`, its replacement and the
# expected (code, line, column), None if any of them is accepted.
INVALID_EDITS = {
    'unknown key': ('current: v1\n    res', 'curent: v1\n    res', None),
    'wrong version': ('current: v1\n    res', 'current: v9\n    res', None),
    'no unit': ('timeout: 2s', 'timeout: 2', ('document-unit', 18, 5)),
    'share without unit': (
        'unproven_share: 2%',
        'unproven_share: 2',
        ('document-unit', 25, 5),
    ),
    'no offset': (
        'start: 2026-12-04T10:00:00Z',
        'start: 2026-12-04T10:00:00',
        ('document-unit', 23, 5),
    ),
    'missing service': (
        '[{service: till}]',
        '[{service: tilt}]',
        ('document-reference', 16, 11),
    ),
    'missing resource': (
        'resources: [ledger]\n    timeout',
        'resources: [ledgre]\n    timeout',
        ('document-reference', 17, 17),
    ),
    'missing version of a move': (
        'to: v2',
        'to: v3',
        ('document-reference', 22, 5),
    ),
    'missing route of a move': (
        'sale: {errors',
        'sail: {errors',
        ('document-reference', 28, 7),
    ),
    'cycle': (
        'resources: [ledger]\n    limits',
        'resources: [ledger]\n    calls: [passdesk]\n    limits',
        ('document-cycle', 7, 5),
    ),
    'move too short': (
        'by: 2026-12-04T10:10:00Z',
        'by: 2026-12-04T10:00:05Z',
        ('document-move-time', 24, 5),
    ),
    'move that can not be proven': (
        'unproven_share: 2%',
        'unproven_share: 0%',
        ('document-move-time', 25, 5),
    ),
    'duplicate key': (
        'routes:\n  - name',
        'services: {}\nroutes:\n  - name',
        ('document-duplicate-key', 12, 1),
    ),
    'duplicate version': (
        '[v1, v2]',
        '[v1, v2, v1]',
        ('document-duplicate', 4, 24),
    ),
    'syntax': ('routes:', 'routes: [', None),
    'not a mapping': (VALID_DOCUMENT, 'just a text', ('document-value', 1, 1)),
    'empty': (VALID_DOCUMENT, '', ('document-value', 1, 1)),
    'other schema': (
        'pumicestand/v1',
        'pumicestand/v2',
        ('document-value', 1, 1),
    ),
}


@pytest.mark.parametrize('name', INVALID_EDITS)
def test_invalid_document_is_rejected_with_its_position(name):
    old, new, expected = INVALID_EDITS[name]
    assert old in VALID_DOCUMENT
    with pytest.raises(errors.InvalidDocumentError) as caught:
        readers.read_yaml(VALID_DOCUMENT.replace(old, new, 1))
    error = caught.value
    assert error.remedy
    if expected is not None:
        assert (error.code.value, error.line, error.column) == expected


def test_document_above_the_size_limit_is_rejected():
    many_services = ''.join(
        f'  service-{number}:\n    versions: [v1]\n    current: v1\n'
        for number in range(9000)
    )
    text = VALID_DOCUMENT.replace(
        'services:\n', f'services:\n{many_services}', 1
    )
    with pytest.raises(errors.InvalidDocumentError) as caught:
        readers.read_yaml(text)
    assert caught.value.code == errors.Code.DOCUMENT_TOO_LARGE


def test_chain_of_calls_is_limited_to_six_services():
    def make_chain(count):
        lines = ['schema: pumicestand/v1', 'services:']
        for number in range(count):
            calls = f'[s{number + 1}]' if number + 1 < count else '[]'
            lines.append(
                f'  s{number}: {{versions: [v], current: v, calls: {calls}}}'
            )
        return '\n'.join(lines)

    readers.read_yaml(make_chain(6))
    with pytest.raises(errors.InvalidDocumentError) as caught:
        readers.read_yaml(make_chain(7))
    assert caught.value.code == errors.Code.DOCUMENT_CYCLE


def make_nested_aliases(levels):
    """Return a short document that expands to 9 ** levels values."""
    lines = ['a0: &a0 [x, x, x, x, x, x, x, x, x]']
    for level in range(1, levels):
        inner = ', '.join([f'*a{level - 1}'] * 9)
        lines.append(f'a{level}: &a{level} [{inner}]')
    return '\n'.join(lines)


@pytest.mark.parametrize(
    ('text', 'line'),
    [
        (make_nested_aliases(9), 2),
        ('a: &a [*a]', 1),
        ('base: &base {x: 1}\nother:\n  <<: *base', 3),
        ('schema: x\nother:\n  <<: {x: 1}', 3),
    ],
    ids=['nested', 'in itself', 'merged alias', 'merged mapping'],
)
def test_aliases_and_merge_keys_are_rejected_before_expansion(text, line):
    with pytest.raises(errors.InvalidDocumentError) as caught:
        readers.read_yaml(text)
    assert caught.value.code is errors.Code.DOCUMENT_SYNTAX
    assert caught.value.line == line
    assert caught.value.remedy


@pytest.mark.parametrize('opening, closing', ['[]', ('{a: ', '}')])
def test_deep_nesting_is_rejected(opening, closing):
    text = 'a: ' + opening * 3000 + closing * 3000
    with pytest.raises(errors.InvalidDocumentError) as caught:
        readers.read_yaml(text)
    assert caught.value.code is errors.Code.DOCUMENT_SYNTAX


def test_oversized_text_is_rejected_before_parsing():
    text = VALID_DOCUMENT + '#' * readers.MAX_TEXT_LENGTH
    with pytest.raises(errors.InvalidDocumentError) as caught:
        readers.read_yaml(text)
    assert caught.value.code is errors.Code.DOCUMENT_TOO_LARGE
