"""Relays bodies between a caller and a target, piece by piece."""

import trio

from pumicestand_node import client_connections
from pumicestand_node import heads
from pumicestand_node import target_connections

# An answer up to this size is passed back only once it is whole, so that one
# that is cut off can still be answered by an error or a retry.
MAX_HELD_ANSWER_BYTES = 16_384
LAST_CHUNK = b'0\r\n\r\n'
# What ends an exchange with a target before its answer is whole.
CONNECTION_ERRORS = (
    target_connections.IncompleteResponseError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)


async def stream_request(request, connection):
    """Send a body piece by piece while the answer may come early.

    :param request: a `client_connections.Request` whose head is sent
    :param connection: the `target_connections.TargetConnection`
    :returns: the answer's `target_connections.ResponseHead`
    """
    answer = problem = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_pump, request, connection)
        try:
            answer = await connection.read_head()
        except (
            *CONNECTION_ERRORS,
            target_connections.InvalidResponseError,
        ) as error:
            problem = error
        # After an early answer the rest of the body has no use.
        nursery.cancel_scope.cancel()
    if problem is not None:
        raise problem
    return answer


async def _pump(request, connection):
    is_chunked = request.head.body_length is None
    try:
        while data := await request.read():
            await connection.send(_chunk(data) if is_chunked else data)
        if is_chunked:
            await connection.send(LAST_CHUNK)
        connection.is_request_sent = True
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        # The target stopped reading; its answer, if any, tells why.
        return
    except client_connections.IncompleteRequestError:
        # Cuts the request off, so that the target never takes it as whole.
        await connection.close()


async def discard_body(connection):
    """Read the rest of a short answer, so the connection can be kept."""
    try:
        while await connection.read_body():
            pass
    except (*CONNECTION_ERRORS, target_connections.InvalidResponseError):
        return


def is_close_delimited(head, answer):
    """Whether only the end of the caller's connection ends the answer."""
    return head.version != '1.1' and _framing(head, answer) == b''


def _framing(head, answer):
    """Return the line that frames an answer's body, None for chunks."""
    length = answer.header(b'content-length')
    if length is not None:
        return b'content-length: %b\r\n' % length
    if head.method == 'HEAD' or answer.status in (204, 304):
        return b''
    return None if head.version == '1.1' else b''


async def forward_response(head, answer, connection, keep, send):
    """Send an answer to the caller, its head with the first bytes.

    :param head: of the request
    :param answer: the answer's head
    :param connection: from which its body is read
    :param keep: whether the caller's connection is kept
    :param send: coroutine function that sends bytes to the caller
    """
    framing = _framing(head, answer)
    is_chunked = framing is None
    length = answer.header(b'content-length')
    is_held = length is not None and int(length) <= MAX_HELD_ANSWER_BYTES
    if is_chunked:
        framing = b'transfer-encoding: chunked\r\n'
    out = heads.format_response_head(
        answer.status,
        answer.reason,
        heads.filter_response_headers(answer.headers),
        framing,
        keep,
    )
    while data := await connection.read_body():
        out += _chunk(data) if is_chunked else data
        if is_held or connection.answer_is_whole_so_far:
            continue
        await send(out)
        out = b''
    if is_chunked:
        out += LAST_CHUNK
    if out:
        await send(out)


def _chunk(data):
    return b'%x\r\n%b\r\n' % (len(data), data)
