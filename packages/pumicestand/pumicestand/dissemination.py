"""Brings the accepted document to this node, whole.

A node hears of a generation by a frame's header or from the store, fetches
the content from whoever told it, and then passes the reference on to a few
members. Content counts only if its digest fits the reference.
"""

import zlib

from pumicestand import actions
from pumicestand import blackboard as blackboards
from pumicestand import documents
from pumicestand import errors
from pumicestand import events
from pumicestand import messages
from pumicestand import readers

ANNOUNCE_FANOUT = 8
FETCH_TIMEOUT_S = 1.0
MAX_FETCH_DELAY_S = 2.0
STORE_RETRY_S = 2.0
# What a peer answers that has heard of a document but does not hold it.
UNKNOWN_GENERATION = 'unknown-generation'


def compress(content):
    """Return a document's content as it crosses between nodes."""
    return zlib.compress(content, 6)


def decompress(compressed):
    """Return the content, bounded in size.

    :raises ValueError: if it can't be read or is too large
    """
    decoder = zlib.decompressobj()
    try:
        content = decoder.decompress(compressed, readers.MAX_CONTENT_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if decoder.unconsumed_tail or not decoder.eof:
        raise ValueError('the content is truncated or too large')
    return content


class DocumentController:
    """Learns of accepted documents, announces and fetches them.

    :param rng: a `random.Random`
    """

    def __init__(self, rng):
        self._rng = rng
        self._holders = {}
        self._fetching_until = None
        self._fetch_failures = 0
        self._wanted = documents.Accepted()

    def step(self, board, now):
        """Return announcements and fetches that are due."""
        before = board.candidate
        for fact in board.inbox:
            match fact:
                case blackboards.ReceivedFrame(frame, address):
                    self._receive(board, now, frame, address)
                case blackboards.StoreDocument(accepted, content):
                    self._hear(board, now, accepted, 'store', None)
                    self._take(board, now, accepted, content, 'store')
                case blackboards.RequestFailed(body=messages.Fetch()) as f:
                    self._fetch_failed(board, now, f)
        taken = []
        if board.candidate is not None and board.candidate is not before:
            # Only now: whoever hears of it here can also fetch it here.
            taken += self._announce(board)
        return taken + self._fetch(board, now)

    def _receive(self, board, now, frame, address):
        if frame.accepted.generation:
            self._hear(board, now, frame.accepted, frame.sender, address)
        if isinstance(frame.body, messages.Content):
            self._take_content(board, now, frame)

    def _hear(self, board, now, accepted, peer, address):
        if accepted.generation < board.accepted.generation:
            return
        if accepted.generation == board.accepted.generation:
            if accepted.digest != board.accepted.digest:
                self._refuse(
                    board,
                    now,
                    accepted,
                    peer,
                    errors.Code.DIGEST_MISMATCH,
                    f'generation {accepted.generation} has two digests',
                )
                return
            self._add_holder(board, peer, address)
            return
        board.accepted = accepted
        self._holders = {}
        self._fetching_until = None
        self._fetch_failures = 0
        self._add_holder(board, peer, address)
        board.emit(
            events.Kind.VERSION_SEEN,
            now,
            step='hear',
            peer=peer,
            generation=accepted.generation,
            detail=f'digest {accepted.digest[:12]}',
        )

    def _add_holder(self, board, peer, address):
        member = board.table.member(peer)
        if member is not None:
            address = member.address
        if address is not None:
            self._holders[peer] = address

    def _refuse(self, board, now, accepted, peer, code, detail):
        board.emit(
            events.Kind.VERSION_REFUSED,
            now,
            step='take',
            peer=peer,
            generation=accepted.generation,
            detail=f'{code}: {detail}',
        )

    def _announce(self, board):
        """Push the reference to a few random members."""
        peers = board.peers()
        chosen = self._rng.sample(peers, min(ANNOUNCE_FANOUT, len(peers)))
        frame = board.frame()
        return [actions.SendDatagram(m.address, frame) for m in chosen]

    def _has_content(self, board):
        held = board.candidate or board.in_force
        return held is not None and held.accepted == board.accepted

    def _fetch(self, board, now):
        if not board.accepted.generation or self._has_content(board):
            return []
        if self._fetching_until is not None and now < self._fetching_until:
            return []
        if not self._holders:
            return self._fetch_from_store(board, now)
        peer = self._rng.choice(sorted(self._holders))
        self._fetching_until = now + FETCH_TIMEOUT_S + 0.5
        frame = board.frame(messages.Fetch(board.accepted))
        address = self._holders[peer]
        return [actions.SendRequest(peer, address, frame, FETCH_TIMEOUT_S)]

    def _fetch_from_store(self, board, now):
        """Read the store when no member has the content."""
        for member in board.peers():
            if board.generations_by_member.get(member.name, 0) >= (
                board.accepted.generation
            ):
                self._holders[member.name] = member.address
        self._fetching_until = now + (STORE_RETRY_S if self._holders else 0)
        if self._holders:
            self._fetching_until = now
            return []
        self._fetching_until = now + STORE_RETRY_S
        return [actions.ReadStore(self._rng.random() * 0.5)]

    def _fetch_failed(self, board, now, failed):
        """Try again, later with each failure."""
        if failed.detail != UNKNOWN_GENERATION:
            self._holders.pop(failed.peer, None)
        self._fetch_failures += 1
        bound = min(MAX_FETCH_DELAY_S, 0.05 * 2**self._fetch_failures)
        self._fetching_until = now + self._rng.random() * bound

    def _take_content(self, board, now, frame):
        accepted = frame.body.accepted
        try:
            content = decompress(frame.body.compressed)
        except ValueError as error:
            self._refuse(
                board,
                now,
                accepted,
                frame.sender,
                errors.Code.FRAME_INVALID,
                str(error),
            )
            self._holders.pop(frame.sender, None)
            self._fetching_until = None
            return
        self._take(board, now, accepted, content, frame.sender)

    def _take(self, board, now, accepted, content, peer):
        """Make content the candidate if it is whole and newer."""
        if accepted != board.accepted or self._has_content(board):
            return
        if not accepted.generation:
            return
        digest = documents.content_digest(content)
        if digest != accepted.digest:
            self._reject(
                board,
                now,
                peer,
                errors.Code.DIGEST_MISMATCH,
                f'the content has digest {digest[:12]}, accepted is '
                f'{accepted.digest[:12]}',
            )
            return
        try:
            document = readers.read_content(content)
        except errors.InvalidDocumentError as error:
            self._reject(board, now, peer, error.code, str(error))
            return
        board.candidate = blackboards.Candidate(accepted, document, now)
        board.content = content
        self._fetching_until = None

    def _reject(self, board, now, peer, code, detail):
        self._refuse(board, now, board.accepted, peer, code, detail)
        self._holders.pop(peer, None)
        self._fetching_until = None


def make_fetch_response(board, fetch):
    """Return the body that answers a peer's `messages.Fetch`."""
    held = board.candidate or board.in_force
    if held is None or held.accepted != fetch.accepted:
        return messages.Refused(UNKNOWN_GENERATION)
    return messages.Content(fetch.accepted, compress(board.content))
