"""The baseline of the call path: a plain hop from hypercorn to httpcore.

It takes no decision: every call goes to one target over kept connections.
"""

import argparse

import httpcore
from hypercorn import config as hypercorn_config
from hypercorn import trio as hypercorn_trio
import trio

_HOP = (b'connection', b'keep-alive', b'transfer-encoding', b'host')


class PlainHop:
    """An ASGI application that passes every call on.

    :param target: such as ``http://127.0.0.1:9000``
    """

    def __init__(self, target):
        self._target = target
        self._pool = httpcore.AsyncConnectionPool(max_connections=100)

    async def __call__(self, scope, receive, send):
        """Serve one request, as ASGI has it."""
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
        headers = [(k, v) for k, v in scope['headers'] if k not in _HOP]
        response = await self._pool.request(
            scope['method'],
            self._target + scope['path'],
            headers=[(b'host', b'target'), *headers],
            content=body,
        )
        passed = [(k, v) for k, v in response.headers if k not in _HOP]
        await send(
            {
                'type': 'http.response.start',
                'status': response.status,
                'headers': passed,
            }
        )
        await send({'type': 'http.response.body', 'body': response.content})


def main():
    """Serve until ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--target', required=True)
    parsed = parser.parse_args()
    config = hypercorn_config.Config()
    config.bind = [f'127.0.0.1:{parsed.port}']
    config.errorlog = None
    config.keep_alive_max_requests = 10_000_000
    trio.run(hypercorn_trio.serve, PlainHop(parsed.target), config)


if __name__ == '__main__':
    main()
