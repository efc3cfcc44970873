"""The links of a node and the state exchanged on them.

A node sends its calls to another node on the link that it opened itself, and
its reports on the links that other nodes opened to it. What nodes of another
availability zone have to know although they have no link, it sends to a few
nodes there, the contacts, which pass it on in their zone.
"""

import collections
import dataclasses
import functools
import itertools

import trio

from pumicestand import buffer_budget
from pumicestand import fetches
from pumicestand import hop
from pumicestand import hop_messages
from pumicestand import link_probes
from pumicestand import link_resumption
from pumicestand import link_selection
from pumicestand import log
from pumicestand import reporting
from pumicestand import zone_summaries
from pumicestand_node import body_receiver
from pumicestand_node import frame_streams
from pumicestand_node import link_server
from pumicestand_node import links
from pumicestand_node import supervision
from pumicestand_node import unidentified_links

# Delay before a requested report is sent, so that it covers further changes.
REPORT_COALESCING_S = 0.01
# Period at which the selection of links is renewed although no node has
# changed, in seconds: nodes may have become unreachable.
SELECTION_PERIOD_S = 1.0
# Time without calls after which a link that is no longer selected is closed,
# in seconds.
CLOSE_UNUSED_AFTER_S = 10.0
# Period at which the links with pending calls are checked, in seconds: a part
# of the time after which a silent link is pinged.
CALL_CHECK_PERIOD_S = 0.05
# Bound of the number of the first connection of a process; the field has 64
# bits.
MAX_FIRST_CONNECTION = 1 << 62


