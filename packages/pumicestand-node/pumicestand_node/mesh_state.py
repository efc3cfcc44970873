"""The state of one node, including its view of the other nodes."""

import dataclasses
import math

from pumicestand import body_transfers
from pumicestand import documents
from pumicestand import evacuations
from pumicestand import fleet as fleets
from pumicestand import hop_messages
from pumicestand import link_meter
from pumicestand import placing
from pumicestand import retry_quota
from pumicestand import rollouts as all_rollouts
from pumicestand import suspects
from pumicestand import targets
from pumicestand import zone_roles

# Priority key of the calls that carry large bodies: not nested, of any
# priority.
OUTER_CALL_PRIORITY_KEY = (True, math.inf)


class MeshState:
    """State shared by the components of a node on the platform.

    `configuration` is the `documents.InForce` in effect, or None;
    `configuration_content` is its zlib-compressed JSON. `send_call` is set
    by the node to a coroutine function (peer, call) that returns a
    `hop_messages.Result`, or None if the link broke, `withdraw_call` to a
    function (peer_name, id, in_s) that ends a call after a time unless it has
    started, and `quota_agent` to the `quota_agent.QuotaAgent`, None if quotas
    do not apply.
    `on_own_zone_changed` is called with whether the zone of this node is
    evacuated when that changes.

    :param identity: `node_records.NodeRecord` of this node, without target
    :param incarnation: number that increases with each start of the process
    :param bounds: `mesh_settings.MeshBounds`
    :param decisions: `decision_log.DecisionLog` for the node's events
    :param rng: `random.Random`
    :param link_rate: capacity of the VM's network link, in bytes per
        second; 0 if unknown
    """

    def __init__(
        self, identity, incarnation, bounds, decisions, rng, link_rate=0.0
    ):
        self.identity = identity
        self.incarnation = incarnation
        self.decisions = decisions
        self.configuration = None
        self.configuration_content = b''
        self._services_configuration = None
        self._services = {}
        self.fleet = fleets.Fleet(identity.name)
        self.peer_selector = placing.PeerSelector(
            rng, identity.name, identity.zone
        )
        self.rollouts = all_rollouts.Rollouts(rng)
        self.retry_quota = retry_quota.RetryQuota(
            bounds.retry_ratio, bounds.retry_constant, bounds.retry_window
        )
        self.target_watch = targets.TargetWatch()
        self.link_meter = link_meter.LinkMeter(link_rate)
        self.body_transfers = body_transfers.BodyTransfers(link_rate)
        self.suspects = suspects.Suspects()
        self.zone_roles = zone_roles.ZoneRoles(
            identity, self.fleet, self.link_meter
        )
        self.evacuations = evacuations.EvacuationTracker(
            identity.zone, bounds.evacuation > 0
        )
        self.on_own_zone_changed = None
        self.is_stopping = False
        self.is_leaving = False
        self.is_ready = False
        self.store_reachable = True
        self.store_era = 0
        self.quota_agent = None
        # Names of the nodes that coordinate quotas, which are linked.
        self.quota_coordinators = frozenset()
        # Whether the nodes of the fleet were read from the store.
        self.are_nodes_listed = False
        self.report_sequence = 0
        self.send_call = None
        self.withdraw_call = lambda peer_name, id_, in_s: None

    @property
    def generation(self):
        """Generation of the configuration in force, 0 if there is none."""
        if self.configuration is None:
            return 0
        return self.configuration.accepted.generation

    def find_service(self, name):
        """Return the `documents.Service` of a name, None if not known."""
        configuration = self.configuration
        if configuration is None:
            return None
        if configuration is not self._services_configuration:
            # Asked for each call, so the services are not searched again.
            self._services_configuration = configuration
            self._services = {
                service.name: service
                for service in configuration.document.services
            }
        return self._services.get(name)

    def apply_configuration(self, generation, document, content, now, source):
        """Put a configuration into force if it is newer than the current one.

        :param generation: generation of the configuration
        :param document: the parsed `documents.Document`
        :param content: its zlib-compressed JSON, to be sent to other nodes
        :param now: monotonic seconds
        :param source: ``store`` or the name of a peer, for the log
        :returns: whether the configuration was put into force
        """
        if generation <= self.generation:
            return False
        accepted = documents.Accepted(generation, '')
        self.configuration = documents.InForce(accepted, document, now)
        self.configuration_content = content
        self.decisions.note(
            'configuration-in-force',
            generation=generation,
            source=source,
            routes=len(document.routes),
            kilobytes=len(content) // 1000,
        )
        return True

    def add_link_load(self, load, now):
        """Return a load with the state of this VM's network link.

        :param load: `hop_messages.Load` of the target beside this node
        :param now: monotonic seconds
        """
        delay_s = self.body_transfers.delay_s(OUTER_CALL_PRIORITY_KEY, now)
        return dataclasses.replace(
            load,
            link_utilisation=self.link_meter.utilisation(now),
            body_delay_ms=delay_s * 1000,
        )

    def use_evacuations(self, source):
        """Put the known evacuations into effect.

        :param source: ``store`` or the name of a peer, for the log
        """
        tracker = self.evacuations
        before = self.fleet.evacuated_zones
        if tracker.zones == before:
            return
        self.fleet.set_evacuated_zones(tracker.zones)
        self.decisions.note(
            'evacuations',
            zones=' '.join(tracker.state.zones),
            before=' '.join(sorted(before)),
            era=tracker.state.era,
            revision=tracker.state.revision,
            source=source,
        )
        is_evacuated = tracker.is_own_zone_evacuated
        if (
            is_evacuated != (self.identity.zone in before)
            and self.on_own_zone_changed is not None
        ):
            self.on_own_zone_changed(is_evacuated)

    def new_report(self, load, evidence, now):
        """Return a `hop_messages.Report` with the next sequence number.

        :param load: `hop_messages.Load` of the target beside this node
        :param evidence: `hop_messages.Evidence` objects of that target;
            left out unless a roll-out is running
        :param now: monotonic seconds
        """
        self.report_sequence += 1
        identity = self.identity
        return hop_messages.Report(
            name=identity.name,
            incarnation=self.incarnation,
            sequence=self.report_sequence,
            zone=identity.zone,
            host=identity.host,
            port=identity.port,
            target=self.target_watch.target,
            load=self.add_link_load(load, now),
            is_leaving=self.is_leaving,
            store_reachable=self.store_reachable,
            generation=self.generation,
            link_rate=self.link_meter.rate,
            evidence=evidence if self.rollouts.has_running else (),
            verdicts=self.rollouts.verdicts(now),
            suspects=self.suspects.own_suspects(now),
            store_era=self.store_era,
            evacuations=self.evacuations.state,
            accepts_compressed=True,
        )
