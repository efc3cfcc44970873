"""A stand-in for the platform's metadata store, with faults and counters.

It has objects with a kind and a name, one revision counter, conditional
writes, watches from a revision, and a history that can be dropped.
"""

import collections
import dataclasses
import json
import urllib.parse

import trio

from pumicestand_standins import http_server

PAGE_ITEMS = 500
MAX_WAIT_S = 30.0


@dataclasses.dataclass(slots=True)
class Faults:
    """The faults that the store shows at present.

    :param down: every call is answered with status 503
    :param busy: every call is answered with status 429
    :param reset: every connection is closed without a response
    :param silent: calls never get a response
    :param slow_s: seconds by which each response is delayed
    :param lost_writes: number of writes that take effect without a response
    :param deaf: watches report no changes
    :param spoilt: number of responses that are not JSON
    """

    down: bool = False
    busy: bool = False
    reset: bool = False
    silent: bool = False
    slow_s: float = 0.0
    lost_writes: int = 0
    deaf: bool = False
    spoilt: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
    revision: int
    kind: str
    data: dict
    is_deleted: bool


def make_configuration(generation, routes, services, host, tenants=()):
    """Return the spec of a configuration as the operator writes it.

    :param routes: (name, path prefix, type, service, attempts) of each route
    :param services: names of the services
    :param host: host of all routes
    :param tenants: (name, list of keys, priority) of each organisation
    """
    columns = ['name', 'path_prefix', 'route_type', 'service', 'max_attempts']
    common_fields = {
        'host': host,
        'timeout_s': 1.5,
        'target_latency_s': 0.5,
        'priority': 1,
    }
    return {
        'version': f'{generation:08x}',
        'routes': {
            'columns': [*columns, *common_fields],
            'rows': [[*route, *common_fields.values()] for route in routes],
        },
        'services': {
            'columns': ['name'],
            'rows': [[name] for name in services],
        },
        'tenants': {
            'columns': ['name', 'api_keys', 'priority'],
            'rows': [list(tenant) for tenant in tenants],
        },
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': 1_000_000,
            'header_timeout_s': 3,
            'idle_timeout_s': 15,
        },
    }


