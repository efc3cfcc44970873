"""A stand-in for the platform's store, with faults and counters.

It implements the protocol of docs/design/store.md. Faults are set by a
`Faults` object, in the process or through ``PUT /standin/faults``.
"""

import argparse
import collections
import dataclasses
import json
import signal
import urllib.parse

import trio

from pumicestand_standins import http_server

MAX_VALUE_BYTES = 1_000_000
MAX_WATCH_S = 30.0
LAG_POLL_PERIOD_S = 0.02


@dataclasses.dataclass(slots=True)
class Faults:
    """The faults that the store shows at present.

    :param down: every call is answered with status 503
    :param refusing: every connection is closed without a response
    :param hanging: calls never get a response
    :param slow_s: seconds by which each response is delayed
    :param lost_answers: number of writes that take effect without a response
    :param watch_lag_s: seconds after which watches report a write
    :param watch_skips: number of writes that watches do not report
    :param watch_closes: number of watches that are closed at once
    :param watch_expires: number of watches that are answered with status 410
    :param stale_lists: lists show the objects as before the last write
    """

    down: bool = False
    refusing: bool = False
    hanging: bool = False
    slow_s: float = 0.0
    lost_answers: int = 0
    watch_lag_s: float = 0.0
    watch_skips: int = 0
    watch_closes: int = 0
    watch_expires: int = 0
    stale_lists: bool = False


@dataclasses.dataclass(slots=True)
class _StoredObject:
    version: int
    value: str
    written_at: float
    is_visible: bool = True


