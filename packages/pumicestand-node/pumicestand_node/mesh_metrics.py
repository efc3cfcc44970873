"""The metrics of a node on the platform."""

from pumicestand import log
from pumicestand import metrics


class MeshMetrics:
    """Registers the node's metrics and reads their values on each scrape.

    :param mesh: `mesh_state.MeshState` of this node
    :param outbound_calls: `outbound_calls.OutboundCalls` of this node
    :param target_calls: `target_calls.TargetCalls` of this node
    :param clock: returns monotonic seconds
    :param agent: `freshness_agent.FreshnessAgent` of this node, None if keys
        need no proofs
    :param usage: `port_usage.PortUsage` of this node, None to leave it out
    """

    def __init__(
        self,
        mesh,
        outbound_calls,
        target_calls,
        clock,
        agent=None,
        usage=None,
    ):
        registry = metrics.Metrics(
            mesh.identity.name, outbound_calls.durations
        )
        self._registry = registry
        registry.export_counter(
            'pumicestand_outbound',
            outbound_calls.counts,
            ('kind', 'service', 'status'),
            'Calls of callers, by what they were answered',
        )
        registry.export_counter(
            'pumicestand_access',
            outbound_calls.access.counts,
            ('decision', 'organisation'),
            'Calls of callers, by what their key admits them to',
        )
        registry.export_counter(
            'pumicestand_target',
            target_calls.counts,
            ('outcome', 'code'),
            'Calls for the target beside the node, by outcome',
        )
        registry.export_counter(
            'pumicestand_link_sent',
            mesh.link_meter.sent_bytes,
            ('kind', 'scope'),
            'Bytes sent to other nodes, by kind of message',
            'By',
        )
        if mesh.quota_agent is not None:
            registry.export_counter(
                'pumicestand_quota',
                mesh.quota_agent.counts,
                ('outcome', 'organisation'),
                'Calls of organisations with a quota, by outcome',
            )
            registry.export_counter(
                'pumicestand_quota_messages',
                mesh.quota_agent.message_counts,
                ('kind',),
                'Messages about quotas that were sent, by kind',
            )
        for name, read_value, description in (
            (
                'pumicestand_generation',
                lambda: mesh.generation,
                'Configuration in force',
            ),
            (
                'pumicestand_linked_nodes',
                lambda: mesh.fleet.linked_count,
                'Nodes that calls can be sent to',
            ),
            (
                'pumicestand_store_reachable',
                lambda: int(mesh.store_reachable),
                'Whether the last call to the store was answered',
            ),
            (
                'pumicestand_target_running',
                lambda: target_calls.load().running,
                'Calls that run at the target',
            ),
            (
                'pumicestand_target_queued',
                lambda: target_calls.load().queued,
                'Calls that wait for the target',
            ),
            (
                'pumicestand_target_limit',
                lambda: target_calls.limit,
                "The target's rate limit in calls a second, while it has one",
            ),
            (
                'pumicestand_target_cold',
                lambda: int(target_calls.is_cold),
                'Whether calls are paced as the target is or may be cold',
            ),
            (
                'pumicestand_target_cold_periods',
                lambda: target_calls.cold_periods,
                'Times that the target turned cold',
            ),
            (
                'pumicestand_evacuated_zones',
                lambda: len(mesh.fleet.evacuated_zones),
                'Availability zones whose targets get no calls',
            ),
            (
                'pumicestand_own_zone_evacuated',
                lambda: int(mesh.evacuations.is_own_zone_evacuated),
                'Whether the target beside the node gets no calls',
            ),
            (
                'pumicestand_target_connections_opened',
                lambda: target_calls.connections_opened,
                'Connections opened to the target',
            ),
            (
                'pumicestand_target_repeated_calls',
                lambda: target_calls.repeated_calls,
                'Calls whose id an idle connection to the target had carried',
            ),
            (
                'pumicestand_log_lines_dropped',
                lambda: mesh.decisions.dropped + log.dropped(),
                'Log lines dropped to keep within the bound, or not taken',
            ),
            (
                'pumicestand_link_busy',
                lambda: mesh.link_meter.utilisation(clock()),
                "Fraction of the VM's network link in use",
            ),
            (
                'pumicestand_bodies_waiting',
                lambda: mesh.body_transfers.waiting,
                'Large bodies that this node has not asked for yet',
            ),
            (
                'pumicestand_requests_refused_for_crashes',
                mesh.suspects.refused_count,
                'Requests that are refused since they crashed targets',
            ),
        ):
            registry.create_gauge(name, read_value, description)
        if agent is not None:
            self._register_freshness(agent)
        if usage is not None:
            self._register_usage(usage)

    def _register_usage(self, usage):
        registry = self._registry
        registry.observe_gauge(
            'pumicestand_connections',
            usage.connections,
            ('port',),
            'Open connections of clients, of the target and of the platform',
        )
        registry.observe_counter(
            'pumicestand_excess_connections',
            usage.excess_connections,
            ('port', 'action'),
            'Connections over the limit of a port, by what was done',
        )
        registry.export_counter(
            'pumicestand_port_failures',
            usage.failures,
            ('port', 'code'),
            'Connections that could not be accepted or served',
        )
        for name, read_value, description in (
            (
                'pumicestand_descriptors_open',
                lambda: usage.open_descriptors,
                'Open descriptors',
            ),
            (
                'pumicestand_descriptors_limit',
                lambda: usage.max_descriptors,
                'Descriptors that may be open, if they are limited',
            ),
            (
                'pumicestand_bodies_held_bytes',
                lambda: usage.buffers.held_bytes,
                'Bytes of bodies that are held for clients',
            ),
            (
                'pumicestand_bodies_limit_bytes',
                lambda: usage.buffers.max_bytes,
                'Bytes of bodies that may be held',
            ),
        ):
            registry.create_gauge(name, read_value, description)

    def _register_freshness(self, agent):
        self._registry.export_counter(
            'pumicestand_freshness',
            agent.counts,
            ('event', 'result'),
            'Requests, replies and reads for freshness proofs, by result',
        )
        self._registry.create_gauge(
            'pumicestand_freshness_age',
            lambda: agent.age,
            'Seconds since the configuration is known to have been the newest',
        )

    def text(self):
        """Return all metrics in the text format of the scraper, as bytes."""
        return self._registry.text()