class ObjectStore:
    """The store without the network.

    ``era_header`` is the format of the header with the era, None for none.
    ``kinds_read`` are the kinds that were listed or watched.

    :param page_items: number of objects in one page of a list
    """

    def __init__(self, page_items=PAGE_ITEMS):
        self._page_items = page_items
        self._objects = {}
        self._history = []
        self._forgotten_revision = 0
        self._revision = 1
        self._era = 1
        self._copy = None
        self._stale_state = None
        self.era_header = '{}'
        self._changed = trio.Event()
        self.faults = Faults()
        self.kinds_read = set()
        self.counters = collections.Counter()

    def get(self, kind, name):
        """Return an object as in responses, None if it does not exist."""
        return self._objects.get((kind, name))

    def put(self, kind, name, spec=None, status=None):
        """Write an object unconditionally, as the operator does.

        :param spec: None to keep the current one
        """
        current = self._objects.get((kind, name))
        data = {
            'spec': spec
            if spec is not None or not current
            else current['spec'],
            'status': status,
        }
        return self._write(kind, name, data, current)

    def delete(self, kind, name):
        """Delete an object, as the operator does."""
        self._revision += 1
        stored = self._objects.pop((kind, name))
        self._history.append(_Change(self._revision, kind, stored, True))
        self._notify_watches()

    def forget_history(self):
        """Drop the history, so that watches from before it expire."""
        self._forgotten_revision = self._revision
        self._history = []
        self._notify_watches()

    def hold_stale_state(self):
        """Answer reads that allow it from the present state from now on."""
        self._stale_state = (dict(self._objects), self._revision)

    def take_copy(self):
        """Keep the present state for `restore`."""
        self._copy = (dict(self._objects), self._revision)

    def restore(self):
        """Come back from the copy: later revisions are given out again."""
        objects, self._revision = self._copy
        self._objects = dict(objects)
        self._history = []
        self._forgotten_revision = self._revision
        self._era += 1
        self._notify_watches()

    def _write(self, kind, name, data, current):
        self._revision += 1
        created = current['metadata']['created'] if current else self._revision
        stored = {
            'metadata': {
                'name': name,
                'revision': self._revision,
                'created': created,
                'finalizers': [],
                'deleting': False,
            },
            'spec': data.get('spec'),
            'status': data.get('status'),
        }
        self._objects[(kind, name)] = stored
        self._history.append(_Change(self._revision, kind, stored, False))
        self._notify_watches()
        return stored

    def _notify_watches(self):
        self._changed.set()
        self._changed = trio.Event()

    async def handle(self, request):
        """Answer a `http_server.Request`; the response tells the era."""
        response = await self._answer(request)
        is_raw = isinstance(response, http_server.RawResponse)
        if is_raw or self.era_header is None:
            return response
        value = self.era_header.format(self._era)
        return dataclasses.replace(
            response, headers=(*response.headers, ('store-era', value))
        )

    async def _answer(self, request):
        faults = self.faults
        self.counters[request.method] += 1
        if faults.slow_s:
            await trio.sleep(faults.slow_s)
        if faults.silent:
            await trio.sleep_forever()
        if faults.reset:
            return http_server.RawResponse()
        if faults.busy:
            return http_server.json_response({'error': 'busy'}, 429)
        if faults.down:
            return http_server.json_response({'error': 'down'}, 503)
        response = await self._dispatch(request)
        if faults.spoilt:
            faults.spoilt -= 1
            return http_server.Response(200, b'<html>')
        if request.method != 'GET' and faults.lost_writes:
            faults.lost_writes -= 1
            return http_server.RawResponse()
        return response

    async def _dispatch(self, request):
        parts = urllib.parse.unquote(request.path).strip('/').split('/')
        if len(parts) < 2 or parts[0] != 'objects':
            return http_server.json_response({'error': 'no such path'}, 404)
        kind, name = parts[1], parts[2] if len(parts) > 2 else None
        if request.method == 'GET' and name is None:
            self.kinds_read.add(kind)
        match request.method:
            case 'GET' if request.query('watch'):
                return await self._watch(kind, request)
            case 'GET' if name is not None:
                stored = self._objects.get((kind, name))
                if stored is None:
                    return http_server.json_response({'error': 'none'}, 404)
                return http_server.json_response(stored)
            case 'GET':
                return self._list(kind, request)
            case 'POST':
                return self._create(kind, json.loads(request.body))
            case 'PUT':
                is_status = len(parts) > 3
                data = json.loads(request.body)
                return self._replace(kind, name, data, is_status)
        return http_server.json_response({'error': 'no such method'}, 400)

    def _list(self, kind, request):
        after = urllib.parse.unquote(request.query('after'))
        objects, revision = self._objects, self._revision
        if self._stale_state is not None and request.query('allow_stale'):
            objects, revision = self._stale_state
        names = sorted(
            object_name
            for object_kind, object_name in objects
            if object_kind == kind and object_name > after
        )
        page = names[: self._page_items]
        return http_server.json_response(
            {
                'items': [objects[(kind, name)] for name in page],
                'more': len(names) > len(page),
                'at': revision,
            }
        )

    def _create(self, kind, data):
        name = data['metadata']['name']
        current = self._objects.get((kind, name))
        if current is not None:
            return http_server.json_response(current, 409)
        return http_server.json_response(
            self._write(kind, name, data, None), 201
        )

    def _replace(self, kind, name, data, is_status):
        current = self._objects.get((kind, name))
        if current is None:
            return http_server.json_response({'error': 'no such object'}, 404)
        expected = data.get('metadata', {}).get('revision')
        if expected not in (None, current['metadata']['revision']):
            return http_server.json_response(current, 409)
        new = dict(current)
        if is_status:
            new['status'] = data.get('status')
        else:
            new['spec'] = data.get('spec')
        if new == current:
            return http_server.json_response(current)
        return http_server.json_response(self._write(kind, name, new, current))

    async def _watch(self, kind, request):
        after_revision = int(request.query('watch'))
        wait_s = min(MAX_WAIT_S, int(request.query('wait_ms', '0')) / 1000)
        with trio.move_on_after(wait_s):
            while True:
                if not (
                    self._forgotten_revision
                    <= after_revision
                    <= self._revision
                ):
                    return http_server.json_response({'error': 'gone'}, 410)
                changed = self._changed
                if not self.faults.deaf and self._events(kind, after_revision):
                    break
                await changed.wait()
        events = [] if self.faults.deaf else self._events(kind, after_revision)
        revision = after_revision if self.faults.deaf else self._revision
        return http_server.json_response({'events': events, 'at': revision})

    def _events(self, kind, after_revision):
        return [
            {'object': change.data, 'deleted': change.is_deleted}
            for change in self._history
            if change.revision > after_revision and change.kind == kind
        ]
