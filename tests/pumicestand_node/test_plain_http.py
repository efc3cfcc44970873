"""Tests of the small responses of the node itself."""

import trio
import trio.testing

from pumicestand_node import client_port
from pumicestand_node import plain_http
from tests import mock_clock

BODY = b'ready\n'


async def respond(method, path, body):
    return plain_http.PlainResponse(200, BODY)


def exchange(*methods):
    """Return what is sent for requests on one connection, the last closes."""
    requests = [b'%b / HTTP/1.1\r\nhost: x\r\n' % method for method in methods]
    requests[-1] += b'connection: close\r\n'
    data = bytearray()

    async def main():
        port = client_port.ClientPort(
            plain_http.PlainHandler(respond).serve, lambda refusal: None
        )
        client, server = trio.testing.memory_stream_pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(port.serve, server)
            await client.send_all(b'\r\n'.join(requests) + b'\r\n')
            with trio.move_on_after(1.0):
                async for part in client:
                    data.extend(part)
            nursery.cancel_scope.cancel()

    mock_clock.run(main)
    return bytes(data)


def test_response_to_head_has_the_length_but_no_body():
    """The body was read as the start of the next response."""
    first, second, body = exchange(b'HEAD', b'GET').split(b'\r\n\r\n')
    for head in (first, second):
        assert head.startswith(b'HTTP/1.1 200 OK\r\n')
        assert b'content-length: %d' % len(BODY) in head
    assert body == BODY


def test_response_to_get_has_its_body():
    head, body = exchange(b'GET').split(b'\r\n\r\n')
    assert b'content-length: %d' % len(BODY) in head
    assert body == BODY
