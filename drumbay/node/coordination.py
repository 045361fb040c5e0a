"""Coordination services of a node: membership, configuration, ownership, replica set."""

from pathlib import Path

from drumbay.claims.reconfigurator import Reconfigurator
from drumbay.claims.replacement import ReplacementPolicy
from drumbay.claims.replica_set_watcher import ReplicaSetWatcher
from drumbay.configuration.operators import OperatorService
from drumbay.configuration.service import ConfigurationService
from drumbay.delivery.quorum import ReplicaView
from drumbay.delivery.state_copy import StreamStateCopier
from drumbay.identifiers import Epoch, NodeId
from drumbay.membership.service import MembershipConfiguration, MembershipService
from drumbay.node.cluster_view import DATA_FOLDER_LABEL, DATA_FOLDER_LABEL_VALUE, ClusterView
from drumbay.node.environment import NodeEnvironment
from drumbay.ownership.manager import OwnershipManager
from drumbay.settings import NodeSettings
from drumbay.tasks import TaskOwner

NO_REPLICAS = ReplicaView(epoch=Epoch(0), members=())


class CoordinationServices:
    """Services that coordinate the nodes of a cluster.

    Attributes:
        membership: Failure detection among nodes.
        cluster: Views of the live nodes for the other services.
        configuration: The operators' current configuration.
        operators: Configuration writes by operators.
        ownership: Leases with fencing tokens.
        replica_set: The newest known replica set.
    """

    def __init__(
        self, settings: NodeSettings, environment: NodeEnvironment, task_owner: TaskOwner
    ) -> None:
        """Create the services; :meth:`start` starts them."""
        self._task_owner = task_owner
        node_id = NodeId(settings.node_id)
        clock = environment.clock
        data_folder = Path(settings.data_folder) if settings.data_folder else None
        self.membership = MembershipService(
            clock,
            environment.transport,
            _membership_configuration(settings, environment),
            environment.random,
            task_owner,
        )
        self.cluster = ClusterView(self.membership)
        self.configuration = ConfigurationService(
            clock=clock,
            transport=environment.transport,
            store=environment.store,
            node_id=node_id,
            members=self.cluster.peers,
            generator=environment.random,
            task_owner=task_owner,
            data_folder=data_folder,
            run_blocking=environment.run_blocking,
        )
        self.operators = OperatorService(
            clock=clock, store=environment.store, configuration=self.configuration
        )
        self.ownership = OwnershipManager(
            clock,
            environment.store,
            node_id,
            task_owner,
            environment.random,
            live_members=self.cluster.node_ids,
        )
        self.replica_set = ReplicaSetWatcher(
            clock=clock,
            transport=environment.transport,
            key_value_store=environment.store,
            random=environment.random,
            peers=self.cluster.peer_addresses,
            may_watch=self._watches_key_value_service,
        )
        self._reconfigurator = Reconfigurator(
            node_id=node_id,
            clock=clock,
            transport=environment.transport,
            key_value_store=environment.store,
            random=environment.random,
            watcher=self.replica_set,
            candidates=self.cluster.replica_candidates,
            policy=ReplacementPolicy(),
            other_copiers=(StreamStateCopier(environment.transport),),
        )
        self._has_data_folder = data_folder is not None

    def _watches_key_value_service(self) -> bool:
        """Return whether this node watches the key-value service itself."""
        return self._has_data_folder or self.configuration.is_watching

    def start(self) -> None:
        """Start every service."""
        self.membership.start()
        self.configuration.start()
        self.ownership.start()
        self._task_owner.spawn(self.replica_set.run(), "replica-set-watch")
        if self._has_data_folder:
            self._task_owner.spawn(self._reconfigurator.run(), "replica-set-change")

    def stream_replicas(self) -> ReplicaView:
        """Return the active replica set, in the form that stream owners use."""
        current = self.replica_set.replica_set()
        if current is None or not current.is_active:
            return NO_REPLICAS
        members = tuple(member.address for member in current.members)
        return ReplicaView(epoch=current.epoch, members=members)


def _membership_configuration(
    settings: NodeSettings, environment: NodeEnvironment
) -> MembershipConfiguration:
    return MembershipConfiguration(
        node_id=NodeId(settings.node_id),
        boot_id=environment.boot_id,
        zone=settings.zone,
        region=settings.region,
        labels={DATA_FOLDER_LABEL: DATA_FOLDER_LABEL_VALUE} if settings.data_folder else {},
        seeds=settings.peers.seed_addresses(),
    )
