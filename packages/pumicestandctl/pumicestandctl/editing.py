"""Change the accepted document by conditional writes.

Each change has an id. When a write gets no answer, the id in the store
tells whether the write took effect.
"""

import dataclasses
import json
import random

import tenacity
import trio

from pumicestand import checks
from pumicestand import documents
from pumicestand import errors
from pumicestand import messages
from pumicestand import readers
from pumicestand import records
from pumicestand import verdicts
from pumicestand import watching

READ_BACK_ATTEMPTS = 8
READ_BACK_MAX_WAIT_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """The result of a change.

    :param generation: the generation that holds the content
    :param is_new: False if that content was the accepted one before
    """

    environment: str
    generation: int
    digest: str
    change_id: str
    is_new: bool


def new_change_id(rng=None):
    """Return a random id of 64 bits, in hexadecimal.

    :param rng: a `random.Random`, None for the system's generator
    """
    rng = rng or random.SystemRandom()
    return f'{rng.getrandbits(64):016x}'


async def read_accepted(client, environment):
    """Return the accepted `records.DocumentRecord` and its version.

    :param client: a `stores.StoreClient`
    """
    stored = await client.read(watching.document_key(environment))
    return records.from_stored(stored), stored.version


def check_move_times(document, accepted, now):
    """Refuse new moves that have too little time left.

    :param document: the `documents.Document` to be accepted
    :param accepted: the `documents.Document` that is accepted now
    :param now: wall time in seconds since the epoch
    :raises errors.PumicestandError: naming the first such move
    """
    known = {move.identity for move in accepted.moves}
    for move in document.moves:
        remaining_s = move.deadline - now
        if move.identity in known or remaining_s >= checks.MIN_MOVE_S:
            continue
        raise errors.PumicestandError(
            errors.Code.DOCUMENT_MOVE_TIME,
            f'the move {move.name!r} has {remaining_s:.0f} s left until its '
            f'planned end, a new move needs {checks.MIN_MOVE_S:g} s',
            step='check times',
            remedy='give the move a later start and time',
        )


async def write_document(
    client, environment, content, *, change_id, now, origin='', expected=None
):
    """Make content the accepted document of an environment.

    :param client: a `stores.StoreClient`
    :param content: canonical, as `readers.read_yaml` returns it
    :param change_id: from `new_change_id`
    :param now: wall time in seconds since the epoch
    :param origin: environment and generation that the content was promoted
        from, empty if it was not promoted
    :param expected: generation that must be accepted now, None for any
    :returns: a `Change`
    :raises errors.ConflictError: if another change came first
    """
    accepted, version = await read_accepted(client, environment)
    if expected is not None and accepted.generation != expected:
        _raise_conflict(environment, accepted, expected, 'read')
    digest = documents.content_digest(content)
    if accepted.digest == digest:
        return Change(
            environment, accepted.generation, digest, accepted.change_id, False
        )
    before = documents.Document()
    if accepted.generation:
        before = readers.read_content(accepted.content.encode())
    check_move_times(readers.read_content(content), before, now)
    record = records.DocumentRecord(
        generation=accepted.generation + 1,
        change_id=change_id,
        digest=digest,
        previous=accepted.generation,
        origin=origin,
        content=content.decode(),
    )
    await _write_once(client, environment, record, version)
    return Change(environment, record.generation, digest, change_id, True)


async def _write_once(client, environment, record, version):
    key = watching.document_key(environment)
    try:
        await client.write(key, records.to_json(record), version)
    except errors.ConflictError:
        accepted, _ = await _read_back(client, environment)
        _raise_conflict(environment, accepted, record.previous, 'write')
    except errors.StoreResponseLostError as error:
        await _confirm_write(client, environment, record, error)


async def _confirm_write(client, environment, record, error):
    """Read whether a write without an answer took effect.

    The write itself is never repeated.

    :raises errors.ConflictError: if another change came first
    :raises errors.StoreUnavailableError: if the write did not take effect
    """
    accepted, _ = await _read_back(client, environment)
    if accepted.change_id == record.change_id:
        return
    if accepted.generation >= record.generation:
        _raise_conflict(environment, accepted, record.previous, 'read back')
    raise errors.StoreUnavailableError(
        f'the write of generation {record.generation} did not take effect',
        step='read back',
        peer=error.peer,
    ) from error


async def _read_back(client, environment):
    """Read the accepted document, with retries while the store is down."""
    retrying = tenacity.AsyncRetrying(
        retry=tenacity.retry_if_exception_type(errors.StoreUnavailableError),
        stop=tenacity.stop_after_attempt(READ_BACK_ATTEMPTS),
        wait=tenacity.wait_random_exponential(
            multiplier=0.1, max=READ_BACK_MAX_WAIT_S
        ),
        sleep=trio.sleep,
        reraise=True,
    )
    return await retrying(read_accepted, client, environment)


def _raise_conflict(environment, accepted, expected, step):
    raise errors.ConflictError(
        f'{environment} has generation {accepted.generation} of change '
        f'{accepted.change_id or "none"}, expected generation {expected}',
        step=step,
        peer='store',
        current_version=accepted.generation,
    )


async def promote(client, trial, production, *, change_id, now, **options):
    """Make the document in force on trial the accepted one of production.

    :param trial: name of the trial environment
    :param production: name of the production environment
    :param options: ``expected`` as for `write_document`, and ``digest``: of
        the content to promote, None for the accepted one of trial
    :returns: a `Change`
    :raises errors.PumicestandError: if the content is not in force on trial
        or one of its moves was taken back there
    """
    record, _ = await read_accepted(client, trial)
    status = await client.read(watching.status_key(trial))
    in_force = json.loads(status.value) if status.exists else {}
    wanted = options.pop('digest', None) or record.digest or 'none'
    if in_force.get('digest') != wanted:
        raise errors.PumicestandError(
            errors.Code.NOT_IN_FORCE_ON_TRIAL,
            f'{trial} has generation {in_force.get("generation", 0)} in '
            f'force everywhere; to promote, digest {wanted[:12]} (accepted '
            f'generation {record.generation}) must be in force there',
            step='promote',
            peer='store',
            remedy=f'apply to {trial}, then wait until it is in force',
        )
    content = record.content.encode()
    await _refuse_taken_back_moves(
        client, trial, readers.read_content(content)
    )
    return await write_document(
        client,
        production,
        content,
        change_id=change_id,
        now=now,
        origin=f'{trial}/{record.generation}',
        **options,
    )


async def _refuse_taken_back_moves(client, trial, document):
    """Refuse a document if trial has taken back one of its moves."""
    for move in document.moves:
        key = verdicts.verdict_key(trial, move.identity)
        stored = await client.read(key)
        if not stored.exists:
            continue
        verdict = verdicts.parse_verdict(stored.value)
        if verdict.stage == messages.STAGE_TAKEN_BACK:
            raise errors.PumicestandError(
                errors.Code.MOVE_TAKEN_BACK,
                f'{trial} has taken back the move {move.name!r}: '
                f'{verdict.reason}',
                step='promote',
                peer='store',
                remedy='give the service a new version and a new move',
            )
