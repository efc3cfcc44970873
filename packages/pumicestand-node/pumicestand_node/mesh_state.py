"""The state of one node, including its view of the other nodes."""

import dataclasses

from pumicestand import documents
from pumicestand import fleet as fleets
from pumicestand import hop_messages
from pumicestand import link_meter
from pumicestand import placing
from pumicestand import retry_quota
from pumicestand import rollouts as all_rollouts
from pumicestand import suspects
from pumicestand import targets
from pumicestand import zone_roles


class MeshState:
    """State shared by the components of a node on the platform.

    `configuration` is the `documents.InForce` in effect, or None;
    `configuration_content` is its zlib-compressed JSON. `send_call` is set
    by the node to a coroutine function (peer, call) that returns a
    `hop_messages.Result`, or None if the link broke; `quota_agent` to the
    `quota_agent.QuotaAgent`, None if quotas do not apply.

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
        self.suspects = suspects.Suspects()
        self.zone_roles = zone_roles.ZoneRoles(
            identity, self.fleet, self.link_meter
        )
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

    @property
    def generation(self):
        """Generation of the configuration in force, 0 if there is none."""
        if self.configuration is None:
            return 0
        return self.configuration.accepted.generation

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
            load=dataclasses.replace(
                load, link_utilisation=self.link_meter.utilisation(now)
            ),
            is_leaving=self.is_leaving,
            store_reachable=self.store_reachable,
            generation=self.generation,
            link_rate=self.link_meter.rate,
            evidence=evidence if self.rollouts.has_running else (),
            verdicts=self.rollouts.verdicts(now),
            suspects=self.suspects.own_suspects(now),
            store_era=self.store_era,
        )
