"""Requests of clients: parsed strictly, with bodies that may still arrive."""

import httptools
import trio

from pumicestand import buffer_budget
from pumicestand import refusals
from pumicestand_node import body_buffers
from pumicestand_node import header_lines
from pumicestand_node import heads

MAX_BUFFERED_BODY_BYTES = 131_072


class IncompleteRequestError(Exception):
    """The rest of a request's body will not be received."""


class Request:
    """A request whose body may still be incomplete.

    It counts in the budget from the start until `release` is called: its head
    and what has arrived of the body as held, the rest of an announced length
    as promised.

    :param head: the `heads.RequestHead`
    :param on_body_read: called after a chunk of the body was taken
    :param budget: `buffer_budget.BufferBudget`
    """

    def __init__(self, head, on_body_read, budget):
        self.head = head
        self._budget = budget
        self._is_released = False
        self._promised_bytes = head.body_length or 0
        self._fixed_bytes = (
            buffer_budget.request_cost(head.size, head.body_length)
            - self._promised_bytes
        )
        self._held_bytes = self._fixed_bytes
        budget.add(self._held_bytes)
        budget.promise(self._promised_bytes)
        self.is_complete = False
        self.is_broken = False
        self._buffer = body_buffers.BodyBuffer()
        self.received_bytes = 0
        self._body_changed = None
        self._on_body_read = on_body_read
        self.expects_continue = False

    @property
    def is_buffer_full(self):
        """Whether reading must pause until buffered chunks are taken."""
        return self._buffer.size >= MAX_BUFFERED_BODY_BYTES

    @property
    def size(self):
        """Bytes of the body that are announced or received."""
        return max(self.head.body_length or 0, self.received_bytes)

    def add_body(self, data):
        """Buffer a chunk of the body.

        The budget counts it with the next call of `count_received`.
        """
        self._buffer.append(data)
        self.received_bytes += len(data)
        if self._body_changed is not None:
            self._wake_reader()

    def count_fixed(self, count):
        """Count bytes as held until the request is released.

        :param count: number of bytes
        """
        self._fixed_bytes += count
        self._held_bytes += count
        self._budget.add(count)

    def count_received(self):
        """Count what has arrived of the body as held."""
        if self._is_released:
            return
        new_bytes = self._fixed_bytes + self.received_bytes
        new_bytes -= self._held_bytes
        if new_bytes > 0:
            self._held_bytes += new_bytes
            self._budget.add(new_bytes)
            kept_bytes = min(new_bytes, self._promised_bytes)
            self._promised_bytes -= kept_bytes
            self._budget.promise(-kept_bytes)

    def release(self):
        """Drop the body and count the request no longer."""
        self._buffer.clear()
        if not self._is_released:
            self._is_released = True
            self._budget.remove(self._held_bytes)
            self._budget.promise(-self._promised_bytes)

    def end_body(self, is_broken=False):
        """Mark the body as complete, or as broken off."""
        self.is_complete = not is_broken
        self.is_broken = is_broken
        self._wake_reader()

    def _wake_reader(self):
        if self._body_changed is not None:
            self._body_changed.set()
            self._body_changed = None

    async def read(self):
        """Return the next chunk of the body, empty at its end.

        :raises IncompleteRequestError: if the body was broken off
        """
        while not self._buffer:
            if self.is_complete:
                return b''
            if self.is_broken:
                raise IncompleteRequestError
            self._body_changed = trio.Event()
            await self._body_changed.wait()
        data = self._buffer.take()
        self._on_body_read()
        return data

    async def read_all(self):
        """Return the rest of the body, as bytes or as a bytearray.

        A long body exists once: it is not copied when it is complete.

        :raises IncompleteRequestError: if the body was broken off
        """
        if self.is_complete and not self._buffer:
            return b''
        body = await self.read()
        if (
            len(body) < body_buffers.CHUNK_BYTES
            and self.is_complete
            and not self._buffer
        ):
            return bytes(body)
        body = bytearray(body)
        while data := await self.read():
            body += data
        return body


