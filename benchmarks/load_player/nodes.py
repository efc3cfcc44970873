"""A simulated node: it serves the calls of clients and targets on its VM.

It follows `pumicestand_node.outbound_calls.OutboundCalls`, with the real
selection of peers, the real loads and the real quota of retries.
"""

import dataclasses

from benchmarks.load_player import played
from pumicestand import admission_by_room
from pumicestand import fleet
from pumicestand import hop_messages
from pumicestand import placing
from pumicestand import probing
from pumicestand import reporting
from pumicestand import retry_quota
from pumicestand import return_times
from pumicestand_node import outbound_call
from pumicestand_node import outbound_calls

Outcome = hop_messages.Outcome


@dataclasses.dataclass(slots=True)
class _Averages:
    """Moving averages of a route, see `OutboundCalls`."""

    work_ms: float
    response_bytes: float


class Node:
    """A node with its view of the fleet.

    :param day: the `play.Day`
    :param name: name of the node
    :param zone: availability zone
    :param service: service of the target beside it
    :param link: the VM's `network.Link`
    """

    def __init__(self, day, name, zone, service, link):
        self._day = day
        self._events = day.events
        self._network = day.network
        self.name = name
        self.zone = zone
        self.service = service
        self.link = link
        self.target = None
        # Name to `fleet.Peer`, and service to its peers.
        self.peers = {}
        self._peers_by_service = {}
        self._averages = {}
        self._last_call_at = {}
        self._load_count = 0
        self._selector = day.policy.selector(
            day.rng, name, zone, day.policy.placing_policy
        )
        quota = day.deployment.retry_quota
        self._probe_gauge = probing.ProbeGauge()
        self._return_times = return_times.ReturnTimes(day.rng)
        self._retry_quota = retry_quota.RetryQuota(
            quota.ratio, quota.constant, quota.window_s
        )

    def connect(self, nodes):
        """Set the nodes that this one knows."""
        for node in nodes:
            peer = fleet.Peer(node.name, '', 0, is_linked=True)
            peer.report = hop_messages.Report(
                name=node.name,
                incarnation=1,
                sequence=1,
                zone=node.zone,
                host='',
                port=0,
                link_rate=node.link.rate,
            )
            peer.update_load(node.target.load(), 0.0)
            self.peers[node.name] = peer
            self._peers_by_service.setdefault(node.service, []).append(peer)
        period_s = reporting.report_period(len(nodes), False)
        self._events.call_after(
            period_s * self._day.rng.random(), self._send_load, period_s
        )

    def _send_load(self, period_s):
        """Tell the nodes of the zone, and sometimes those that send calls."""
        now = self._events.now
        load = self.target.load()
        self.peers[self.name].update_load(load, now)
        self._load_count += 1
        is_for_others = (
            self._load_count % reporting.OTHER_ZONES_LOAD_INTERVAL == 0
        )
        since = now - reporting.OTHER_ZONES_LOAD_AFTER_CALL_S
        network = self._day.deployment.network
        for node in self._day.nodes:
            is_due = node.zone == self.zone or (
                is_for_others and self._last_call_at.get(node.name, -9) > since
            )
            if not is_due or node is self:
                continue
            if self._day.rng.random() < network.lost_reports:
                continue
            delay_s = self._network.delay_s(self, node)
            if network.report_delay_ms > 0:
                delay_s += self._day.rng.expovariate(
                    1000 / network.report_delay_ms
                )
            self._events.call_after(
                delay_s, node.receive_load, self.name, load, now
            )
        self._events.call_after(period_s, self._send_load, period_s)

    def receive_load(self, name, load, sent_at):
        """Apply a reported load, unless a later one is known."""
        peer = self.peers[name]
        if peer.load_received_at <= self._events.now:
            peer.update_load(load, self._events.now)

    def record_caller(self, name):
        """Record that another node has sent a call to the target here."""
        self._last_call_at[name] = self._events.now

    def call(self, call):
        """Serve a call; it is answered by its ``on_answer``."""
        now = self._events.now
        self._retry_quota.record_request(call.kind.service, now)
        call.deadline -= outbound_calls.RESPONSE_MARGIN_S
        if call.deadline <= now:
            self._answer(call, played.Answer.REFUSED)
            return
        if self._displaces_urgent(call, now):
            call.retry_after_s = self._return_times.spread_s(
                call.deadline - now
            )
            self._answer(call, played.Answer.REFUSED)
            return
        self._events.call_at(call.deadline, self._give_up, call)
        self._send(call)

    def _displaces_urgent(self, call, now):
        """See `OutboundCalls._refuse_displacing`."""
        if not self._day.policy.has_admission or call.is_nested:
            return False
        service = admission_by_room.nested_service(
            self._peers_by_service[call.kind.service]
        )
        return bool(service) and admission_by_room.displaces_urgent(
            call.kind.priority,
            call.is_client_retry,
            [p for p in self._peers_by_service[service] if p.load.slots > 0],
            now,
        )

    def _give_up(self, call):
        """Answer a call whose deadline has passed."""
        if call.is_over:
            return
        if call.may_have_run or call.has_failed:
            self._answer(call, played.Answer.FAILED)
        else:
            self._answer(call, played.Answer.REFUSED)

    def _answer(self, call, answer):
        """Answer a call, with `outbound_call.final_refusal` if refused."""
        call.is_over = True
        retry_after_s = call.retry_after_s or outbound_call.RETRY_AFTER_S
        remaining_s = call.deadline - self._events.now
        call.on_answer(
            answer, round(max(0.01, min(retry_after_s, remaining_s / 3)), 3)
        )

    def _record_probe(self, call, result, sent_at):
        """See `OutboundCalls._record_probe`."""
        is_busy = result.code == probing.BUSY_CODE
        if result.outcome is Outcome.NOT_HANDED_ON and not is_busy:
            return
        now = self._events.now
        self._probe_gauge.record(is_busy, call.probes == 0, now - sent_at, now)

    def _requirements(self, call):
        averages = self._averages.get(call.kind.name)
        response_bytes = averages.response_bytes if averages else 0.0
        size = call.kind.request_bytes + response_bytes
        return placing.CallRequirements(
            work_ms=averages.work_ms if averages else 0.0,
            objective_ms=call.kind.objective_ms,
            kilobytes=(size + outbound_calls.CALL_OVERHEAD_BYTES) / 1000,
        )

    def _choose_peer_to_probe(self, call, now):
        """See `OutboundCalls._select_peer`; None if no probe is to be sent."""
        if not self._day.policy.has_probes or not probing.is_allowed(
            call.probes, call.kind.request_bytes
        ):
            return None
        peer = self._choose_peer(call, call.busy_nodes)
        if peer is None or not self._probe_gauge.is_worthwhile(peer.load, now):
            return None
        return peer

    def _choose_peer(self, call, excluded=frozenset()):
        serving = [
            peer
            for peer in self._peers_by_service[call.kind.service]
            if peer.load.slots > 0
        ]
        return self._selector.choose(
            serving,
            call.tried_nodes | excluded,
            self._events.now,
            self._requirements(call),
        )

    def _send(self, call):
        """Send a call to a node, see `OutboundCalls._send_to_node`."""
        now = self._events.now
        peer = self._choose_peer_to_probe(call, now)
        is_probe = peer is not None
        peer = peer or self._choose_peer(call)
        if peer is None:
            is_failed = call.may_have_run or call.has_failed
            self._answer(
                call,
                played.Answer.FAILED if is_failed else played.Answer.REFUSED,
            )
            return
        call.tried_nodes.add(peer.name)
        call.placements += 1
        peer.in_flight += 1
        peer.sent_since_load += 1
        earlier_send_may_have_run = call.may_have_run
        call.may_have_run = True
        node = self._day.nodes_by_name[peer.name]
        averages = self._averages.get(call.kind.name)
        size = outbound_calls.CALL_OVERHEAD_BYTES

        def reply(result):
            has_response = result.outcome is Outcome.ANSWERED
            body = call.kind.response_bytes if has_response else 0
            self._network.send(
                node,
                self,
                body + size // 2,
                self._receive_result,
                call,
                peer,
                result,
                earlier_send_may_have_run,
                now if is_probe else None,
            )

        placement = played.Placement(
            call,
            call.deadline - now,
            call.objective_at - now,
            averages.work_ms if averages else 0.0,
            is_probe,
            reply,
        )
        self._network.send(
            self,
            node,
            call.kind.request_bytes + size // 2,
            node.receive_call,
            self.name,
            placement,
        )

    def receive_call(self, sender, placement):
        """Take in a call for the target beside this node."""
        self.record_caller(sender)
        self.target.run(placement)

    def _receive_result(
        self, call, peer, result, earlier_send_may_have_run, probed_at
    ):
        peer.in_flight -= 1
        if probed_at is not None:
            self._record_probe(call, result, probed_at)
        if call.is_over:
            return
        call.may_have_run = earlier_send_may_have_run
        if result.outcome is not Outcome.NOT_HANDED_ON:
            call.sends += 1
        peer.update_load(result.load, self._events.now)
        if result.code == probing.BUSY_CODE:
            call.probes += 1
            call.busy_nodes.add(peer.name)
            call.tried_nodes.discard(peer.name)
            self._send(call)
            return
        self._go_on(call, result)

    def _go_on(self, call, result):
        """See `OutboundCalls._send_until_answered`."""
        now = self._events.now
        kind = call.kind
        match result.outcome:
            case Outcome.ANSWERED:
                self._update_averages(kind, result)
                self._return_times.record(kind.service, False, now)
                if result.is_success:
                    result.run.is_delivered = True
                    self._answer(call, played.Answer.SUCCESS)
                    return
                call.may_have_run = call.has_failed = True
                if (
                    not kind.is_idempotent
                    or now >= call.deadline - outbound_calls.MIN_RETRY_TIME_S
                ):
                    self._answer(call, played.Answer.FAILED)
                    return
            case Outcome.NOT_HANDED_ON:
                if result.retry_after_s:
                    previous = call.retry_after_s or result.retry_after_s
                    call.retry_after_s = min(previous, result.retry_after_s)
                call.overloaded_placements += (
                    result.code in outbound_calls.OVERLOADED_CODES
                )
                if (
                    call.placements - call.probes
                    < outbound_calls.MAX_PLACEMENTS
                    and call.overloaded_placements
                    < outbound_calls.MAX_OVERLOADED_PLACEMENTS
                ):
                    self._send(call)
                    return
                self._answer_without_response(call)
                return
            case Outcome.UNKNOWN:
                call.may_have_run = True
                if not kind.is_idempotent:
                    self._answer(call, played.Answer.FAILED)
                    return
        if self._may_retry(call):
            self._send(call)
        else:
            self._answer_without_response(call)

    def _answer_without_response(self, call):
        if call.may_have_run or call.has_failed:
            self._answer(call, played.Answer.FAILED)
            return
        self._plan_return(call)
        self._answer(call, played.Answer.REFUSED)

    def _plan_return(self, call):
        """See `OutboundCalls._plan_return`."""
        if not self._day.policy.has_return_times:
            return
        now = self._events.now
        self._return_times.record(call.kind.service, True, now)
        call.retry_after_s = self._return_times.retry_after_s(
            call.kind.service,
            call.retry_after_s or outbound_call.RETRY_AFTER_S,
            call.deadline - now,
            now,
        )

    def _may_retry(self, call):
        """See `OutboundCalls._may_retry`."""
        now = self._events.now
        return (
            call.sends < self._day.deployment.retry_quota.attempts
            and now <= call.deadline - outbound_calls.MIN_RETRY_TIME_S
            and self._choose_peer(call) is not None
            and self._retry_quota.try_acquire(
                call.kind.service, len(self._day.nodes), now
            )
        )

    def _update_averages(self, kind, result):
        averages = self._averages.get(kind.name)
        size = kind.response_bytes if result.is_success else 0
        if averages is None:
            self._averages[kind.name] = _Averages(result.work_ms, size)
            return
        weight = outbound_calls.AVERAGE_WEIGHT
        averages.work_ms += weight * (result.work_ms - averages.work_ms)
        averages.response_bytes += weight * (size - averages.response_bytes)
