"""Tests of the stand-ins' HTTP client."""

import trio

from pumicestand_standins import http_client

RESPONSE = b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'


def test_connection_that_the_server_has_closed_gets_no_call():
    answered = []

    async def serve_once(stream):
        await stream.receive_some(1000)
        await stream.send_all(RESPONSE)
        answered.append(stream)

    async def main():
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
            nursery.start_soon(trio.serve_listeners, serve_once, listeners)
            connection = http_client.Connection(
                listeners[0].socket.getsockname()
            )
            responses = [await connection.call('GET', '/')]
            while not connection._stream.socket.is_readable():
                await trio.sleep(0.001)
            responses.append(await connection.call('GET', '/'))
            await connection.close()
            nursery.cancel_scope.cancel()
            return responses

    responses = trio.run(main)
    assert [response.status for response in responses] == [200, 200]
    assert all(response.used_new_connection for response in responses)
    assert len(answered) == 2