class RequestParser:
    """Callbacks of httptools for the requests of one connection.

    ``refusal`` is the `refusals.Refusal` of a head that is not accepted,
    ``head_bytes`` the size of the head that is being read, or of what was read
    since the last bytes of a body, such as its trailers.

    :param on_request: called with each `Request` whose head has been read
    :param on_body_read: called after a chunk of a body was taken
    :param on_last_request: called after a request that ends the connection
    :param budget: `buffer_budget.BufferBudget` for the requests
    :param admit: called with a `heads.RequestHead`; returns the
        `refusals.Refusal` if there is no room for the request, else None
    """

    def __init__(
        self,
        on_request,
        on_body_read,
        on_last_request,
        budget,
        admit=lambda head: None,
    ):
        self._on_request = on_request
        self._admit = admit
        self._on_body_read = on_body_read
        self._on_last_request = on_last_request
        self._budget = budget
        self._url = b''
        self._headers = header_lines.HeaderLines()
        self._request = None
        self._has_read_body = False
        self.refusal = None
        self._part_count = 0
        self.head_bytes = 0
        self.is_in_head = False
        self.parser = httptools.HttpRequestParser(self)

    @property
    def request(self):
        """The `Request` whose body is being read, or None."""
        return self._request

    @property
    def held_bytes(self):
        """Bytes that are held of a head or trailers that are not complete.

        The last line may be in the buffer of the parser.
        """
        if self.is_in_head:
            return max(self.head_bytes, len(self._url) + self._headers.size)
        return 0 if self._request is None else self.head_bytes

    def take_part_count(self):
        """Return how many lines and chunks were read since the last call."""
        count, self._part_count = self._part_count, 0
        return count

    def discard_head(self):
        """Drop what is held of a head that will not be completed."""
        self._url = b''
        self._headers = header_lines.HeaderLines()
        self.is_in_head = False
        self.head_bytes = 0
        self.parser = None

    def feed(self, data):
        """Parse received bytes.

        :raises httptools.HttpParserError: if they are no request, or one that
            is not accepted
        """
        self._has_read_body = False
        self.parser.feed_data(data)
        if self._has_read_body and self._request is not None:
            self._request.count_received()
        if self._has_read_body and not self.is_in_head:
            self.head_bytes = 0
        else:
            self.head_bytes += len(data)

    def on_message_begin(self):
        self._url = b''
        self._headers = header_lines.HeaderLines()
        self.is_in_head = True
        self.head_bytes = 0

    def on_url(self, url):
        self._url += url

    def on_header(self, name, value):
        self._part_count += 1
        if self.is_in_head:
            self._headers.append(name.lower(), value)

    def on_headers_complete(self):
        self.is_in_head = False
        self.head_bytes = 0
        body_length = heads.parse_body_length(self._headers)
        if isinstance(body_length, refusals.Refusal):
            self.refusal = body_length
            raise ValueError(body_length.detail)
        head = heads.RequestHead(
            method=self.parser.get_method().decode(),
            url=self._url,
            version=self.parser.get_http_version(),
            headers=self._headers,
            body_length=body_length,
            keep_alive=self.parser.should_keep_alive(),
        )
        self.refusal = heads.validate_request(head) or self._admit(head)
        if self.refusal is not None:
            raise ValueError(self.refusal.detail)
        # The head is held by the request from now on.
        self._url = b''
        self._headers = header_lines.HeaderLines()
        self._request = Request(head, self._on_body_read, self._budget)
        expect = head.header(b'expect')
        self._request.expects_continue = (
            expect is not None and expect.lower() == b'100-continue'
        )
        self._on_request(self._request)

    def on_body(self, data):
        self._has_read_body = True
        self._part_count += 1
        self._request.add_body(data)

    def on_message_complete(self):
        self._request.count_received()
        self._request.end_body()
        keep_alive = self._request.head.keep_alive
        self._request = None
        if not keep_alive:
            self._on_last_request()
