"""Names, addresses, settings and resources of a scenario's deployment."""

import msgspec

from drumbay.comm.interface import Address
from drumbay.identifiers import BackendId, NodeId, StreamName
from drumbay.resources.schema import (
    AnyResource,
    Backend,
    BackendGroup,
    BackendKind,
    Route,
    RouteKind,
    Selector,
    WeightPolicy,
)
from drumbay.settings import HttpSettings, KeyValueSettings, NodeSettings, PeerSettings
from drumbay.simulation.fault_plan import FaultTargets
from drumbay.simulation.host import Location
from drumbay.simulation.scenario import PoolKind, PoolSection, Scenario, ZoneSection

PEER_PORT = 7000
HTTP_PORT = 8000
BACKEND_PORT = 9000
SEED_NODE_COUNT = 3
"""Number of seed nodes for joining the cluster."""

_POOL_LABEL = "pool"
_LIVE_PRIORITY = 10
_ROUTE_CONCURRENCY = 256
_LIVE_TIMEOUT_SECONDS = 30.0
_ROLLOUT_TIMEOUT_SECONDS = 600.0
_APPLICATION_TIMEOUT_SECONDS = 10.0


class NodePlan(msgspec.Struct, frozen=True, kw_only=True):
    """One node of a deployment."""

    node_id: NodeId
    address: Address
    location: Location
    has_disk: bool


class WorkerPlan(msgspec.Struct, frozen=True, kw_only=True):
    """One back end of a deployment."""

    backend_id: BackendId
    base_url: str
    location: Location
    pool: PoolSection


class Deployment(msgspec.Struct, frozen=True, kw_only=True):
    """All nodes and workers of a scenario."""

    nodes: tuple[NodePlan, ...]
    workers: tuple[WorkerPlan, ...]


def plan_deployment(scenario: Scenario) -> Deployment:
    """Assign a name, an address and a zone to every node and worker of a scenario."""
    nodes = []
    for zone_number, zone in enumerate(scenario.zones):
        for index in range(zone.nodes):
            nodes.append(_plan_node(zone_number, zone, index))
    workers = []
    for pool_number, pool in enumerate(scenario.pools):
        for index in range(pool.workers):
            zone = scenario.zones[index % len(scenario.zones)]
            workers.append(_plan_worker(pool_number, pool, index, zone))
    return Deployment(nodes=tuple(nodes), workers=tuple(workers))


def _plan_node(zone_number: int, zone: ZoneSection, index: int) -> NodePlan:
    return NodePlan(
        node_id=NodeId(f"{zone.name}-{index + 1}"),
        address=Address(f"10.{zone_number}.0.{index + 1}", PEER_PORT),
        location=Location(zone=zone.name, region=zone.region),
        has_disk=index < zone.disks,
    )


def _plan_worker(pool_number: int, pool: PoolSection, index: int, zone: ZoneSection) -> WorkerPlan:
    return WorkerPlan(
        backend_id=BackendId(f"{pool.name}-{index + 1}"),
        base_url=f"http://10.{100 + pool_number}.0.{index + 1}:{BACKEND_PORT}",
        location=Location(zone=zone.name, region=zone.region),
        pool=pool,
    )


def node_settings(deployment: Deployment, plan: NodePlan, data_folder: str | None) -> NodeSettings:
    """Return the settings of a node."""
    seeds = tuple(
        f"{node.address.host}:{node.address.port}" for node in deployment.nodes[:SEED_NODE_COUNT]
    )
    return NodeSettings(
        node_id=plan.node_id,
        zone=plan.location.zone,
        region=plan.location.region,
        http=HttpSettings(host=plan.address.host, port=HTTP_PORT),
        peers=PeerSettings(
            host=plan.address.host,
            port=plan.address.port,
            cluster_key_file="cluster.key",
            seeds=seeds,
        ),
        key_value=KeyValueSettings(urls=("http://10.255.0.1:2379",)),
        data_folder=data_folder,
    )


def initial_resources(scenario: Scenario, deployment: Deployment) -> tuple[AnyResource, ...]:
    """Return the configuration resources that operators apply at the start."""
    resources: list[AnyResource] = []
    for pool in scenario.pools:
        resources.append(_backend_group(pool, deployment))
        resources += _routes(pool)
    for trainer in scenario.trainers:
        pools = [pool for pool in scenario.pools if pool.model == trainer.model]
        policy = WeightPolicy(
            name=trainer.stream,
            model=trainer.model,
            stream=StreamName(trainer.stream),
            selector=_pool_selector(pools[0]),
            max_staleness_versions=trainer.max_staleness_versions,
            objective=trainer.objective,
            samples_per_step=trainer.samples_per_step,
        )
        resources.append(policy)
    return tuple(resources)


def _pool_selector(pool: PoolSection) -> Selector:
    return Selector(match_labels={_POOL_LABEL: pool.name})


def _backend_group(pool: PoolSection, deployment: Deployment) -> BackendGroup:
    backends = tuple(
        Backend(id=worker.backend_id, url=worker.base_url, zone=worker.location.zone)
        for worker in deployment.workers
        if worker.pool == pool
    )
    kind = BackendKind.ENGINE if pool.kind is PoolKind.ENGINE else BackendKind.APPLICATION
    return BackendGroup(
        name=pool.name,
        backend_kind=kind,
        backends=backends,
        labels={_POOL_LABEL: pool.name},
        model=pool.model or None,
    )


def _routes(pool: PoolSection) -> list[Route]:
    if pool.kind is PoolKind.APPLICATION:
        return [
            Route(
                name=pool.name,
                route_kind=RouteKind.APPLICATION,
                selector=_pool_selector(pool),
                path_prefix=f"/{pool.name}",
                max_concurrency=_ROUTE_CONCURRENCY,
                timeout_seconds=_APPLICATION_TIMEOUT_SECONDS,
            )
        ]
    live = Route(
        name=f"{pool.name}-live",
        route_kind=RouteKind.LIVE,
        selector=_pool_selector(pool),
        model=pool.model,
        priority=_LIVE_PRIORITY,
        max_concurrency=_ROUTE_CONCURRENCY,
        timeout_seconds=_LIVE_TIMEOUT_SECONDS,
    )
    rollout = Route(
        name=f"{pool.name}-rollout",
        route_kind=RouteKind.ROLLOUT,
        selector=_pool_selector(pool),
        model=pool.model,
        max_concurrency=_ROUTE_CONCURRENCY,
        timeout_seconds=_ROLLOUT_TIMEOUT_SECONDS,
    )
    return [live, rollout]


def fault_targets(scenario: Scenario, deployment: Deployment) -> FaultTargets:
    """Return the possible targets of faults in a deployment."""
    return FaultTargets(
        hosts=tuple(node.node_id for node in deployment.nodes),
        hosts_with_disk=tuple(node.node_id for node in deployment.nodes if node.has_disk),
        zones=tuple(zone.name for zone in scenario.zones),
        regions=tuple(dict.fromkeys(zone.region for zone in scenario.zones)),
        engines=_backend_ids(deployment, PoolKind.ENGINE),
        applications=_backend_ids(deployment, PoolKind.APPLICATION),
    )


def _backend_ids(deployment: Deployment, kind: PoolKind) -> tuple[str, ...]:
    return tuple(worker.backend_id for worker in deployment.workers if worker.pool.kind is kind)
