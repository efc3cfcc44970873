"""Tests that output is written without waiting, raising or cut lines."""

import fcntl
import json
import os

import pytest

from pumicestand import line_output

PIPE_BYTES = 4096


@pytest.fixture
def pipe():
    """The descriptors of a small pipe; reading from it does not wait."""
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
    os.set_blocking(reader, False)
    yield reader, writer
    for descriptor in (reader, writer):
        try:
            os.close(descriptor)
        except OSError:
            pass


def make_lines(start, count):
    return b''.join(
        b'{"number": %d, "text": "%s"}\n' % (number, b'x' * 90)
        for number in range(start, start + count)
    )


@pytest.mark.parametrize('is_reopened', [True, False])
def test_a_full_pipe_does_not_cut_a_line_in_the_middle(
    monkeypatch, pipe, is_reopened
):
    """Readers of the log take each line for JSON."""

    def fail(*arguments):
        raise PermissionError

    reader, writer = pipe
    if not is_reopened:
        monkeypatch.setattr(os, 'open', fail)
    write = line_output.open_output(writer).write
    dropped, received = 0, b''
    for start in range(0, 500, 50):
        dropped += write(make_lines(start, 50))
        received += os.read(reader, 65_536)
    write(b'{}\n')
    received += os.read(reader, 65_536)
    lines = [json.loads(line) for line in received.splitlines()]
    assert len(lines) == 500 - dropped + 1
    assert 0 < dropped < 500


def test_a_full_pipe_takes_the_rest_of_a_line_bit_by_bit(monkeypatch, pipe):
    reader, writer = pipe
    received = []
    monkeypatch.setattr(
        os,
        'write',
        lambda descriptor, data: received.append(data[:2]) or len(data[:2]),
    )
    write = line_output.open_output(writer).write
    assert write(b'first\nsecond\n') == 1
    assert write(b'third\n') == 1
    assert write(b'fourth\n') == 1
    assert b''.join(received) == b'first\n'


def test_other_users_of_a_pipe_do_not_find_it_non_blocking(pipe):
    """Their writes would fail once it is full."""
    _, writer = pipe
    line_output.open_output(writer).write(b'{}\n')
    assert os.get_blocking(writer)


def test_output_that_nobody_reads_does_not_fail_its_writer(pipe):
    reader, writer = pipe
    os.close(reader)
    assert line_output.open_output(writer).write(b'{}\n{}\n') == 2


def test_output_that_is_closed_or_full_does_not_fail_its_writer(pipe):
    """The errors ended the process: EBADF and ENOSPC."""
    _, writer = pipe
    os.close(writer)
    assert line_output.open_output(writer).write(b'{}\n') == 1
    with open('/dev/full', 'wb', buffering=0) as file:
        assert line_output.open_output(file.fileno()).write(b'{}\n') == 1
