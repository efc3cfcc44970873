"""Exchanges messages with the coordinators of the organisations' quotas.

It does nothing unless the configuration in force has an organisation with a
rate.
"""

import collections
import dataclasses

import trio

from pumicestand import quota_buckets
from pumicestand import quota_coordination
from pumicestand import quota_fleet
from pumicestand import quotas

# Period at which the fleet is looked at although no node has changed, in
# seconds: links may have broken. Changes are looked at no more often than in
# the second period, since a starting node learns of hundreds of others.
OBSERVE_PERIOD_S = 1.0
MIN_OBSERVE_PERIOD_S = 0.2
# Time after the start from which the known nodes count as the whole fleet even
# if the list in the store could not be read, in seconds.
MAX_LISTING_DELAY_S = 2.0


@dataclasses.dataclass(slots=True, eq=False)
class _Waiter:
    """A call that waits for a token.

    :param decision: `quotas.Admitted` or `quotas.Refused`, None until done
    """

    organisation: str
    done: trio.Event = dataclasses.field(default_factory=trio.Event)
    decision: quotas.Admitted | quotas.Refused | None = None


class QuotaAgent:
    """Admits the calls of organisations with a quota.

    ``counts`` holds the number of calls by ('admitted' or 'refused',
    organisation) and of returned tokens by ('returned', organisation),
    ``message_counts`` that of sent messages by ('request' or 'reply',).

    :param mesh: the `mesh_state.MeshState`
    :param bounds: the `mesh_settings.MeshBounds`
    :param send_to: called with (name of a node, message)
    :param update_selection: called when the coordinators have changed, so
        that there are links to them
    :param clock: returns monotonic seconds
    """

    def __init__(self, mesh, bounds, send_to, update_selection, clock):
        self._mesh = mesh
        self._send_to = send_to
        self._update_selection = update_selection
        self._clock = clock
        quota_bounds = quota_buckets.QuotaBounds(
            bounds.quota_window, bounds.quota_excess, bounds.quota_slack
        )
        name = mesh.identity.name
        self._name = name
        self._node = quotas.QuotaNode(name, quota_bounds)
        self._coordinator = quota_coordination.Coordinator(name, quota_bounds)
        self._observer = quota_fleet.QuotaFleetObserver(name)
        self._configuration = None
        self._organisations = {}
        self._observed_change_count = -1
        self._observed_at = float('-inf')
        self._started_at = clock()
        self._waiters = collections.deque()
        self._wake = trio.Event()
        self._sleeps_until = float('inf')
        self.counts = collections.Counter()
        self.message_counts = collections.Counter()

    @property
    def is_active(self):
        """Whether an organisation has a quota."""
        return bool(self._organisations)

    @property
    def coordinators(self):
        """Names of the nodes that this node delegates its share to."""
        return self._node.coordinators

    async def run(self):
        """Send requests when they are due."""
        while True:
            sleep_s = float('inf')
            if self.is_active:
                self._sleeps_until = self._node.next_due()
                sleep_s = max(0.0, self._sleeps_until - self._clock())
            with trio.move_on_after(sleep_s):
                await self._wake.wait()
            self._wake = trio.Event()
            # Nothing below has to wake this task up.
            self._sleeps_until = float('-inf')
            if self.is_active:
                self._pump(self._clock())

    def refresh(self, now):
        """Apply a new configuration and changes of the fleet.

        :param now: monotonic seconds
        """
        if self._mesh.configuration is not self._configuration:
            self._apply_configuration(now)
        if not self.is_active:
            return
        since_s = now - self._observed_at
        has_changed = (
            self._mesh.fleet.change_count != self._observed_change_count
        )
        if since_s >= OBSERVE_PERIOD_S or (
            has_changed and since_s >= MIN_OBSERVE_PERIOD_S
        ):
            self._observe(now)
        self._pump(now)

    def _apply_configuration(self, now):
        self._configuration = self._mesh.configuration
        organisations = self._configuration.document.organisations
        limited = {o.name: o for o in organisations if o.rate > 0}
        if limited == self._organisations:
            return
        self._organisations = limited
        self._node.set_organisations(limited)
        self._coordinator.set_organisations(limited, now)
        self._serve_waiters(now)
        if not limited:
            self._mesh.quota_coordinators = frozenset()
            self._mesh.decisions.note('quotas-off')

    def _observe(self, now):
        """Choose the coordinators and have the node link to them."""
        mesh = self._mesh
        self._observed_change_count = mesh.fleet.change_count
        self._observed_at = now
        if (
            not mesh.are_nodes_listed
            and now - self._started_at < MAX_LISTING_DELAY_S
        ):
            # With few known nodes, this node's share would be too large.
            return
        fleet = self._observer.observe(
            mesh.fleet, mesh.link_meter.rate, self._node.excluded(now), now
        )
        self._coordinator.set_node_count(fleet.node_count, now)
        names = frozenset(fleet.coordinators)
        if names != mesh.quota_coordinators:
            mesh.quota_coordinators = names
            self._update_selection()
        former = self._node.fleet.coordinators
        usable = [
            name
            if self._is_linked(name) or index >= len(former)
            # The former one is used until the link to the new one is open.
            else former[index]
            for index, name in enumerate(fleet.coordinators)
        ]
        if former or all(map(self._is_linked, usable)):
            self._node.set_fleet(
                quota_fleet.QuotaFleet(fleet.node_count, tuple(usable)), now
            )

    def _is_linked(self, name):
        if name == self._name:
            return True
        peer = self._mesh.fleet.get(name)
        return peer is not None and peer.is_linked

    async def admit(self, organisation, now):
        """Return whether a call may start, and take a token for it if so.

        :param organisation: a `documents.Organisation`
        :param now: monotonic seconds
        :returns: `quotas.Admitted` or `quotas.Refused`
        """
        if self._mesh.configuration is not self._configuration:
            self.refresh(now)
        name = organisation.name
        decision = self._node.try_start(name, now)
        if isinstance(decision, quotas.MustAsk):
            decision = await self._ask(name, now)
        if self._node.has_new_report:
            self._wake_up()
        outcome = 'admitted'
        if isinstance(decision, quotas.Refused):
            outcome = 'refused'
        self.counts[(outcome, name)] += 1
        return decision

    async def _ask(self, organisation, now):
        """Wait until the coordinator grants a token or refuses it."""
        waiter = _Waiter(organisation)
        self._waiters.append(waiter)
        self._node.add_waiting(organisation)
        try:
            self._pump(now)
            with trio.move_on_after(quotas.MAX_WAIT_S):
                await waiter.done.wait()
        finally:
            if waiter.decision is None:
                self._waiters.remove(waiter)
                self._node.remove_waiting(organisation)
        return waiter.decision or quotas.Refused(quotas.UNANSWERED_RETRY_S)

    def give_back(self, token, now):
        """Return the token of a call that no target has run.

        :param token: a `quotas.Token`
        :param now: monotonic seconds
        """
        self.counts[('returned', token.organisation)] += 1
        self._node.give_back(token, now)

    def handle_request(self, name, incarnation, request, send):
        """Answer the request of another node.

        :param name: name of the node
        :param incarnation: number of the node's process start
        :param request: a `hop_messages.QuotaRequest`
        :param send: called with the `hop_messages.QuotaReply`
        """
        reply = self._coordinator.handle(
            name, incarnation, request, self._clock()
        )
        if reply is not None:
            self.message_counts[('reply',)] += 1
            send(reply)

    def handle_reply(self, name, reply):
        """Apply a coordinator's `hop_messages.QuotaReply`."""
        now = self._clock()
        if self._node.apply_reply(name, reply, now):
            self._pump(now)

    def _pump(self, now):
        """Send what is due and end the waits of calls."""
        for name in self._node.coordinators:
            if not self._is_linked(name):
                self._node.lose_coordinator(name, now)
        # Calls that have got a token are not asked for again.
        self._serve_waiters(now)
        for send in self._node.due(now):
            if send.coordinator != self._name:
                self.message_counts[('request',)] += 1
                self._send_to(send.coordinator, send.request)
                continue
            reply = self._coordinator.handle(
                self._name, self._mesh.incarnation, send.request, now
            )
            if reply is not None:
                self._node.apply_reply(self._name, reply, now)
        self._serve_waiters(now)
        self._note_events(now)
        if self._node.next_due() < self._sleeps_until:
            self._wake_up()

    def _wake_up(self):
        self._wake.set()

    def _serve_waiters(self, now):
        """End the waits of calls that have a token or will not get one."""
        for waiter in list(self._waiters):
            decision = self._node.try_start(waiter.organisation, now)
            if isinstance(decision, quotas.MustAsk):
                continue
            waiter.decision = decision
            self._waiters.remove(waiter)
            self._node.remove_waiting(waiter.organisation)
            waiter.done.set()

    def _note_events(self, now):
        for event in self._node.take_events():
            match event:
                case quotas.CoordinatorTaken(name, slots):
                    self._mesh.decisions.note(
                        'quota-coordinator-taken',
                        node=name,
                        slots=slots,
                        nodes=self._node.fleet.node_count,
                    )
                case quotas.CoordinatorLost(name, slots):
                    self._mesh.decisions.note(
                        'quota-coordinator-lost', node=name, slots=slots
                    )
                    # Another one is chosen at the next opportunity.
                    self._observed_at = float('-inf')
