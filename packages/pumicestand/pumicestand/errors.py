"""Error codes and the exceptions that carry them.

Each error states its code, the step that failed and, if another process was
involved, the peer. docs/operations/errors.md lists the codes with their
remedies.
"""

import enum


class Code(enum.StrEnum):
    """Codes of all refusals and failures; operators' tools rely on them."""

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
    ACCEPT_FAILED = 'accept-failed'
    CONNECTION_FAILED = 'connection-failed'
    METRICS_FAILED = 'metrics-failed'
    PORT_UNAVAILABLE = 'port-unavailable'


class PumicestandError(Exception):
    """Base class of all errors with a code.

    :param code: the `Code`
    :param message: what is wrong, with the object, value and limit involved
    :param step: name of the step that failed
    :param peer: name or address of the other process, None without one
    :param remedy: what the operator can do, None if there is no advice
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
    """The document is invalid and was rejected as a whole.

    :param line: line of the document, from 1
    :param column: column of the document, from 1
    """

    def __init__(self, code, message, *, line, column, remedy):
        super().__init__(code, message, step='validate', remedy=remedy)
        self.line = line
        self.column = column

    def __str__(self):
        return f'{self.line}:{self.column}: {super().__str__()}'


class SettingsError(PumicestandError):
    """A setting is unknown or has an invalid value."""

    def __init__(self, message, *, remedy):
        super().__init__(
            Code.SETTINGS, message, step='read settings', remedy=remedy
        )


class ConflictError(PumicestandError):
    """A conditional update failed because another write came first.

    :param current_version: version or generation that the store holds now
    """

    def __init__(self, message, *, step, peer, current_version):
        super().__init__(
            Code.CONFLICT,
            message,
            step=step,
            peer=peer,
            remedy='read the current version, then apply the change again',
        )
        self.current_version = current_version


class StoreUnavailableError(PumicestandError):
    """The store did not carry out the call, or gave no response to a read."""

    def __init__(self, message, *, step, peer):
        super().__init__(Code.STORE_UNAVAILABLE, message, step=step, peer=peer)


class StoreResponseLostError(PumicestandError):
    """The response to a write was lost; the write may have taken effect."""

    def __init__(self, message, *, step, peer):
        super().__init__(Code.STORE_ANSWER_LOST, message, step=step, peer=peer)


class StoreRejectedError(PumicestandError):
    """The store rejected the call; a retry would be rejected as well.

    An example is an object that exceeds the store's size limit.
    """

    def __init__(self, message, *, step, peer):
        super().__init__(Code.STORE_REJECTED, message, step=step, peer=peer)


class WatchExpiredError(PumicestandError):
    """The watch can't resume from its version; the object must be read."""

    def __init__(self, message, *, step, peer):
        super().__init__(
            Code.STORE_WATCH_EXPIRED, message, step=step, peer=peer
        )


class InvalidFrameError(PumicestandError):
    """A frame from a peer was rejected and had no effect."""

    def __init__(self, code, message, *, peer, step='read frame'):
        super().__init__(code, message, step=step, peer=peer)


class PeerUnavailableError(PumicestandError):
    """A peer can't be reached or did not respond in time."""

    def __init__(self, message, *, step, peer):
        super().__init__(Code.PEER_UNAVAILABLE, message, step=step, peer=peer)


class PortError(PumicestandError):
    """A port of this process can't be opened."""

    def __init__(self, message):
        super().__init__(
            Code.PORT_UNAVAILABLE,
            message,
            step='open ports',
            remedy='free the port or change the setting',
        )
