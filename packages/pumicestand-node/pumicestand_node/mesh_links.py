"""The links of a node and the state exchanged on them.

A node sends its calls to another node on the link that it opened itself, and
its reports on the links that other nodes opened to it.
"""

import trio

from pumicestand import fetches
from pumicestand import hop
from pumicestand import hop_messages
from pumicestand import ranking
from pumicestand import reporting
from pumicestand_node import frame_streams
from pumicestand_node import link_server
from pumicestand_node import links

# Delay before a requested report is sent, so that it covers further changes.
REPORT_COALESCING_S = 0.01


class MeshLinks:
    """Opens a link to each other node and serves the links they open.

    :param mesh: `mesh_state.MeshState` of this node
    :param target_calls: `target_calls.TargetCalls` of this node
    :param on_configuration: called with a `hop_messages.Configuration` and
        the name of the peer that sent it
    :param clock: returns monotonic seconds
    :param rng: `random.Random`
    """

    def __init__(self, mesh, target_calls, on_configuration, clock, rng):
        self._mesh = mesh
        self._target_calls = target_calls
        self._on_configuration = on_configuration
        self._clock = clock
        self._rng = rng
        self._links = {}
        self._link_servers = set()
        self._fetch_planner = fetches.FetchPlanner(mesh.identity.zone, rng)
        self._report_requested = trio.Event()
        self._report_selector = reporting.ReportSelector()
        self._nursery = None

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
        nursery.start_soon(self._send_reports)

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
        if link is None:
            return hop_messages.Result(
                0, hop_messages.Outcome.NOT_HANDED_ON, 'no-link'
            )
        return await link.send_call(call)

    def add_peers(self, records):
        """Open links to the nodes of `node_records.NodeRecord` objects."""
        for record in records:
            self._add_peer(record.name, record.host, record.port)

    def check_links(self, now):
        """Check the liveness of links and remove unreachable nodes.

        :param now: monotonic seconds
        """
        for link in self._links.values():
            link.check_liveness(now)
        for name in self._mesh.fleet.remove_unreachable(now):
            self._mesh.suspects.set_reported(name, ())
            self._fetch_planner.remove_source(name)
            link = self._links.pop(name, None)
            if link is not None:
                link.stop()
        self._fetch_configuration(now)

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
            frames, self._target_calls, self._mesh, self._on_hello, self._clock
        )
        self._link_servers.add(server)
        try:
            await server.run()
        finally:
            self._link_servers.discard(server)

    def _add_peer(self, name, host, port):
        """Open a link to a node unless one to this address exists."""
        if name == self._mesh.identity.name:
            return
        known = self._mesh.fleet.get(name)
        has_moved = known and (known.host, known.port) != (host, port)
        peer = self._mesh.fleet.get_or_add(name, host, port, self._clock())
        if has_moved and name in self._links:
            self._links.pop(name).stop()
        if name in self._links:
            return
        link = links.Link(
            peer,
            self._make_hello,
            self._handle_message,
            self._clock,
            self._rng,
            self._mesh.link_meter,
        )
        self._links[name] = link
        self._nursery.start_soon(link.run)

    def _make_hello(self):
        return hop_messages.Hello(self._new_report())

    def _new_report(self):
        return self._mesh.new_report(
            self._target_calls.load(),
            self._target_calls.evidence,
            self._clock(),
        )

    def _on_hello(self, frames, report):
        """Respond to the first frame of a link with a report of this node."""
        self._add_peer(report.name, report.host, report.port)
        self._apply_report(report)
        frames.send(self._new_report())

    def _handle_message(self, peer, message):
        """Handle a message received on a link that this node opened."""
        match message:
            case hop_messages.Report():
                self._add_peer(message.name, message.host, message.port)
                self._apply_report(message)
            case hop_messages.Load():
                peer.update_load(message, self._clock())
            case hop_messages.GenerationUpdate(generation):
                self._record_generation(peer, generation)
            case hop_messages.Configuration():
                self._receive_configuration(peer.name, message)

    def _apply_report(self, report):
        """Apply a report of a node unless it is outdated."""
        now = self._clock()
        mesh = self._mesh
        if not mesh.fleet.apply_report(report, now):
            return
        if report.name != mesh.identity.name:
            mesh.suspects.set_reported(report.name, report.suspects)
        for verdict in report.verdicts:
            if mesh.rollouts.apply_verdict(verdict, now):
                mesh.decisions.note(
                    'rollout-heard',
                    service=verdict.service,
                    version=verdict.version,
                    state=verdict.state.name,
                    peer=report.name,
                )
                self.schedule_report()
        self._fetch_planner.record_generation(
            report.name, report.zone, report.generation
        )
        self._fetch_configuration(now)

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
            generation, self._is_zone_fetcher, now
        )
        link = self._links.get(name)
        if link is not None:
            link.send(hop_messages.FetchConfiguration(generation + 1))

    def _is_zone_fetcher(self):
        """Return whether this node asks other zones on behalf of its own."""
        identity = self._mesh.identity
        names = [
            peer.name
            for peer in self._mesh.fleet.others
            if peer.is_linked and peer.report.zone == identity.zone
        ]
        return ranking.rank('fetch', [identity.name, *names])[0] == (
            identity.name
        )

    def _receive_configuration(self, name, message):
        """Apply a configuration that was requested from a peer."""
        self._on_configuration(message, name)
        # A newer configuration that was not applied is unusable.
        if message.generation > self._mesh.generation:
            self._fetch_planner.remove_source(name)
        self._fetch_planner.record_answer(name)
        self._fetch_configuration(self._clock())

    async def _send_reports(self):
        """Send reports on the links that other nodes opened."""
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
            message = self._report_selector.next_message(
                self.refresh_own_peer(), self._clock()
            )
            data = hop.encode(message)
            is_for_other_zones = self._report_selector.is_for_other_zones(
                message
            )
            for server in list(self._link_servers):
                if is_for_other_zones or not server.is_cross_zone:
                    server.frames.send_encoded(data)
