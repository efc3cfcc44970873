"""Checks the keys of calls and sets the header that names an organisation."""

import collections

from pumicestand import organisations
from pumicestand import refusals
from pumicestand_node import outbound_call

# The request id of a call that a target makes while it runs another call is
# the id of that call, this separator and a suffix.
PARENT_SEPARATOR = '.'
# Time after the start of the node in which the target may still run calls
# that it was sent by the previous process, in seconds.
UNKNOWN_PARENTS_S = 5.0
_ADMITTED = organisations.Admitted()


class CallAccess:
    """Checks the calls of clients against the configuration in force.

    ``is_fresh`` returns whether that configuration was the newest one
    recently enough to trust its keys; it is replaced where this is required.
    ``counts`` holds the number of decisions on arriving calls as (decision,
    organisation).

    :param headers: the `call_headers.CallHeaders`
    :param find_running: returns the call with a request id that runs at the
        target on this VM, or None
    :param clock: returns monotonic seconds
    """

    def __init__(self, headers, find_running, clock):
        self._headers = headers
        self._find_running = find_running
        self._clock = clock
        self._started_at = clock()
        self._keys = organisations.KeyTable()
        self._configuration = None
        self._own_headers = frozenset((headers.api_key, headers.organisation))
        self.is_fresh = lambda: True
        self.counts = collections.Counter()

    def needs_keys(self, configuration):
        """Return whether calls need keys under a configuration.

        :param configuration: `documents.InForce`
        """
        if configuration is not self._configuration:
            self._keys.update(configuration.document)
            self._configuration = configuration
        return not self._keys.is_empty

    def decide(self, configuration, route, head, request_id):
        """Return the `organisations.Decision` on a call.

        :param configuration: the `documents.InForce` to apply
        :param route: the call's `documents.Route`
        :param head: the `heads.RequestHead`
        """
        if not self.needs_keys(configuration):
            return _ADMITTED
        parent = None
        may_be_nested = False
        if PARENT_SEPARATOR in request_id:
            parent = self.find_parent(configuration, head, request_id)
            age_s = self._clock() - self._started_at
            may_be_nested = age_s < UNKNOWN_PARENTS_S
        key = head.header(self._headers.api_key)
        return self._keys.decide(
            is_public=route.is_public,
            key=key and key.strip(),
            is_nested=parent is not None,
            may_be_nested=may_be_nested,
            is_fresh=self.is_fresh(),
        )

    def record(self, decision):
        """Count a decision on an arriving call, where calls need keys."""
        if self._keys.is_empty:
            return
        organisation = getattr(decision, 'organisation', None)
        name = organisation.name if organisation else ''
        self.counts[(type(decision).__name__, name)] += 1

    def find_parent(self, configuration, head, request_id):
        """Return the running call that has made a call, None if none has.

        A nested call may have made it, whose id then has a suffix, too.

        :param configuration: the `documents.InForce` to apply
        :param head: the `heads.RequestHead`
        """
        if head.header(self._headers.api_key) and self.needs_keys(
            configuration
        ):
            # Targets send no key with the calls that they make.
            return None
        id_, separator, _ = request_id.rpartition(PARENT_SEPARATOR)
        while separator and id_:
            parent = self._find_running(id_)
            if parent is not None:
                return parent
            id_, separator, _ = id_.rpartition(PARENT_SEPARATOR)
        return None

    def filter_headers(self, headers, organisation):
        """Return the headers that a target gets, with its organisation.

        The key is removed; the organisation that the client has named is
        replaced by its own.

        :param headers: (name, value) pairs of bytes
        :param organisation: `documents.Organisation`, None for none
        """
        kept = [h for h in headers if h[0] not in self._own_headers]
        if organisation is not None:
            name = organisation.name.encode()
            kept.append((self._headers.organisation, name))
        return kept


def refusal(decision, remaining_s):
    """Return the `refusals.Refusal` of a call, None if it may run.

    :param decision: an `organisations.Decision`
    :param remaining_s: seconds for which the client still waits
    """
    match decision:
        case organisations.Admitted():
            return None
        case organisations.UnknownKey(is_missing):
            return refusals.not_run(
                refusals.CallCode.UNKNOWN_KEY,
                'the key is missing' if is_missing else 'the key is unknown',
                retry_after=None,
                status=401,
            )
        case organisations.NoFreshProof():
            return refusals.not_run(
                refusals.CallCode.NO_FRESH_PROOF,
                'this node can not tell whether the key is still valid',
                retry_after=_retry_after_s(remaining_s),
            )
        case organisations.UnknownParent():
            return refusals.not_run(
                refusals.CallCode.UNKNOWN_PARENT,
                'this node has just started and does not know the calls that '
                'run',
                retry_after=_retry_after_s(remaining_s),
            )


def _retry_after_s(remaining_s):
    """Return seconds that a client waits that has the given time left.

    Clients do not wait for more than a third of it.
    """
    seconds = min(outbound_call.RETRY_AFTER_S, remaining_s / 3)
    return round(max(0.01, seconds), 3)
