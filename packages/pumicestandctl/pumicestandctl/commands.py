"""What each command does; `main` parses, this module carries out."""

import contextlib
import dataclasses
import difflib
import json
import time

import trio

from pumicestand import clocks
from pumicestand import errors
from pumicestand import readers
from pumicestand import stores
from pumicestandctl import editing
from pumicestandctl import fleet as fleets
from pumicestandctl import pictures
from pumicestandctl import reports

POLL_PERIOD_S = 0.25


class Session:
    """The connections of one run of the command.

    :param settings: a `settings.CtlSettings`
    :param report_progress: called with a line of progress
    """

    def __init__(self, settings, report_progress=lambda line: None):
        self._settings = settings
        self._client = stores.StoreClient(settings.store)
        self._report_progress = report_progress

    async def start(self):
        """Open the store's client."""
        await self._client.start()

    async def close(self):
        """Close the store's client."""
        await self._client.close()

    @property
    def client(self):
        """The `stores.StoreClient`."""
        return self._client

    @contextlib.asynccontextmanager
    async def _open_fleet(self, environment):
        fleet = fleets.FleetClient(
            self._client, environment, self._settings.nodes
        )
        await fleet.start()
        try:
            yield fleet
        finally:
            await fleet.close()

    async def _read_accepted_generation(self, environment):
        """Return the accepted generation, None if the store is down."""
        try:
            record, _ = await editing.read_accepted(self._client, environment)
        except errors.StoreUnavailable:
            return None
        return record.generation

    async def diff(self, text, environment):
        """Compare a document with what is accepted."""
        _, content = readers.read_yaml(text)
        accepted, _ = await editing.read_accepted(self._client, environment)
        before = (
            _format_content(accepted.content) if accepted.generation else []
        )
        lines = list(
            difflib.unified_diff(
                before,
                _format_content(content),
                f'{environment} generation {accepted.generation}',
                'this document',
                lineterm='',
            )
        )
        data = {'generation': accepted.generation, 'diff': lines}
        note = f'to apply it to this: --expect {accepted.generation}'
        text_lines = (*lines, note) if lines else ('no difference',)
        return reports.Report(data, text_lines)

    async def apply(self, text, environment, expected=None):
        """Make a document the accepted one."""
        _, content = readers.read_yaml(text)
        change = await editing.write_document(
            self._client,
            environment,
            content,
            change_id=editing.new_change_id(),
            now=time.time(),
            expected=expected,
        )
        return reports.report_change(change)

    async def promote(self, text=None, expected=None):
        """Make trial's document the production's."""
        digest = None
        if text is not None:
            _, content = readers.read_yaml(text)
            digest = editing.documents.content_digest(content)
        change = await editing.promote(
            self._client,
            self._settings.trial,
            self._settings.production,
            change_id=editing.new_change_id(),
            now=time.time(),
            expected=expected,
            digest=digest,
        )
        return reports.report_change(change)

    async def status(self, environment):
        """Tell who acts on the accepted document, and how moves stand."""
        async with self._open_fleet(environment) as fleet:
            responses = await fleet.query_all('/v1/status')
        accepted = await self._read_accepted_generation(environment)
        return reports.report_status(environment, accepted, responses)

    async def wait(self, environment, generation, move, timeout):
        """Wait until a generation is in force or a move has ended.

        :param generation: 0 for the accepted one
        :param move: the move's name, or None
        :raises errors.PumicestandError: on a time-out or a take-back
        """
        deadline = trio.current_time() + timeout
        last = None
        while True:
            report = await self._try_status(environment)
            if report is not None:
                line, is_done = _describe_progress(
                    report.data, generation, move
                )
                if line != last:
                    self._report_progress(line)
                    last = line
                if is_done:
                    return reports.Report(report.data, (line,))
            if trio.current_time() >= deadline:
                raise errors.PumicestandError(
                    errors.Code.WAIT_TIMEOUT,
                    f'not within {timeout:g} s: {last}',
                    step='wait',
                    remedy='look at status and timeline',
                )
            await trio.sleep(POLL_PERIOD_S)

    async def _try_status(self, environment):
        try:
            return await self.status(environment)
        except errors.PumicestandError as error:
            self._report_progress(str(error))
            return None

    async def timeline(self, environment, event_filter, picture=None):
        """Merge the events of all nodes in causal order.

        :param event_filter: a `EventFilter`
        :param picture: path of a PNG to write, or None
        """
        async with self._open_fleet(environment) as fleet:
            responses = await fleet.query_all('/v1/timeline')
        unreachable = [
            response.name for response in responses if response.data is None
        ]
        events = [
            event for response in responses for event in response.data or ()
        ]
        events.sort(key=lambda event: (event['stamp'], event['process']))
        chosen = [event for event in events if event_filter.matches(event)]
        if picture is not None:
            pictures.draw_timeline(chosen, picture)
        return reports.report_timeline(chosen, unreachable)

    async def explain(self, environment, method, host, path, node=None):
        """Tell which target would take a call, as one node sees it."""
        async with self._open_fleet(environment) as fleet:
            for member in await fleet.find_members():
                if node is not None and member['name'] != node:
                    continue
                response = await fleet.query(
                    member['name'],
                    member['operator'],
                    fleets.make_explain_path(method, host, path),
                )
                if response.data is not None:
                    return reports.report_explanation(response.data)
        raise errors.PumicestandError(
            errors.Code.NO_NODES,
            f'no node {node or ""} answers',
            step='explain',
            remedy='look at status',
        )


@dataclasses.dataclass(frozen=True, slots=True)
class EventFilter:
    """Which events of the time line are shown; empty values take all.

    :param since: seconds since the epoch
    """

    service: str = ''
    node: str = ''
    move: str = ''
    since: float = 0.0

    def matches(self, event):
        """Return whether an event is shown."""
        if self.service and event['service'] != self.service:
            return False
        if self.node and event['process'] != self.node:
            return False
        if self.move and event['move'].split('@')[0] != self.move:
            return False
        return clocks.stamp_seconds(event['stamp']) >= self.since


def validate(text):
    """Check a document without any call."""
    document, content = readers.read_yaml(text)
    data = {
        'services': len(document.services),
        'routes': len(document.routes),
        'moves': len(document.moves),
        'bytes': len(content),
        'digest': editing.documents.content_digest(content),
    }
    line = (
        f'valid: {data["services"]} services, {data["routes"]} routes, '
        f'{data["moves"]} moves, {data["bytes"]} bytes'
    )
    return reports.Report(data, (line,))


def _format_content(content):
    return json.dumps(
        json.loads(content), indent=2, sort_keys=True
    ).splitlines()


def _describe_progress(data, generation, move):
    """Return a line of progress and whether the wait is over."""
    if move is None:
        wanted = generation or data['accepted']
        total = len(data['acting']) + len(data['behind'])
        line = (
            f'generation {data["accepted"]} in force at '
            f'{len(data["acting"])} of {total} nodes'
        )
        reached = data['accepted'] >= wanted > 0
        return line, reached and not data['behind']
    found = [m for m in data['moves'] if m['name'] == move]
    if not found:
        return f'no node knows a move {move!r} yet', False
    state = found[-1]['state']
    line = f'move {move}: {state} at {found[-1]["share"]:.1%}'
    if state == 'taken-back':
        raise errors.PumicestandError(
            errors.Code.MOVE_TAKEN_BACK,
            f'the move {move!r} was taken back: {found[-1]["reason"]}',
            step='wait',
            remedy='give the service a new version and a new move',
        )
    return line, state == 'done'
