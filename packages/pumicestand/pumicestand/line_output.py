"""Writes lines to a descriptor without waiting and without raising.

A process must not stall, fail or end because nobody takes its output. What the
descriptor does not accept is dropped, by whole lines.
"""

import functools
import io
import os
import stat

STANDARD_OUTPUT = 1


class LineOutput:
    """Writes whole lines to a descriptor.

    :param descriptor: file descriptor that does not block
    """

    def __init__(self, descriptor):
        self._descriptor = descriptor
        self._rest = b''

    def write(self, data):
        """Write lines; return how many of them were dropped.

        The rest of a line that was written in part precedes the next lines.

        :param data: bytes of whole lines
        """
        pending = self._rest + data
        try:
            written = os.write(self._descriptor, pending)
        except OSError:
            written = 0
        if written == len(pending):
            self._rest = b''
            return 0
        if written < len(self._rest):
            self._rest = self._rest[written:]
            return data.count(b'\n')
        if written == 0 or pending.endswith(b'\n', 0, written):
            end = written
        else:
            end = pending.index(b'\n', written) + 1
        self._rest = pending[written:end]
        return pending.count(b'\n', end)


class TextOutput(io.TextIOBase):
    """A text stream whose lines go to a `LineOutput`."""

    def __init__(self, output):
        super().__init__()
        self._output = output
        self._begun = ''

    def write(self, text):
        """Write text, each line once it is whole."""
        *lines, self._begun = f'{self._begun}{text}'.split('\n')
        if lines:
            self._output.write(
                '\n'.join([*lines, '']).encode(errors='replace')
            )
        return len(text)


@functools.cache
def standard():
    """Return the `LineOutput` of standard output."""
    return open_output(STANDARD_OUTPUT)


def open_output(descriptor):
    """Return a `LineOutput` for a descriptor.

    Cut lines stay whole only if all in the process that write to it use one.

    :param descriptor: file descriptor, which may be closed
    """
    return LineOutput(_without_blocking(descriptor))


def open_text(descriptor):
    """Return a `TextOutput` for a descriptor.

    :param descriptor: file descriptor, which may be closed
    """
    try:
        is_standard = os.path.sameopenfile(descriptor, STANDARD_OUTPUT)
    except OSError:
        is_standard = False
    return TextOutput(standard() if is_standard else open_output(descriptor))


def _without_blocking(descriptor):
    """Return a descriptor of the same file that does not block.

    Other processes may share an open pipe or device, and would get errors if
    it became non-blocking for them. It is opened anew where that is possible.
    """
    try:
        status = os.fstat(descriptor)
        if stat.S_ISREG(status.st_mode):
            return descriptor
        if stat.S_ISFIFO(status.st_mode) or stat.S_ISCHR(status.st_mode):
            own = _open_anew(descriptor)
            if own is not None:
                return own
        os.set_blocking(descriptor, False)
    except OSError:
        # Each write will fail as well.
        pass
    return descriptor


def _open_anew(descriptor):
    flags = os.O_WRONLY | os.O_NONBLOCK | os.O_NOCTTY
    try:
        own = os.open(f'/proc/self/fd/{descriptor}', flags)
    except OSError:
        return None
    if os.path.sameopenfile(own, descriptor):
        return own
    os.close(own)
    return None
