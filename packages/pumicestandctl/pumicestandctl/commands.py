"""The commands that `main` parses."""

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
    """The commands that need the store or the nodes, and their connections.

    :param settings: a `settings.CtlSettings`
    :param report_progress: function that takes a line of text
    """

    def __init__(self, settings, report_progress=lambda line: None):
        self._settings = settings
        self._client = stores.StoreClient(settings.store)
        self._report_progress = report_progress

    async def start(self):
        """Open the connections to the store."""
        await self._client.start()

    async def close(self):
        """Close the connections to the store."""
        await self._client.close()

    @property
    def client(self):
        """The `stores.StoreClient` of this session."""
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
        except errors.StoreUnavailableError:
            return None
        return record.generation

    async def diff(self, text, environment):
        """Report how a document differs from the accepted one."""
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
        note = (
            'to apply it on top of this generation: --expect '
            f'{accepted.generation}'
        )
        text_lines = (*lines, note) if lines else ('no difference',)
        return reports.Report(data, text_lines)

    async def apply(self, text, environment, expected=None):
        """Make a document the accepted one of an environment.

        :param text: the document in YAML
        :param expected: generation that must be accepted now, None for any
        :raises errors.ConflictError: if another change came first
        """
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
        """Make the document in force on trial the accepted one of production.

        :param text: the document in YAML that must be in force on trial,
            None for whichever is accepted there
        :param expected: generation that production must have accepted now,
            None for any
        """
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
        """Report which nodes act on the accepted document, and all moves."""
        async with self._open_fleet(environment) as fleet:
            responses = await fleet.query_all('/v1/status')
        accepted = await self._read_accepted_generation(environment)
        return reports.report_status(environment, accepted, responses)

    async def wait(self, environment, generation, move, timeout):
        """Wait until a generation is in force or a move has ended.

        :param generation: 0 for the accepted one
        :param move: name of the move, None to wait for the generation
        :param timeout: seconds
        :raises errors.PumicestandError: if the time-out expires or the move
            is taken back
        """
        deadline = trio.current_time() + timeout
        last_line = None
        while True:
            report = await self._try_status(environment)
            if report is not None:
                line, is_done = _describe_progress(
                    report.data, generation, move
                )
                if line != last_line:
                    self._report_progress(line)
                    last_line = line
                if is_done:
                    return reports.Report(report.data, (line,))
            if trio.current_time() >= deadline:
                raise errors.PumicestandError(
                    errors.Code.WAIT_TIMEOUT,
                    f'gave up waiting after {timeout:g} s, last progress: '
                    f'{last_line}',
                    step='wait',
                    remedy='check the output of status and timeline',
                )
            await trio.sleep(POLL_PERIOD_S)

    async def _try_status(self, environment):
        """Return the report of `status`, None if it failed."""
        try:
            return await self.status(environment)
        except errors.PumicestandError as error:
            self._report_progress(str(error))
            return None

    async def timeline(self, environment, event_filter, picture=None):
        """Report the events of all nodes in causal order.

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
        """Report which target would take a call, as one node sees it.

        :param node: name of the node, None for the first that answers
        """
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
            f'no answer from {node or "any node"}',
            step='explain',
            remedy='check the output of status',
        )


@dataclasses.dataclass(frozen=True, slots=True)
class EventFilter:
    """Selects events of the time line; empty values match all events.

    :param since: earliest time of an event, in seconds since the epoch
    """

    service: str = ''
    node: str = ''
    move: str = ''
    since: float = 0.0

    def matches(self, event):
        """Return whether an event is selected."""
        if self.service and event['service'] != self.service:
            return False
        if self.node and event['process'] != self.node:
            return False
        if self.move and event['move'].split('@')[0] != self.move:
            return False
        return clocks.stamp_seconds(event['stamp']) >= self.since


def validate(text):
    """Check a document without calling the store or a node.

    :param text: the document in YAML
    :raises errors.InvalidDocumentError: if it is invalid
    """
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
    """Return a line of progress and whether the wait is over.

    :param data: the data of a status report
    :raises errors.PumicestandError: if the move was taken back
    """
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
