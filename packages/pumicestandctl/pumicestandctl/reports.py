"""Results of commands, as text for people or JSON for programs."""

import dataclasses
import datetime
import json

from pumicestand import clocks


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The result of a command.

    :param data: for programs; must be serialisable as JSON
    :param lines: for people; lines of text
    """

    data: object
    lines: tuple[str, ...]

    def render(self, output):
        """Return the report as a string.

        :param output: ``text`` or ``json``
        """
        if output == 'json':
            return json.dumps(self.data, indent=2, sort_keys=True)
        return '\n'.join(self.lines)


def report_change(change):
    """Report an `editing.Change`."""
    verb = 'accepted as' if change.is_new else 'already accepted as'
    line = (
        f'{change.environment}: {verb} generation {change.generation}, '
        f'change {change.change_id}'
    )
    return Report(dataclasses.asdict(change), (line,))


def _describe_move(move):
    line = f'  {move["name"]}: {move["state"]}'
    if move['state'] in ('running', 'late'):
        line += f' at {move["share"]:.1%}'
    if move['held_here']:
        line += ', held at the reporting node'
    if move['reason']:
        line += f' ({move["reason"]})'
    return line


def summarise_moves(responses):
    """Return all moves by start, each in its most advanced state.

    :param responses: a `fleet.NodeResponse` for each node
    """
    states = ('scheduled', 'running', 'late', 'done', 'taken-back')
    moves = {}
    for response in responses:
        for move in (response.data or {}).get('moves', ()):
            known_move = moves.get(move['identity'])
            if known_move is None or states.index(
                move['state']
            ) > states.index(known_move['state']):
                moves[move['identity']] = move
    return sorted(moves.values(), key=lambda move: move['start'])


def report_status(environment, accepted, responses):
    """Report what an environment acts on.

    :param accepted: the accepted generation, None if the store is down
    :param responses: a `fleet.NodeResponse` for each node
    """
    accepted_generations = [
        response.data['accepted'] for response in responses if response.data
    ]
    newest = (
        accepted
        if accepted is not None
        else max(accepted_generations, default=0)
    )
    behind = {}
    for response in responses:
        if response.data is None:
            behind[response.name] = f'no answer ({response.error})'
        elif response.data['acting'] < newest or response.data['stale']:
            reason = response.data['stale_reason']
            behind[response.name] = reason or (
                f'acts on generation {response.data["acting"]}'
            )
    acting = [
        response.name for response in responses if response.name not in behind
    ]
    moves = summarise_moves(responses)
    source = (
        'the store' if accepted is not None else 'the nodes; the store is down'
    )
    lines = [
        f'{environment}: generation {newest} is accepted (from {source})',
        f'{len(acting)} of {len(responses)} nodes act on it',
    ]
    lines += [
        f'  {name} does not: {reason}' for name, reason in behind.items()
    ]
    lines.append(f'moves: {len(moves)}')
    lines += [_describe_move(move) for move in moves]
    data = {
        'environment': environment,
        'accepted': newest,
        'store_answered': accepted is not None,
        'acting': acting,
        'behind': behind,
        'moves': moves,
    }
    return Report(data, tuple(lines))


def _format_time(stamp):
    seconds = clocks.stamp_seconds(stamp)
    time = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return time.strftime('%H:%M:%S.%f')[:-3]


def report_timeline(events, unreachable):
    """Report events in causal order.

    :param events: mappings, one for each event
    :param unreachable: names of nodes that did not answer
    """
    lines = []
    for event in events:
        context = ' '.join(
            f'{key}={event[key]}'
            for key in ('generation', 'service', 'move', 'step', 'peer')
            if event[key]
        )
        lines.append(
            f'{_format_time(event["stamp"])} {event["process"]:<12} '
            f'{event["kind"]:<18} {context} {event["detail"]}'.rstrip()
        )
    lines += [f'no answer from {name}' for name in unreachable]
    return Report({'events': events, 'unheard': unreachable}, tuple(lines))


def report_explanation(data):
    """Report which target would take a call, and why.

    :param data: the response of a node to ``/v1/explain``
    """
    if 'route' not in data:
        line = f'refused {data["status"]} {data["code"]}: {data["detail"]}'
        return Report(data, (line,))
    lines = [
        f'route {data["route"]} of generation {data["generation"]} at node '
        f'{data["node"]}'
    ]
    for service in data['services']:
        lines.append(
            f'  service {service["service"]}, weight {service["weight"]}'
            + (f', move {service["move"]}' if service['move'] else '')
        )
        for version in service['versions']:
            lines.append(
                f'    version {version["version"]} gets {version["share"]:.1%}'
            )
            lines += [
                _describe_target(target) for target in version['targets']
            ]
            if not version['targets']:
                lines.append('      no target is known')
    lines.append(
        'the less loaded of two targets that are not ejected takes the call, '
        'the own zone first'
    )
    return Report(data, tuple(lines))


def _describe_target(target):
    zone = 'own zone' if target['own_zone'] else f'zone {target["zone"]}'
    text = (
        f'      {target["address"]} ({zone}): {target["in_flight"]} in '
        f'flight, {target["latency_ms"]} ms'
    )
    return text + (', ejected' if target['ejected'] else '')
