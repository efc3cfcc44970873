"""The baseline of distribution: every process watches the store itself.

A process reads each document and reports on request when each generation
took effect. There is no membership and no communication between processes.
"""

import argparse
import time

import trio

from pumicestand import errors
from pumicestand import readers
from pumicestand import records
from pumicestand import stores
from pumicestand import watching
from pumicestand_standins import http_server

RETRY_S = 1.0


class PlainWatcher:
    """Watches the store and records when each generation took effect.

    :param client: a `stores.StoreClient`
    """

    def __init__(self, client):
        self._client = client
        self._in_force = {}
        self._received_bytes = 0

    async def run(self):
        """Watch the document until cancelled, with retries on errors."""
        key = watching.document_key('production')
        version = 0
        while True:
            try:
                stored = await self._client.watch(key, version)
            except (errors.StoreUnavailableError, errors.WatchExpiredError):
                await trio.sleep(RETRY_S)
                continue
            if stored is None:
                continue
            version = stored.version
            self._received_bytes += len(stored.value)
            record = records.from_stored(stored)
            readers.read_content(record.content.encode())
            self._in_force[record.generation] = time.time()

    async def handle(self, request):
        """Return the time at which each generation took effect, as JSON."""
        return http_server.json_response(
            {'in_force': self._in_force, 'bytes': self._received_bytes}
        )


async def run(store, port):
    """Watch the store and serve requests until cancelled."""
    client = stores.StoreClient(store)
    await client.start()
    watcher = PlainWatcher(client)
    async with trio.open_nursery() as nursery:
        server = http_server.Server('127.0.0.1', port, watcher.handle)
        await server.start(nursery)
        nursery.start_soon(watcher.run)


def main():
    """Run the watcher as a process."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--store', required=True)
    parser.add_argument('--port', type=int, required=True)
    arguments = parser.parse_args()
    trio.run(run, arguments.store, arguments.port)


if __name__ == '__main__':
    main()
