"""All links of a node, and what it hears and says on them."""

import trio

from pumicestand import fetches
from pumicestand import hop
from pumicestand import hop_messages
from pumicestand import ranking
from pumicestand import reporting
from pumicestand_node import frame_streams
from pumicestand_node import link_server
from pumicestand_node import links

# Time in which changes are collected into one report.
REPORT_DELAY_S = 0.01


class MeshLinks:
    """Opens a link to each other node and serves those that they open.

    :param mesh: the `mesh_state.MeshState`
    :param targets: the `target_calls.TargetCalls`
    :param take_content: called with (configuration, name) of a peer
    :param clock: returns monotonic seconds
    :param rng: a `random.Random`
    """

    def __init__(self, mesh, targets, take_content, clock, rng):
        self._mesh = mesh
        self._targets = targets
        self._take_content = take_content
        self._clock = clock
        self._rng = rng
        self._links = {}
        self._accepted = set()
        self._fetches = fetches.Fetches(mesh.identity.zone, rng)
        self._report_wanted = trio.Event()
        self._reporting = reporting.Reporting()
        self._nursery = None

    async def start(self, nursery):
        """Begin to report in a nursery."""
        self._nursery = nursery
        identity = self._mesh.identity
        own = self._mesh.fleet.meet(
            identity.name, identity.host, identity.port, self._clock()
        )
        own.is_linked = True
        own.unreached_since = None
        self.hear_own()
        nursery.start_soon(self._report)

    async def send(self, peer, call):
        """Carry a call to a peer.

        :returns: its result, None if the link broke meanwhile
        """
        if peer.name == self._mesh.identity.name:
            return await self._targets.run(call)
        link = self._links.get(peer.name)
        if link is None:
            return hop_messages.Result(
                0, hop_messages.Outcome.NOT_HANDED_ON, 'no-link'
            )
        return await link.call(call)

    def meet_all(self, records):
        """Open links to the nodes of some `node_records.NodeRecord`."""
        for record in records:
            self._meet(record.name, record.host, record.port)

    def check(self, now):
        """Look for silent links and for nodes that are gone."""
        for link in self._links.values():
            link.check(now)
        for name in self._mesh.fleet.forget(now):
            self._mesh.suspects.set_reported(name, ())
            self._fetches.forget(name)
            link = self._links.pop(name, None)
            if link is not None:
                link.stop()
        self._fetch(now)

    def report_soon(self):
        """Have the other nodes told at once how this one is."""
        self._report_wanted.set()

    def hear_own(self):
        """Take this node's own state in, as that of any other."""
        report = self._new_report()
        self._mesh.fleet.hear(report, self._clock())
        return report

    async def serve(self, stream):
        """Serve a link that another node opened."""
        links.set_user_timeout(stream)
        frames = frame_streams.FrameStream(
            stream, 'a node that called', self._mesh.link_meter, self._clock
        )
        server = link_server.LinkServer(
            frames, self._targets, self._mesh, self._greet, self._clock
        )
        self._accepted.add(server)
        try:
            await server.run()
        finally:
            self._accepted.discard(server)

    def _meet(self, name, host, port):
        if name == self._mesh.identity.name:
            return
        held = self._mesh.fleet.get(name)
        is_moved = held and (held.host, held.port) != (host, port)
        peer = self._mesh.fleet.meet(name, host, port, self._clock())
        if is_moved and name in self._links:
            self._links.pop(name).stop()
        if name in self._links:
            return
        link = links.Link(
            peer,
            self._hello,
            self._receive,
            self._clock,
            self._rng,
            self._mesh.link_meter,
        )
        self._links[name] = link
        self._nursery.start_soon(link.run)

    def _hello(self):
        return hop_messages.Hello(self._new_report())

    def _new_report(self):
        return self._mesh.new_report(
            self._targets.load(), self._targets.evidence, self._clock()
        )

    def _greet(self, frames, report):
        """Answer the first frame of a link: who this node is."""
        self._meet(report.name, report.host, report.port)
        self._hear(report)
        frames.send(self._new_report())

    def _receive(self, peer, message):
        """Take in what came on a link that this node opened."""
        match message:
            case hop_messages.Report():
                self._meet(message.name, message.host, message.port)
                self._hear(message)
            case hop_messages.Load():
                peer.hear_load(message, self._clock())
            case hop_messages.GenerationUpdate(generation):
                self._hear_generation(peer, generation)
            case hop_messages.Configuration():
                self._take_configuration(peer.name, message)

    def _hear(self, report):
        now = self._clock()
        mesh = self._mesh
        if not mesh.fleet.hear(report, now):
            return
        if report.name != mesh.identity.name:
            mesh.suspects.set_reported(report.name, report.suspects)
        for verdict in report.verdicts:
            if mesh.rollouts.hear_verdict(verdict, now):
                mesh.decisions.note(
                    'rollout-heard',
                    service=verdict.service,
                    version=verdict.version,
                    state=verdict.state.name,
                    peer=report.name,
                )
                self.report_soon()
        self._fetches.hear(report.name, report.zone, report.generation)
        self._fetch(now)

    def _hear_generation(self, peer, generation):
        if peer.report is not None:
            self._fetches.hear(peer.name, peer.report.zone, generation)
            self._fetch(self._clock())

    def _fetch(self, now):
        """Ask a peer for a configuration that is newer than the own one."""
        held = self._mesh.generation
        name = self._fetches.next(held, self._is_first_in_zone, now)
        link = self._links.get(name)
        if link is not None:
            link.send(hop_messages.FetchConfiguration(held + 1))

    def _is_first_in_zone(self):
        """Whether this node is the one to ask other zones."""
        identity = self._mesh.identity
        names = [
            peer.name
            for peer in self._mesh.fleet.others
            if peer.is_linked and peer.report.zone == identity.zone
        ]
        return ranking.rank('fetch', [identity.name, *names])[0] == (
            identity.name
        )

    def _take_configuration(self, name, message):
        self._take_content(message, name)
        if message.generation > self._mesh.generation:
            self._fetches.forget(name)
        self._fetches.note_answer(name)
        self._fetch(self._clock())

    async def _report(self):
        """Tell all nodes that call this one how it is."""
        while True:
            is_judging = self._mesh.rollouts.is_any_running
            with trio.move_on_after(
                reporting.report_period(len(self._accepted), is_judging)
            ):
                await self._report_wanted.wait()
                await trio.sleep(REPORT_DELAY_S)
            self._report_wanted = trio.Event()
            message = self._reporting.next(self.hear_own(), self._clock())
            data = hop.encode(message)
            is_for_far = self._reporting.is_for_far(message)
            for server in list(self._accepted):
                if is_for_far or not server.is_far:
                    server.frames.send_bytes(data)
