"""Tests of responses before the end of an upload, and of invalid statuses.

An error of a connection is reported once, to whoever uses it first.
"""

import pytest
import trio

from pumicestand import hop_messages
from pumicestand import response_buffers
from pumicestand_node import relaying
from pumicestand_node import target_connections
from pumicestand_node import target_exchange
from tests import mock_clock
from tests.pumicestand_node import test_mesh_calls
from tests.pumicestand_node import test_target_faults

Outcome = hop_messages.Outcome
HEAD = b'POST /u HTTP/1.1\r\ncontent-length: 1000000\r\n\r\n'
BODY = bytes(1_000_000)
EARLY = b'HTTP/1.1 200 OK\r\nserver: s\r\n\r\nthe first part'


class ResetStream(trio.abc.Stream):
    """A connection that is reset within a response that has no length.

    :param is_told_to_sender: whether sending fails; reading then finds the
        end of the stream
    """

    def __init__(self, is_told_to_sender):
        self._is_told_to_sender = is_told_to_sender
        self._is_sending = trio.Event()
        self._is_reset = trio.Event()
        self._has_responded = False

    async def send_all(self, data):
        self._is_sending.set()
        if not self._is_told_to_sender:
            await trio.sleep_forever()
        await self._is_reset.wait()
        raise trio.BrokenResourceError('reset')

    async def wait_send_all_might_not_block(self):
        pass

    async def receive_some(self, max_bytes=None):
        await self._is_sending.wait()
        if not self._has_responded:
            self._has_responded = True
            return EARLY
        self._is_reset.set()
        await trio.sleep(0.1)
        if self._is_told_to_sender:
            return b''
        raise trio.BrokenResourceError('reset')

    async def aclose(self):
        pass


@pytest.mark.parametrize('is_told_to_sender', [False, True])
def test_reset_never_completes_a_response_without_a_length(is_told_to_sender):
    async def main():
        connection = target_exchange.TargetConnection(
            ResetStream(is_told_to_sender), response_buffers.ResponseBuffers()
        )
        with pytest.raises(target_exchange.ExchangeError) as raised:
            await connection.exchange(HEAD, BODY, lambda response: True)
        assert raised.value.may_be_sent
        assert not connection.is_clean

    mock_clock.run(main)


@pytest.mark.parametrize('is_told_to_sender', [False, True])
def test_reset_never_completes_a_response_that_is_streamed(is_told_to_sender):
    class Request:
        """An upload of which there is always more."""

        head = type('Head', (), {'body_length': len(BODY)})

        async def read(self):
            return BODY

    async def main():
        connection = target_connections.TargetConnection(
            ResetStream(is_told_to_sender), lambda stream: False
        )
        connection.start_request(False)
        await relaying.stream_request(Request(), connection)
        with pytest.raises(target_connections.IncompleteResponseError):
            while await connection.read_body():
                pass

    mock_clock.run(main)


@pytest.mark.parametrize('end', ['close', 'reset'])
def test_upload_that_a_target_breaks_off_is_no_success(end):
    """The same with the system's own connections."""

    async def main():
        (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')

        async def respond():
            stream = await listener.accept()
            await stream.receive_some(1_000)
            await stream.send_all(EARLY)
            if end == 'reset':
                linger = (1).to_bytes(4, 'little') + bytes(4)
                stream.setsockopt(
                    trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, linger
                )
            await stream.aclose()

        pool = target_exchange.TargetPool(trio.current_time)
        for _ in range(30):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(respond)
                connection = await pool.acquire(*listener.socket.getsockname())
                with pytest.raises(target_exchange.ExchangeError):
                    await connection.exchange(
                        HEAD, 8 * BODY, lambda response: True
                    )
                await connection.close()
        await listener.aclose()

    trio.run(main)


def run_with_status(status):
    """Return the result of a call whose response has a status, as bytes."""
    results = []
    response = test_mesh_calls.OK_RESPONSE.replace(b' 200 ', b' %b ' % status)

    async def respond(stream, number, request_id):
        await stream.send_all(response.replace(b'%b', request_id))
        return True

    async def test(harness):
        with trio.move_on_after(5):
            results.append(
                await harness.targets.run(test_target_faults.make_call('i1'))
            )

    test_target_faults.run_scripted(test, respond)
    return results[0] if results else None


@pytest.mark.parametrize(
    'status', [b'000', b'001', b'099', b'600', b'999', b'2000', b'20', b'-20']
)
def test_response_with_a_status_that_does_not_exist_is_not_passed_on(status):
    result = run_with_status(status)
    assert result.outcome is Outcome.UNKNOWN


@pytest.mark.parametrize('status', [b'200', b'299', b'404', b'500', b'599'])
def test_response_with_a_status_that_exists_is_passed_on(status):
    result = run_with_status(status)
    assert result.outcome is Outcome.ANSWERED
    assert result.status == int(status)


@pytest.mark.parametrize('status', [b'000', b'099', b'600'])
def test_status_that_does_not_exist_is_not_streamed(status):
    reader = target_connections._ResponseReader(False)
    with pytest.raises(target_connections.InvalidResponseError):
        reader.feed(b'HTTP/1.1 %b X\r\ncontent-length: 0\r\n\r\n' % status)
