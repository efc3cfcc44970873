"""Streams bodies between a client and a target."""

import trio

from pumicestand_node import client_requests
from pumicestand_node import heads
from pumicestand_node import target_connections

# A response up to this size is forwarded only once it is complete, so that a
# truncated one can still be replaced by an error or a retry.
MAX_BUFFERED_RESPONSE_BYTES = 16_384
LAST_CHUNK = b'0\r\n\r\n'
# Errors that end an exchange with a target before its response is complete.
CONNECTION_ERRORS = (
    target_connections.IncompleteResponseError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)


async def stream_request(request, connection):
    """Stream a request's body while waiting for the head of the response.

    The target may respond before it has read the whole body.

    :param request: a `client_requests.Request` whose head is already sent
    :param connection: the `target_connections.TargetConnection`
    :returns: the `target_connections.ResponseHead`
    """
    response = response_error = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_send_body, request, connection)
        try:
            response = await connection.read_head()
        except (
            *CONNECTION_ERRORS,
            target_connections.InvalidResponseError,
        ) as error:
            response_error = error
        # After an early response the rest of the body is not needed.
        nursery.cancel_scope.cancel()
    if response_error is not None:
        raise response_error
    return response


async def _send_body(request, connection):
    is_chunked = request.head.body_length is None
    try:
        while data := await request.read():
            await connection.send(_format_chunk(data) if is_chunked else data)
        if is_chunked:
            await connection.send(LAST_CHUNK)
        connection.is_request_sent = True
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        # The target stopped reading; its response, if any, says why.
        return
    except client_requests.IncompleteRequestError:
        # Truncates the request, so that the target never takes it as whole.
        await connection.close()


async def discard_body(connection):
    """Read and discard a short body, so that the connection can be kept."""
    try:
        while await connection.read_body():
            pass
    except (*CONNECTION_ERRORS, target_connections.InvalidResponseError):
        return


def is_close_delimited(head, response):
    """Return whether the response ends only with the client's connection.

    :param head: the `heads.RequestHead`
    :param response: the `target_connections.ResponseHead`
    """
    return head.version != '1.1' and _framing_header(head, response) == b''


def _framing_header(head, response):
    """Return the header line that frames the body, None for a chunked one."""
    length = response.header(b'content-length')
    if length is not None:
        return b'content-length: %b\r\n' % length
    if head.method == 'HEAD' or response.status in (204, 304):
        return b''
    return None if head.version == '1.1' else b''


async def forward_response(head, response, connection, keep_alive, send):
    """Send a response to the client, its head with the first bytes.

    :param head: the `heads.RequestHead`
    :param response: the `target_connections.ResponseHead`
    :param connection: connection from which the body is read
    :param keep_alive: whether the client's connection is kept
    :param send: coroutine function that sends bytes to the client
    """
    framing_header = _framing_header(head, response)
    is_chunked = framing_header is None
    length = response.header(b'content-length')
    is_buffered = (
        length is not None and int(length) <= MAX_BUFFERED_RESPONSE_BYTES
    )
    if is_chunked:
        framing_header = b'transfer-encoding: chunked\r\n'
    output = heads.format_response_head(
        response.status,
        response.reason,
        heads.filter_response_headers(response.headers),
        framing_header,
        keep_alive,
    )
    while data := await connection.read_body():
        output += _format_chunk(data) if is_chunked else data
        if is_buffered or connection.is_response_complete:
            continue
        await send(output)
        output = b''
    if is_chunked:
        output += LAST_CHUNK
    if output:
        await send(output)


def _format_chunk(data):
    return b'%x\r\n%b\r\n' % (len(data), data)
