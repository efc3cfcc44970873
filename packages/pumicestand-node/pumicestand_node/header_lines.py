"""Header lines in one buffer, so that many short ones cost what they weigh."""

_LINE_END = b'\r\n'
_SEPARATOR = b': '


class HeaderLines:
    """The header lines of a message, in their order.

    Iterating yields (name, value) pairs of bytes.

    :param lines: (name in lower case, value) pairs of bytes
    """

    __slots__ = ('_data', '_count')

    def __init__(self, lines=()):
        # Each line follows the end of another one, which a search looks for.
        self._data = bytearray(_LINE_END)
        self._count = 0
        for name, value in lines:
            self.append(name, value)

    @property
    def size(self):
        """Size of the buffer in bytes."""
        return len(self._data)

    def __len__(self):
        return self._count

    def __iter__(self):
        if not self._count:
            return
        lines = bytes(self._data).split(_LINE_END)
        for line in lines[1:-1]:
            name, _, value = line.partition(_SEPARATOR)
            yield name, value

    def __eq__(self, other):
        if not isinstance(other, HeaderLines | list | tuple):
            return NotImplemented
        return list(self) == list(other)

    def __repr__(self):
        return f'HeaderLines({list(self)!r})'

    def append(self, name, value):
        """Add a line.

        :param name: in lower case
        :param value: a line break in it is replaced by a space
        """
        if b'\n' in value or b'\r' in value:
            value = b' '.join(value.split())
        data = self._data
        data += name
        data += _SEPARATOR
        data += value
        data += _LINE_END
        self._count += 1

    def first(self, name):
        """Return the first value of a header as bytes, or None.

        :param name: in lower case
        """
        key = _LINE_END + name + _SEPARATOR
        start = self._data.find(key)
        if start < 0:
            return None
        start += len(key)
        return bytes(self._data[start : self._data.find(_LINE_END, start)])

    def values(self, name):
        """Return all values of a header, as bytes.

        :param name: in lower case
        """
        key = _LINE_END + name + _SEPARATOR
        values = []
        start = self._data.find(key)
        while start >= 0:
            start += len(key)
            end = self._data.find(_LINE_END, start)
            values.append(bytes(self._data[start:end]))
            start = self._data.find(key, end)
        return values