class MeshLinks:
    """Opens links to the selected nodes and serves the links others open.

    ``on_store_era`` is called with a later era of the store that another node
    has reported, ``on_freshness`` with a message about freshness proofs and a
    function that sends one back; both are optional. ``on_target_restored`` is
    called when another node has told what became of this node's target.

    :param mesh: `mesh_state.MeshState` of this node
    :param target_calls: `target_calls.TargetCalls` of this node
    :param on_configuration: called with a `hop_messages.Configuration` and
        the name of the peer that sent it
    :param clock: returns monotonic seconds
    :param rng: `random.Random`
    :param budget: `buffer_budget.BufferBudget` that counts the bodies which
        other nodes send
    """

    def __init__(
        self,
        mesh,
        target_calls,
        on_configuration,
        clock,
        rng,
        budget=None,
    ):
        self._budget = budget or buffer_budget.BufferBudget()
        self._mesh = mesh
        self._target_calls = target_calls
        self._on_configuration = on_configuration
        self._clock = clock
        self._rng = rng
        self._links = {}
        self._link_servers = set()
        self._unidentified = unidentified_links.UnidentifiedLinks(clock)
        # (Name and incarnation of the opener, number of the connection) to
        # its server, from the hello until its calls can't be resumed.
        self._resumable_servers = {}
        # Another process of this node may have had the same incarnation if the
        # clock was set back, but not the same numbers.
        self._connection_numbers = itertools.count(
            rng.randrange(1, MAX_FIRST_CONNECTION)
        )
        self._kept_results = link_resumption.KeptResults()
        self._bodies = body_receiver.BodyReceiver(
            mesh.body_transfers, clock, self._budget
        )
        self._selector = link_selection.LinkSelector(
            mesh.identity.name, mesh.identity.zone
        )
        self._selected_names = frozenset()
        self._selected_change_count = -1
        self._selected_coordinators = frozenset()
        self._selected_at = float('-inf')
        self._fetch_planner = fetches.FetchPlanner(mesh.identity.zone, rng)
        self._probe_selector = link_probes.ProbeSelector()
        self._call_sent = trio.Event()
        self._report_requested = trio.Event()
        self._report_selector = reporting.ReportSelector()
        self._summary_sequence = 0
        self.on_store_era = None
        self.on_freshness = None
        self.on_target_restored = lambda: None
        self._nursery = None

    @property
    def are_selected_linked(self):
        """Whether all selected nodes, at least one, are linked."""
        fleet = self._mesh.fleet
        return bool(self._selected_names) and all(
            peer.is_linked
            for name in self._selected_names
            if (peer := fleet.get(name)) is not None
        )

    @property
    def has_unfinished(self):
        """Whether other nodes still send calls or get results."""
        servers = self._link_servers.union(self._resumable_servers.values())
        return any(server.has_unfinished for server in servers)

    def refuse_arriving(self):
        """Refuse calls of other nodes whose bodies have not arrived."""
        for server in list(self._link_servers):
            self._guard(server.peer_name, server.refuse_arriving)

    async def start(self, nursery):
        """Start to send reports in a nursery, which also runs the links."""
        self._nursery = nursery
        identity = self._mesh.identity
        own = self._mesh.fleet.get_or_add(
            identity.name, identity.host, identity.port, self._clock()
        )
        own.is_linked = True
        own.unreachable_since = None
        self.refresh_own_peer()
        for task in (
            self._send_reports,
            self._send_summaries,
            self._watch_calls,
        ):
            nursery.start_soon(supervision.supervise, task.__name__, task)

    async def send_call(self, peer, call):
        """Send a call to a peer, or run it here if the peer is this node.

        :param peer: `fleet.Peer`
        :param call: `hop_messages.Call`
        :returns: `hop_messages.Result`, None if the link broke before the
            result arrived
        """
        if peer.name == self._mesh.identity.name:
            return await self._target_calls.run(call)
        link = self._links.get(peer.name)
        peer.used_at = self._clock()
        if link is None:
            return hop_messages.Result(
                0, hop_messages.Outcome.NOT_HANDED_ON, 'no-link'
            )
        self._call_sent.set()
        return await link.send_call(call)

    def withdraw_call(self, peer_name, id_, in_s):
        """Withdraw a call after a time, unless it has started by then.

        :param peer_name: name of the node that it was sent to
        :param id_: id of the `hop_messages.Call`
        :param in_s: seconds
        """
        link = self._links.get(peer_name)
        if link is not None:
            link.withdraw_call(id_, in_s)

    def add_peers(self, records):
        """Add the nodes of `node_records.NodeRecord` objects."""
        now = self._clock()
        self._mesh.are_nodes_listed = True
        for record in records:
            if record.name != self._mesh.identity.name:
                self._mesh.fleet.add_record(record, now)
        self._update_selection(now)

    def check_links(self, now):
        """Check the liveness of links and remove unreachable nodes.

        :param now: monotonic seconds
        """
        self._unidentified.close_overdue(now)
        self._check_liveness(self._links.values(), now)
        self._probe_silent_links(now)
        for name in self._mesh.fleet.remove_unreachable(now):
            self._mesh.suspects.forget_reported(name)
            self._fetch_planner.remove_source(name)
            link = self._links.pop(name, None)
            if link is not None:
                link.stop()
        self._update_selection(now)
        self._fetch_configuration(now)

    def _check_liveness(self, checked_links, now):
        for link in list(checked_links):
            self._guard(link.address, self._check_link, link, now)

    def _check_link(self, link, now):
        if not link.check_liveness(now):
            self._probe_selector.record_dead_link()

    @staticmethod
    def _guard(peer, action, *args):
        """Carry out an action on one link; an error costs no other link."""
        try:
            action(*args)
        except Exception as error:
            supervision.log_failure(
                'link-failed',
                error,
                'an action on the link of {} failed: {!r}',
                peer,
                error,
            )

    async def _watch_calls(self):
        """Check the links with pending calls often, while there are any."""
        while True:
            await self._call_sent.wait()
            while busy_links := [
                link for link in self._links.values() if link.has_calls
            ]:
                self._check_liveness(busy_links, self._clock())
                await trio.sleep(CALL_CHECK_PERIOD_S)
            self._call_sent = trio.Event()

    def _probe_silent_links(self, now):
        """Check links without calls that have been silent for long."""
        silences = {
            link: silence_s
            for link in self._links.values()
            if (silence_s := link.silence_s(now)) is not None
        }
        for link in self._probe_selector.select(silences, now):
            link.ping(now)

    def _update_selection(self, now):
        """Open links to nodes newly selected and close those not used."""
        fleet = self._mesh.fleet
        coordinators = self._mesh.quota_coordinators
        if (
            fleet.change_count == self._selected_change_count
            and coordinators == self._selected_coordinators
            and now - self._selected_at < SELECTION_PERIOD_S
        ):
            return
        self._selected_change_count = fleet.change_count
        self._selected_coordinators = coordinators
        self._selected_at = now
        self._selected_names = self._selector.select(
            fleet.others, now, fleet.evacuated_zones, coordinators
        )
        for name in self._selected_names:
            self._open_link(fleet.get(name), now)
        for name in self._links.keys() - self._selected_names:
            peer = fleet.get(name)
            if (
                peer.is_linked
                and not peer.in_flight
                and (now - peer.used_at > CLOSE_UNUSED_AFTER_S)
            ):
                self._links.pop(name).close()

    def _open_link(self, peer, now):
        """Open a link to a peer unless there is one to its address."""
        link = self._links.get(peer.name)
        if link is not None:
            if link.address == (peer.host, peer.port):
                return
            link.stop()
        if peer.unreachable_since is None:
            peer.unreachable_since = now
        link = links.Link(
            peer,
            self._make_hello,
            self._handle_message,
            self._clock,
            self._rng,
            self._mesh.link_meter,
            self._budget,
        )
        self._links[peer.name] = link
        self._nursery.start_soon(link.run)

    def schedule_report(self):
        """Send a report to the other nodes without waiting for the period."""
        self._report_requested.set()

    def refresh_own_peer(self):
        """Update this node's own entry in the fleet; return its report."""
        report = self._new_report()
        self._mesh.fleet.apply_report(report, self._clock())
        return report

    async def serve(self, stream):
        """Serve a link opened by another node until it ends."""
        links.set_tcp_user_timeout(stream)
        frames = frame_streams.FrameStream(
            stream, 'unidentified node', self._mesh.link_meter, self._clock
        )
        server = link_server.LinkServer(
            frames,
            self._target_calls,
            self._bodies,
            self._mesh,
            self._handle_opener_message,
            self._clock,
            self._kept_results,
            self._budget,
        )
        self._link_servers.add(server)
        self._unidentified.add(server)
        try:
            await server.run(lambda: self._on_link_end(server))
        finally:
            self._on_link_end(server)
            if self._resumable_servers.get(_key(server)) is server:
                del self._resumable_servers[_key(server)]

    def _on_link_end(self, server):
        self._link_servers.discard(server)
        self._unidentified.discard(server)
        if not server.peer_name:
            # Nobody can resume its calls.
            server.end()

    def close_unidentified(self):
        """Close a link without a hello; return whether there was one."""
        return self._unidentified.close_oldest()

    def _make_hello(self):
        return hop_messages.Hello(
            self._new_report().without_evidence, next(self._connection_numbers)
        )

    def _add_resumable(self, server):
        """Add the server of a connection whose opener has identified itself.

        Calls of an earlier process of the opener are no longer waited for.
        """
        for other in list(self._resumable_servers.values()):
            if (
                other.peer_name == server.peer_name
                and other.peer_incarnation != server.peer_incarnation
            ):
                other.end()
        if server.connection:
            self._resumable_servers.setdefault(_key(server), server)

    def _resume(self, server, request):
        """Answer what became of calls on an earlier connection.

        :param server: `link_server.LinkServer` of the new connection
        :param request: `hop_messages.Resume`
        """
        previous = self._resumable_servers.get(
            (server.peer_name, server.peer_incarnation, request.connection)
        )
        if (
            request.incarnation == self._mesh.incarnation
            and previous is not None
            and previous.connection < server.connection
        ):
            previous.resume(request, server)
            self._link_servers.discard(previous)
            return
        log.logger.bind(event='link-not-resumed').info(
            'node {} asked for {} calls of connection {}, which is not known '
            'in this process',
            server.peer_name,
            len(request.ids),
            request.connection,
        )
        server.frames.send(hop_messages.Resumed(request.connection))

    def _new_report(self):
        return self._mesh.new_report(
            self._target_calls.load(),
            self._target_calls.evidence,
            self._clock(),
        )

    def _handle_opener_message(self, server, message):
        """Handle a message on a link that another node opened."""
        match message:
            case hop_messages.Hello(report):
                self._unidentified.discard(server)
                self._add_resumable(server)
                server.frames.send(self._new_report().without_evidence)
                self._apply_report(report)
            case hop_messages.Resume():
                self._resume(server, message)
            case hop_messages.Relay() | hop_messages.ZoneSummary():
                self._handle_relayed(message, server.is_cross_zone)
            case hop_messages.GenerationUpdate(generation):
                peer = self._mesh.fleet.get(server.peer_name)
                if peer is not None:
                    self._record_generation(peer, generation)
            case hop_messages.Configuration():
                self._receive_configuration(server.peer_name, message)
            case (
                hop_messages.FreshnessRequest() | hop_messages.FreshnessReply()
            ):
                self._receive_freshness(message, server.frames.send)
            case hop_messages.QuotaRequest():
                self._handle_quota_request(
                    server.peer_name,
                    server.peer_incarnation,
                    message,
                    server.frames.send,
                )
            case hop_messages.QuotaReply():
                self._handle_quota_reply(server.peer_name, message)

    def _handle_message(self, peer, message):
        """Handle a message received on a link that this node opened."""
        match message:
            case hop_messages.Report():
                self._apply_report(message)
            case hop_messages.Relay() | hop_messages.ZoneSummary():
                self._handle_relayed(message, is_from_other_zone=False)
            case hop_messages.Load():
                peer.update_load(message, self._clock())
            case hop_messages.GenerationUpdate(generation):
                self._record_generation(peer, generation)
            case hop_messages.FetchConfiguration():
                self._send_configuration(peer.name)
            case hop_messages.Configuration():
                self._receive_configuration(peer.name, message)
            case (
                hop_messages.FreshnessRequest() | hop_messages.FreshnessReply()
            ):
                self._receive_freshness(
                    message, functools.partial(self.send_to, peer.name)
                )
            case hop_messages.QuotaRequest():
                self._handle_quota_request(
                    peer.name,
                    peer.report.incarnation if peer.report else 0,
                    message,
                    lambda reply: self.send_to(peer.name, reply),
                )
            case hop_messages.QuotaReply():
                self._handle_quota_reply(peer.name, message)

    def _receive_freshness(self, message, send):
        """Pass on a message about proofs, where keys need them."""
        if self.on_freshness is not None:
            self.on_freshness(message, send)

    def _handle_quota_request(self, name, incarnation, request, send):
        if self._mesh.quota_agent is not None:
            self._mesh.quota_agent.handle_request(
                name, incarnation, request, send
            )

    def _handle_quota_reply(self, name, reply):
        if self._mesh.quota_agent is not None:
            self._mesh.quota_agent.handle_reply(name, reply)

    def _handle_relayed(self, message, is_from_other_zone):
        """Apply what is of another zone and pass it on in this zone.

        :param is_from_other_zone: whether this node is the contact
        """
        now = self._clock()
        fleet = self._mesh.fleet
        match message:
            case hop_messages.ZoneSummary():
                if not fleet.apply_summary(message, now):
                    return
            case hop_messages.Relay(report):
                if report.name == self._mesh.identity.name:
                    self._restore_target(report.target)
                    if self._mesh.suspects.restore(report.suspects, now):
                        self.schedule_report()
                    return
                if not fleet.apply_relayed_report(report, now):
                    return
                self._apply_findings(report)
                if is_from_other_zone:
                    # The sender can be asked on the link that it opened.
                    self._fetch_planner.record_generation(
                        report.name, report.zone, report.generation
                    )
                    self._fetch_configuration(now)
        if is_from_other_zone:
            self._send_all(self._zone_servers(), message)

    @staticmethod
    def _send_all(servers, message):
        """Send a message, encoded once, on links that others opened."""
        data = hop.encode(message)
        for server in servers:
            server.frames.send_encoded(data, type(message).__name__)

    def _zone_servers(self):
        """Return the links opened by nodes of this node's zone."""
        return [s for s in self._link_servers if not s.is_cross_zone]

    def _apply_report(self, report):
        """Apply a report that a node has sent itself, unless outdated."""
        if not self._mesh.fleet.apply_report(report, self._clock()):
            return
        self._apply_findings(report)
        self._remind(report)
        self._fetch_planner.record_generation(
            report.name, report.zone, report.generation
        )
        self._fetch_configuration(self._clock())

    def _remind(self, report):
        """Tell a restarted node what it has reported before.

        That is the state of its target, and requests that crashed targets.

        :param report: the latest `hop_messages.Report` of the node
        """
        if report.name == self._mesh.identity.name:
            return
        known = self._mesh.fleet.get(report.name).known_target
        lost = self._mesh.suspects.lost_by(report.name)
        if known == report.target and not lost:
            return
        self.send_to(
            report.name,
            hop_messages.Relay(
                dataclasses.replace(report, target=known, suspects=lost)
            ),
        )

    def _restore_target(self, target):
        """Merge what a node remembers of the target beside this one."""
        if target is not None and self._mesh.target_watch.restore(target):
            self.on_target_restored()

    def _apply_findings(self, report):
        """Apply what a node has found out about requests and versions."""
        mesh = self._mesh
        if report.store_era > mesh.store_era and self.on_store_era is not None:
            self.on_store_era(report.store_era)
        if mesh.evacuations.apply_reported(report.evacuations):
            mesh.use_evacuations(report.name)
            self._update_selection(self._clock())
            self.schedule_report()
        if report.name != mesh.identity.name:
            mesh.suspects.set_reported(
                report.name,
                report.suspects,
                report.incarnation,
                self._clock(),
            )
        for verdict in report.verdicts:
            if mesh.rollouts.apply_verdict(verdict, self._clock()):
                mesh.decisions.note(
                    'rollout-heard',
                    service=verdict.service,
                    version=verdict.version,
                    state=verdict.state.name,
                    peer=report.name,
                )
                self.schedule_report()

    def _record_generation(self, peer, generation):
        """Record that a peer has a configuration of a generation."""
        if peer.report is not None:
            self._fetch_planner.record_generation(
                peer.name, peer.report.zone, generation
            )
            self._fetch_configuration(self._clock())

    def _fetch_configuration(self, now):
        """Request the configuration from a peer that has a newer one."""
        generation = self._mesh.generation
        name = self._fetch_planner.next_source(
            generation, self._mesh.zone_roles.is_fetcher, now
        )
        if name is not None:
            self.send_to(name, hop_messages.FetchConfiguration(generation + 1))

    def _send_configuration(self, name):
        mesh = self._mesh
        self.send_to(
            name,
            hop_messages.Configuration(
                mesh.generation, mesh.configuration_content
            ),
        )

    def update_selection(self):
        """Open the links that are needed since the coordinators changed."""
        if self._nursery is not None:
            self._update_selection(self._clock())

    def send_to(self, name, message):
        """Send a message to a node on whichever link there is.

        :param name: name of the node; without a link nothing is sent
        """
        peer = self._mesh.fleet.get(name)
        if name in self._links and peer is not None and peer.is_linked:
            self._links[name].send(message)
            return
        for server in self._link_servers:
            if server.peer_name == name:
                server.frames.send(message)
                return

    def _receive_configuration(self, name, message):
        """Apply a configuration that was requested from a peer."""
        self._on_configuration(message, name)
        # A newer configuration that was not applied is unusable.
        if message.generation > self._mesh.generation:
            self._fetch_planner.remove_source(name)
        self._fetch_planner.record_answer(name)
        self._fetch_configuration(self._clock())

    async def _send_reports(self):
        """Send reports to the nodes that have opened links, and contacts."""
        roles = self._mesh.zone_roles
        while True:
            is_rollout_running = self._mesh.rollouts.has_running
            with trio.move_on_after(
                reporting.report_period(
                    len(self._link_servers), is_rollout_running
                )
            ):
                await self._report_requested.wait()
                await trio.sleep(REPORT_COALESCING_S)
            self._report_requested = trio.Event()
            plan = self._report_selector.next_plan(
                self.refresh_own_peer(), roles.is_gateway(), self._clock()
            )
            self._send_plan(plan)

    def _send_plan(self, plan):
        """Send what a `reporting.ReportPlan` says."""
        if plan.message is not None:
            self._send_all(self._zone_servers(), plan.message)
        if plan.announcement is not None:
            self._send_to_contacts(hop_messages.Relay(plan.announcement))
        if plan.generation is not None:
            self._send_to_contacts(
                hop_messages.GenerationUpdate(plan.generation)
            )
        if plan.load is not None:
            since = self._clock() - reporting.OTHER_ZONES_LOAD_AFTER_CALL_S
            callers = [
                server
                for server in self._remote_servers()
                if server.last_call_at > since
            ]
            self._send_all(callers, plan.load)
        if plan.returned_load is not None:
            self._send_all(self._remote_servers(), plan.returned_load)

    def _remote_servers(self):
        """Return the links opened by nodes of other zones."""
        return [s for s in self._link_servers if s.is_cross_zone]

    def _send_to_contacts(self, message):
        """Send a message to the nodes that pass it on in other zones."""
        for names in self._contacts_by_zone().values():
            for name in names[: link_selection.CONTACTS_PER_ZONE]:
                self._links[name].send(message)

    def _contacts_by_zone(self):
        """Return the linked nodes of each other zone, preferred ones first."""
        fleet = self._mesh.fleet
        by_zone = collections.defaultdict(list)
        for name in self._selector.rank(self._links):
            peer = fleet.get(name)
            if peer.is_linked and peer.zone != self._mesh.identity.zone:
                by_zone[peer.zone].append(name)
        return by_zone

    async def _send_summaries(self):
        """Send other zones the evidence of this one during roll-outs."""
        while True:
            await trio.sleep(zone_summaries.SUMMARY_PERIOD_S)
            services = self._mesh.rollouts.running_services
            if services and self._mesh.zone_roles.is_collector():
                for service in services:
                    self._send_summary(service)

    def _send_summary(self, service):
        mesh = self._mesh
        self._summary_sequence += 1
        evidence, busy = zone_summaries.summarise(
            mesh.fleet.peers, service, mesh.identity.zone
        )
        summary = hop_messages.ZoneSummary(
            mesh.identity.zone,
            service,
            mesh.identity.name,
            mesh.incarnation,
            self._summary_sequence,
            evidence,
            busy,
        )
        for names in self._contacts_by_zone().values():
            # By turns, so that a frozen contact does not hide them all.
            name = names[self._summary_sequence % len(names)]
            self._links[name].send(summary)


def _key(server):
    """Return what identifies the connection of a server in the fleet."""
    return (server.peer_name, server.peer_incarnation, server.connection)
