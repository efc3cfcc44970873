"""Dissemination of accepted documents to all nodes.

A node learns of an accepted generation from the header of a frame or from
the store. It fetches the content from a member that announced the reference
(generation and digest), and then announces the reference to a few random
members. It accepts content only if the digest matches the reference.
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
# Code of a peer's response if it does not have the document's content.
UNKNOWN_GENERATION = 'unknown-generation'


def compress(content):
    """Return a document's content as nodes send it to each other."""
    return zlib.compress(content, 6)


def decompress(compressed):
    """Return the content of a document that `compress` compressed.

    :raises ValueError: if the data can't be decompressed or the content is
        larger than `readers.MAX_CONTENT_BYTES`
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
    """Fetches accepted documents and announces them to other members.

    :param rng: a `random.Random`
    """

    def __init__(self, rng):
        self._rng = rng
        self._sources = {}
        self._next_fetch_at = None
        self._fetch_failures = 0
        self._wanted = documents.Accepted()

    def step(self, board, now):
        """Process the inbox; return announcements and fetches that are due."""
        previous = board.candidate
        for fact in board.inbox:
            match fact:
                case blackboards.ReceivedFrame(frame, address):
                    self._handle_frame(board, now, frame, address)
                case blackboards.StoreDocument(accepted, content):
                    self._apply_reference(board, now, accepted, 'store', None)
                    self._apply_content(board, now, accepted, content, 'store')
                case (
                    blackboards.RequestFailed(body=messages.Fetch()) as failed
                ):
                    self._record_fetch_failure(board, now, failed)
        due = []
        if board.candidate is not None and board.candidate is not previous:
            # Announced only with the content at hand, so that the receivers
            # can fetch it from this node.
            due += self._announce(board)
        return due + self._fetch(board, now)

    def _handle_frame(self, board, now, frame, address):
        if frame.accepted.generation:
            self._apply_reference(
                board, now, frame.accepted, frame.sender, address
            )
        if isinstance(frame.body, messages.Content):
            self._handle_content(board, now, frame)

    def _apply_reference(self, board, now, accepted, peer, address):
        if accepted.generation < board.accepted.generation:
            return
        if accepted.generation == board.accepted.generation:
            if accepted.digest != board.accepted.digest:
                self._emit_refusal(
                    board,
                    now,
                    accepted,
                    peer,
                    errors.Code.DIGEST_MISMATCH,
                    f'generation {accepted.generation} has two digests',
                )
                return
            self._add_source(board, peer, address)
            return
        board.accepted = accepted
        self._sources = {}
        self._next_fetch_at = None
        self._fetch_failures = 0
        self._add_source(board, peer, address)
        board.emit(
            events.Kind.VERSION_SEEN,
            now,
            step='hear',
            peer=peer,
            generation=accepted.generation,
            detail=f'digest {accepted.digest[:12]}',
        )

    def _add_source(self, board, peer, address):
        member = board.table.member(peer)
        if member is not None:
            address = member.address
        if address is not None:
            self._sources[peer] = address

    def _emit_refusal(self, board, now, accepted, peer, code, detail):
        board.emit(
            events.Kind.VERSION_REFUSED,
            now,
            step='take',
            peer=peer,
            generation=accepted.generation,
            detail=f'{code}: {detail}',
        )

    def _announce(self, board):
        """Send the reference to a few random members."""
        peers = board.peers()
        receivers = self._rng.sample(peers, min(ANNOUNCE_FANOUT, len(peers)))
        frame = board.frame()
        return [actions.SendDatagram(m.address, frame) for m in receivers]

    def _has_content(self, board):
        current = board.candidate or board.in_force
        return current is not None and current.accepted == board.accepted

    def _fetch(self, board, now):
        if not board.accepted.generation or self._has_content(board):
            return []
        if self._next_fetch_at is not None and now < self._next_fetch_at:
            return []
        if not self._sources:
            return self._fetch_from_store(board, now)
        peer = self._rng.choice(sorted(self._sources))
        self._next_fetch_at = now + FETCH_TIMEOUT_S + 0.5
        frame = board.frame(messages.Fetch(board.accepted))
        address = self._sources[peer]
        return [actions.SendRequest(peer, address, frame, FETCH_TIMEOUT_S)]

    def _fetch_from_store(self, board, now):
        """Read the store if no member is known to have the content.

        Members that have the generation in force are sources as well; the
        next step fetches from one of them.
        """
        for member in board.peers():
            if board.generations_by_member.get(member.name, 0) >= (
                board.accepted.generation
            ):
                self._sources[member.name] = member.address
        self._next_fetch_at = now + (STORE_RETRY_S if self._sources else 0)
        if self._sources:
            self._next_fetch_at = now
            return []
        self._next_fetch_at = now + STORE_RETRY_S
        return [actions.ReadStore(self._rng.random() * 0.5)]

    def _record_fetch_failure(self, board, now, failed):
        """Schedule a retry after a random delay; failures double its bound.

        A peer that only lacks the content so far stays a source.
        """
        if failed.detail != UNKNOWN_GENERATION:
            self._sources.pop(failed.peer, None)
        self._fetch_failures += 1
        max_delay_s = min(MAX_FETCH_DELAY_S, 0.05 * 2**self._fetch_failures)
        self._next_fetch_at = now + self._rng.random() * max_delay_s

    def _handle_content(self, board, now, frame):
        accepted = frame.body.accepted
        try:
            content = decompress(frame.body.compressed)
        except ValueError as error:
            self._emit_refusal(
                board,
                now,
                accepted,
                frame.sender,
                errors.Code.FRAME_INVALID,
                str(error),
            )
            self._sources.pop(frame.sender, None)
            self._next_fetch_at = None
            return
        self._apply_content(board, now, accepted, content, frame.sender)

    def _apply_content(self, board, now, accepted, content, peer):
        """Make content the candidate if it is valid and still needed.

        Content is ignored unless it belongs to the newest reference and is
        not present yet.
        """
        if accepted != board.accepted or self._has_content(board):
            return
        if not accepted.generation:
            return
        digest = documents.content_digest(content)
        if digest != accepted.digest:
            self._reject_content(
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
            self._reject_content(board, now, peer, error.code, str(error))
            return
        board.candidate = blackboards.Candidate(accepted, document, now)
        board.content = content
        self._next_fetch_at = None

    def _reject_content(self, board, now, peer, code, detail):
        self._emit_refusal(board, now, board.accepted, peer, code, detail)
        self._sources.pop(peer, None)
        self._next_fetch_at = None


def make_fetch_response(board, fetch):
    """Return the body of the response to a peer's `messages.Fetch`."""
    current = board.candidate or board.in_force
    if current is None or current.accepted != fetch.accepted:
        return messages.Refused(UNKNOWN_GENERATION)
    return messages.Content(fetch.accepted, compress(board.content))
