"""A day of a deployment under one policy."""

import random

import numpy

from benchmarks.load_player import arrivals
from benchmarks.load_player import event_queue
from benchmarks.load_player import figures
from benchmarks.load_player import network
from benchmarks.load_player import nodes
from benchmarks.load_player import pace
from benchmarks.load_player import played
from benchmarks.load_player import targets
from pumicestand_node import outbound_calls

# Time after the last arrival until the last call has ended.
DRAIN_S = 6.0


class Day:
    """The nodes, targets and clients of a deployment.

    :param deployment: the `deployments.Deployment`
    :param policy: the `policies.Policy`
    :param duration_s: length of the day in simulated seconds
    :param rate_factor: multiple of the rates of the deployment
    :param seed: seed of all random choices; the clients' calls and the slow
        periods depend on it alone, whatever the policy
    :param make_target: class of the targets
    """

    def __init__(
        self,
        deployment,
        policy,
        duration_s,
        rate_factor,
        seed,
        make_target=targets.SimulatedTarget,
    ):
        self.deployment = deployment
        self.policy = policy
        self.events = event_queue.EventQueue()
        self.network = network.Network(self.events, deployment.network)
        self.rng = random.Random(seed)
        self.work_rng = random.Random(seed + 1)
        self.kinds = {kind.name: kind for kind in deployment.kinds}
        self.figures = figures.Figures()
        self._duration_s = duration_s
        self._make_target = make_target
        day_rng = numpy.random.default_rng(seed)
        self.nodes = self._make_nodes(day_rng)
        self.nodes_by_name = {node.name: node for node in self.nodes}
        for node in self.nodes:
            node.connect(self.nodes)
        nodes_by_zone = [
            [
                index
                for index in range(len(self.nodes))
                if index % deployment.zones == zone
            ]
            for zone in range(deployment.zones)
        ]
        self._arrivals = arrivals.generate(
            deployment, nodes_by_zone, rate_factor, duration_s, day_rng
        )

    def overlap_s(self, start, end):
        """Return the part of a time that lies before the end of the day."""
        return max(0.0, min(end, self._duration_s) - start)

    def _make_nodes(self, day_rng):
        deployment = self.deployment
        settings = deployment.network
        made = []
        for service in deployment.services:
            for number in range(service.targets):
                index = len(made)
                link = network.Link(
                    settings.fast_link_rate
                    if index % deployment.zones == 0
                    and index // deployment.zones < settings.fast_links
                    else settings.link_rate
                )
                node = nodes.Node(
                    self,
                    f'n{index}',
                    f'z{index % deployment.zones}',
                    service.name,
                    link,
                )
                node.target = self._make_target(
                    self,
                    service.name,
                    self.policy.queue(self.policy.queue_policy),
                    pace.Pace(
                        deployment.speeds[number % len(deployment.speeds)],
                        deployment.slowness,
                        self._duration_s + DRAIN_S,
                        day_rng,
                    ),
                    self._nested_caller(node),
                    link,
                )
                made.append(node)
        return made

    def _nested_caller(self, node):
        def make_nested(kind, caller, left_s, on_answer):
            now = self.events.now
            timeout_s = min(kind.deadline_ms / 1000, left_s)
            node.call(
                played.Call(
                    kind=kind,
                    organisation='',
                    caller=caller,
                    started_at=now,
                    deadline=now + timeout_s,
                    objective_at=now + kind.objective_ms / 1000,
                    is_client_retry=False,
                    on_answer=on_answer,
                )
            )

        return make_nested

    def run(self):
        """Play the day and return what is printed."""
        for arrival in self._arrivals:
            self.events.call_at(arrival.time, self._attempt, arrival, 0)
        self.events.run_until(self._duration_s + DRAIN_S)
        total = self.figures.total()
        return {
            'policy': self.policy.name,
            'total': total.summary(),
            'kinds': {
                name: counts.summary()
                for name, counts in sorted(self.figures.by_kind.items())
            },
            'organisations': self._organisation_shares(),
            'slot_time': {
                service.name: figures.slot_time_shares(
                    [
                        node.target
                        for node in self.nodes
                        if node.service == service.name
                    ],
                    self.deployment.slots,
                    self._duration_s,
                )
                for service in self.deployment.services
            },
        }

    def _organisation_shares(self):
        """Return the value shares of the hot organisations and the others."""
        hot = {
            f'o{burst.organisation}'
            for burst in self.deployment.bursts
            if burst.organisation is not None
        }
        by_name = self.figures.by_organisation
        if not by_name:
            return {}
        others = figures.KindCounts()
        lowest = 1.0
        for name, counts in by_name.items():
            if name in hot:
                continue
            others.add(counts)
            lowest = min(lowest, counts.value / counts.possible_value)
        shares = {
            name: by_name[name].summary()
            for name in sorted(hot & set(by_name))
        }
        shares['others'] = others.summary()
        shares['lowest_value_share'] = round(lowest, 4)
        return shares

    def _attempt(self, arrival, retries):
        """Let a client make a call or retry it."""
        kind = arrival.kind
        started_at = self.events.now
        deadline = arrival.time + kind.deadline_ms / 1000
        # A node knows a retry only by the time that the client has left.
        is_known_retry = (
            deadline - started_at
            < outbound_calls.CLIENT_RETRY_TIMEOUT_RATIO
            * kind.deadline_ms
            / 1000
        )
        first_attempt_at = arrival.time if is_known_retry else started_at

        def receive(answer, retry_after_s):
            now = self.events.now
            if (
                answer is played.Answer.REFUSED
                and retries < self.deployment.client_retries
                and now + retry_after_s < deadline
            ):
                self.events.call_after(
                    retry_after_s, self._attempt, arrival, retries + 1
                )
                return
            self._record(arrival, answer, retries + 1, now - started_at)

        self.nodes[arrival.node].call(
            played.Call(
                kind=kind,
                organisation=arrival.organisation,
                caller=None,
                started_at=started_at,
                deadline=deadline,
                objective_at=first_attempt_at + kind.objective_ms / 1000,
                is_client_retry=is_known_retry,
                on_answer=receive,
            )
        )

    def _record(self, arrival, answer, attempts, held_s):
        kind = arrival.kind
        outcome = figures.KindCounts(
            asked=1, attempts=attempts, possible_value=kind.value
        )
        latency_ms = (self.events.now - arrival.time) * 1000
        match answer:
            case played.Answer.REFUSED:
                outcome.refused = 1
                outcome.held_s = held_s
            case played.Answer.FAILED:
                outcome.failed = 1
            case _ if latency_ms <= kind.objective_ms:
                outcome.in_objective = 1
                outcome.value = kind.value
            case _ if latency_ms <= kind.deadline_ms:
                outcome.late = 1
                outcome.value = kind.late_value
            case _:
                outcome.failed = 1
        self.figures.record(arrival, outcome)