class Store:
    """The store without the network.

    :param clock: function that returns seconds
    :param reads_per_s: reads, lists and watches above this rate are answered
        with status 429
    :param writes_per_s: writes above this rate are answered with status 429
    """

    def __init__(self, clock, reads_per_s=2000, writes_per_s=300):
        self._clock = clock
        self._objects = {}
        self._previous_objects = {}
        self._revision = 0
        self._changed = trio.Event()
        self._rate_limits = {'read': reads_per_s, 'write': writes_per_s}
        self._call_counts = {}
        self.faults = Faults()
        self.counters = collections.Counter()

    @property
    def objects(self):
        """Mapping of key to (version, value) of all objects."""
        return {
            key: (current.version, current.value)
            for key, current in self._objects.items()
        }

    async def handle(self, request):
        """Answer a `http_server.Request`."""
        path = urllib.parse.unquote(request.path)
        if path.startswith('/standin/'):
            return self._handle_control(request, path)
        kind = _call_kind(request)
        self.counters[kind] += 1
        faults = self.faults
        if faults.slow_s:
            await trio.sleep(faults.slow_s)
        if faults.hanging:
            await trio.sleep_forever()
        if faults.refusing:
            return http_server.RawResponse()
        if faults.down or not self._is_within_rate_limit(kind):
            return http_server.Response(503 if faults.down else 429)
        match kind:
            case 'read':
                return self._read(path.removeprefix('/v1/objects/'))
            case 'list':
                return self._list(
                    urllib.parse.unquote(request.query('prefix'))
                )
            case 'write':
                return self._write(path, request)
            case 'watch':
                return await self._watch(path, request)
        return http_server.Response(404)

    def _is_within_rate_limit(self, kind):
        """Count a call; return whether its rate limit allows it.

        The limit applies to each whole second of the clock.
        """
        group = 'write' if kind == 'write' else 'read'
        second = int(self._clock())
        count = self._call_counts.get((group, second), 0) + 1
        self._call_counts = {
            key: value
            for key, value in self._call_counts.items()
            if key[1] == second
        }
        self._call_counts[(group, second)] = count
        return count <= self._rate_limits[group]

    def _handle_control(self, request, path):
        match request.method, path:
            case 'PUT', '/standin/faults':
                self.faults = Faults(**json.loads(request.body))
                self._notify_watches()
                return http_server.json_response(
                    dataclasses.asdict(self.faults)
                )
            case 'GET', '/standin/counters':
                return http_server.json_response(dict(self.counters))
            case 'GET', '/standin/objects':
                return http_server.json_response(self.objects)
        return http_server.Response(404)

    def _read(self, key):
        current = self._objects.get(key)
        if current is None:
            return http_server.json_response({'version': 0}, 404)
        return _object_response(key, current)

    def _list(self, prefix):
        objects = self._objects
        if self.faults.stale_lists:
            objects = self._previous_objects
        matches = [
            {'key': key, 'version': current.version, 'value': current.value}
            for key, current in sorted(objects.items())
            if key.startswith(prefix)
        ]
        return http_server.json_response({'objects': matches})

    def _write(self, path, request):
        key = path.removeprefix('/v1/objects/')
        if request.body_bytes > MAX_VALUE_BYTES:
            return http_server.json_response({'limit': MAX_VALUE_BYTES}, 413)
        current = self._objects.get(key)
        version = current.version if current else 0
        expected = request.headers.get('if-match', '')
        if expected != str(version):
            return http_server.json_response({'version': version}, 412)
        self._previous_objects = dict(self._objects)
        self._revision += 1
        is_visible = self.faults.watch_skips <= 0
        if not is_visible:
            self.faults.watch_skips -= 1
        self._objects[key] = _StoredObject(
            self._revision, request.body.decode(), self._clock(), is_visible
        )
        self._notify_watches()
        if self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            return http_server.RawResponse()
        return http_server.json_response({'version': self._revision})

    def _notify_watches(self):
        self._changed.set()
        self._changed = trio.Event()

    async def _watch(self, path, request):
        key = path.removeprefix('/v1/watch/')
        after = int(request.query('after', '0'))
        seconds = min(MAX_WATCH_S, float(request.query('seconds', '5')))
        if self.faults.watch_expires > 0:
            self.faults.watch_expires -= 1
            return http_server.json_response({}, 410)
        if self.faults.watch_closes > 0:
            self.faults.watch_closes -= 1
            return http_server.RawResponse()
        with trio.move_on_after(seconds):
            while True:
                faults = self.faults
                if faults.down or faults.refusing:
                    return http_server.RawResponse()
                current = self._objects.get(key)
                if (
                    current is not None
                    and current.version > after
                    and current.is_visible
                ):
                    visible_at = current.written_at + faults.watch_lag_s
                    if self._clock() >= visible_at:
                        return _object_response(key, current)
                    await trio.sleep(LAG_POLL_PERIOD_S)
                    continue
                await self._changed.wait()
        return http_server.Response(204)


def _call_kind(request):
    """Return the kind of a call: read, list, write or watch."""
    if request.path.startswith('/v1/watch/'):
        return 'watch'
    if request.method == 'PUT':
        return 'write'
    if request.path == '/v1/objects':
        return 'list'
    return 'read'


def _object_response(key, current):
    return http_server.json_response(
        {'key': key, 'version': current.version, 'value': current.value}
    )


async def run(host, port, reads_per_s, writes_per_s):
    """Serve a store until SIGTERM or SIGINT."""
    with trio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT
    ) as stop_signals:
        async with trio.open_nursery() as nursery:
            store = Store(trio.current_time, reads_per_s, writes_per_s)
            server = http_server.Server(host, port, store.handle)
            await server.start(nursery)
            async for _ in stop_signals:
                break
            await server.close()
            nursery.cancel_scope.cancel()


def main():
    """Run the stand-in as a process."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, default=7000)
    parser.add_argument('--reads-per-s', type=int, default=2000)
    parser.add_argument('--writes-per-s', type=int, default=300)
    parsed = parser.parse_args()
    trio.run(
        run,
        parsed.host,
        parsed.port,
        parsed.reads_per_s,
        parsed.writes_per_s,
    )


if __name__ == '__main__':
    main()
