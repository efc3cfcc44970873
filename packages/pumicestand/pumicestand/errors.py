"""Errors with codes.

Every error carries a code, the step at which it arose and, where another
process took part, the peer. The codes are listed with their remedies in
docs/operations/errors.md.
"""

import enum


class Code(enum.StrEnum):
    """The stable names of all refusals and failures."""

    DOCUMENT_SYNTAX = 'document-syntax'
    DOCUMENT_DUPLICATE_KEY = 'document-duplicate-key'
    DOCUMENT_UNKNOWN_KEY = 'document-unknown-key'
    DOCUMENT_VALUE = 'document-value'
    DOCUMENT_UNIT = 'document-unit'
    DOCUMENT_REFERENCE = 'document-reference'
    DOCUMENT_DUPLICATE = 'document-duplicate'
    DOCUMENT_CYCLE = 'document-cycle'
    DOCUMENT_MOVE_TIME = 'document-move-time'
    DOCUMENT_TOO_LARGE = 'document-too-large'
    SETTINGS = 'settings'
    CONFLICT = 'conflict'
    NOT_IN_FORCE_ON_TRIAL = 'not-in-force-on-trial'
    STORE_UNAVAILABLE = 'store-unavailable'
    STORE_REJECTED = 'store-rejected'
    STORE_ANSWER_LOST = 'store-answer-lost'
    STORE_WATCH_EXPIRED = 'store-watch-expired'
    NO_NODES = 'no-nodes'
    WAIT_TIMEOUT = 'wait-timeout'
    MOVE_TAKEN_BACK = 'move-taken-back'
    FRAME_TOO_LARGE = 'frame-too-large'
    FRAME_INVALID = 'frame-invalid'
    PROTOCOL_VERSION = 'protocol-version'
    WRONG_ENVIRONMENT = 'wrong-environment'
    DIGEST_MISMATCH = 'digest-mismatch'
    PEER_UNAVAILABLE = 'peer-unavailable'
    NO_SUCH_REQUEST = 'no-such-request'


class PumicestandError(Exception):
    """An error with a code, a step and, if known, a peer.

    :param code: which error this is
    :param message: what is wrong, naming the thing, number and bound
    :param step: the step of the work at which it arose
    :param peer: the other process, by name or address
    :param remedy: what the reader can do about it
    """

    def __init__(self, code, message, *, step, peer=None, remedy=None):
        super().__init__(message)
        self.code = code
        self.message = message
        self.step = step
        self.peer = peer
        self.remedy = remedy

    def __str__(self):
        parts = [f'{self.code.value}: {self.message} (step {self.step}']
        if self.peer:
            parts.append(f', peer {self.peer}')
        parts.append(')')
        if self.remedy:
            parts.append(f'; {self.remedy}')
        return ''.join(parts)


class InvalidDocumentError(PumicestandError):
    """The document is refused whole; nothing was written.

    :param line: 1-based line of the document
    :param column: 1-based column of the document
    """

    def __init__(self, code, message, *, line, column, remedy):
        super().__init__(code, message, step='validate', remedy=remedy)
        self.line = line
        self.column = column

    def __str__(self):
        return f'{self.line}:{self.column}: {super().__str__()}'


class SettingsError(PumicestandError):
    """A setting can't be used; the message says which and what to do."""

    def __init__(self, message, *, remedy):
        super().__init__(
            Code.SETTINGS, message, step='read settings', remedy=remedy
        )


class ConflictError(PumicestandError):
    """A conditional update lost; `winner` is what stands in the store.

    :param winner: the version of the object that is there now
    """

    def __init__(self, message, *, step, peer, winner):
        super().__init__(
            Code.CONFLICT,
            message,
            step=step,
            peer=peer,
            remedy='read what stands there now, then apply again',
        )
        self.winner = winner


class StoreUnavailableError(PumicestandError):
    """The store did not take the call; nothing took effect."""

    def __init__(self, message, *, step, peer):
        super().__init__(Code.STORE_UNAVAILABLE, message, step=step, peer=peer)


class StoreResponseLostError(PumicestandError):
    """The store may have carried out the call; the answer is missing."""

    def __init__(self, message, *, step, peer):
        super().__init__(Code.STORE_ANSWER_LOST, message, step=step, peer=peer)


class StoreRejectedError(PumicestandError):
    """The store refused the call for good, for example for its size."""

    def __init__(self, message, *, step, peer):
        super().__init__(Code.STORE_REJECTED, message, step=step, peer=peer)


class WatchExpiredError(PumicestandError):
    """The watch can't go on from its version; a new read is needed."""

    def __init__(self, message, *, step, peer):
        super().__init__(
            Code.STORE_WATCH_EXPIRED, message, step=step, peer=peer
        )


class InvalidFrameError(PumicestandError):
    """A frame from a peer was refused and changed nothing."""

    def __init__(self, code, message, *, peer, step='read frame'):
        super().__init__(code, message, step=step, peer=peer)


class PeerUnavailableError(PumicestandError):
    """A peer did not answer in time."""

    def __init__(self, message, *, step, peer):
        super().__init__(Code.PEER_UNAVAILABLE, message, step=step, peer=peer)
