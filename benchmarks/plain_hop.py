"""The baseline of the call path: a plain hop from hypercorn to httpcore.

It is a proxy that takes no decisions: it forwards every call to the same
target over persistent connections.
"""

import argparse

import httpcore
from hypercorn import config as hypercorn_config
from hypercorn import trio as hypercorn_trio
import trio

_DROPPED_HEADERS = (
    b'connection',
    b'keep-alive',
    b'transfer-encoding',
    b'host',
)


class PlainHop:
    """An ASGI application that forwards every call to one target.

    :param target: URL of the target, such as ``http://127.0.0.1:9000``
    """

    def __init__(self, target):
        self._target = target
        self._pool = httpcore.AsyncConnectionPool(max_connections=100)

    async def __call__(self, scope, receive, send):
        """Serve one ASGI connection: the lifespan or one HTTP request."""
        if scope['type'] == 'lifespan':
            while True:
                message = await receive()
                await send({'type': f'{message["type"]}.complete'})
                if message['type'] == 'lifespan.shutdown':
                    return
        body = b''
        while True:
            message = await receive()
            body += message.get('body', b'')
            if not message.get('more_body'):
                break
        headers = [
            (k, v) for k, v in scope['headers'] if k not in _DROPPED_HEADERS
        ]
        response = await self._pool.request(
            scope['method'],
            self._target + scope['path'],
            headers=[(b'host', b'target'), *headers],
            content=body,
        )
        response_headers = [
            (k, v) for k, v in response.headers if k not in _DROPPED_HEADERS
        ]
        await send(
            {
                'type': 'http.response.start',
                'status': response.status,
                'headers': response_headers,
            }
        )
        await send({'type': 'http.response.body', 'body': response.content})


def main():
    """Serve until the process is stopped."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--target', required=True)
    arguments = parser.parse_args()
    config = hypercorn_config.Config()
    config.bind = [f'127.0.0.1:{arguments.port}']
    config.errorlog = None
    config.keep_alive_max_requests = 10_000_000
    trio.run(hypercorn_trio.serve, PlainHop(arguments.target), config)


if __name__ == '__main__':
    main()
