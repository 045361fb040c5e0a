"""Schema of the operators' resources.

Operators write them as YAML files. Unknown fields, wrong types and values out of range are
rejected on reading.
"""

from enum import StrEnum
from typing import Annotated

import msgspec
from msgspec import UNSET, Meta, UnsetType

from drumbay.backends.interface import BackendAddress
from drumbay.identifiers import BackendId, StreamName

Name = Annotated[str, Meta(pattern=r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$")]
"""Name of a resource: lower-case letters, digits, ``-`` and ``.``; at most 63 characters."""

PositiveInteger = Annotated[int, Meta(ge=1)]
NonNegativeInteger = Annotated[int, Meta(ge=0)]
PositiveFloat = Annotated[float, Meta(gt=0)]
NonNegativeFloat = Annotated[float, Meta(ge=0)]
Fraction = Annotated[float, Meta(ge=0, le=1)]


class SelectorOperator(StrEnum):
    """Operator of a set-based requirement, as in Kubernetes label selectors."""

    IN = "In"
    NOT_IN = "NotIn"
    EXISTS = "Exists"
    DOES_NOT_EXIST = "DoesNotExist"


class SelectorExpression(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A set-based requirement on one label."""

    key: str
    operator: SelectorOperator
    values: tuple[str, ...] = ()


class Selector(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Requirements on labels, all of which must hold; an empty selector matches everything."""

    match_labels: dict[str, str] = {}
    match_expressions: tuple[SelectorExpression, ...] = ()


class BackendKind(StrEnum):
    """Kind of work that a group of back ends serves."""

    ENGINE = "engine"
    SCORING = "scoring"
    APPLICATION = "application"


class Backend(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One back end of a group; its labels are merged over the group's."""

    id: Name
    url: Annotated[str, Meta(pattern=r"^https?://")]
    zone: Name
    labels: dict[str, str] = {}

    @property
    def address(self) -> BackendAddress:
        """Return the address of the back end."""
        return BackendAddress(backend_id=BackendId(self.id), base_url=self.url)


class Resource(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, tag=True):
    """Base class of resources; the YAML field ``kind`` is the class name."""

    name: Name


class BackendGroup(Resource, frozen=True, kw_only=True, tag_field="kind"):
    """A labelled group of back ends of one kind."""

    backend_kind: BackendKind
    backends: tuple[Backend, ...]
    labels: dict[str, str] = {}
    model: str | None = None


class RouteKind(StrEnum):
    """Kind of requests that a route serves."""

    LIVE = "live"
    APPLICATION = "application"
    ROLLOUT = "rollout"


class Route(Resource, frozen=True, kw_only=True, tag_field="kind"):
    """Rule that sends one kind of requests to selected back ends, within limits.

    Attributes:
        route_kind: Kind of requests.
        model: Model that live and rollout requests must name; ``None`` for applications.
        path_prefix: Prefix of the path of application requests.
        selector: Selects the back ends that may serve, by the labels of groups and back ends.
        priority: Routes with a larger priority are served first.
        max_concurrency: Requests in flight per node.
        max_rate_per_second: Requests started per second per node.
        timeout_seconds: Timeout of a request, retries included.
        max_attempts: Maximum number of attempts of a repeatable request.
        repeatable: Whether requests may run more than once, unless the caller specifies it.
        allowed_regions: Regions whose back ends may serve; any region if empty. Not stored
            when left out, so that releases without the field can read the route.
    """

    route_kind: RouteKind
    selector: Selector
    model: str | None = None
    path_prefix: str | None = None
    priority: NonNegativeInteger = 0
    max_concurrency: PositiveInteger = 64
    max_rate_per_second: PositiveFloat = 1000.0
    timeout_seconds: PositiveFloat = 60.0
    max_attempts: PositiveInteger = 3
    repeatable: bool = False
    allowed_regions: tuple[Name, ...] | UnsetType = UNSET


class RolloutObjective(StrEnum):
    """What to minimize if trainer idle time and sample staleness conflict."""

    IDLE_TIME = "idle_time"
    STALENESS = "staleness"


class EngineSharing(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How the engines of a policy are shared between live requests and rollouts.

    Attributes:
        engine_places: Slots of one engine: requests that it decodes concurrently.
        live_weight: Weight of live requests when the demand exceeds the slots; 0 leaves all
            slots to rollouts.
        rollout_weight: Weight of rollouts.
        headroom_places: Slots kept free for live requests beyond their recent demand, on
            engines that serve live requests.
        preempt: Whether rollouts beyond their share are preempted, and later resumed from
            their tokens, while live requests wait for a slot.
    """

    engine_places: PositiveInteger = 16
    live_weight: NonNegativeFloat = 4.0
    rollout_weight: PositiveFloat = 2.0
    headroom_places: NonNegativeInteger = 2
    preempt: bool = True


class WeightPolicy(Resource, frozen=True, kw_only=True, tag_field="kind"):
    """Rollout of one model's weights, and limit on the staleness of samples.

    Attributes:
        model: Name of the model.
        stream: Sample stream of its trainer.
        selector: Engines that hold the model.
        max_staleness_versions: Limit on how many versions a sample's weights may be behind the
            trainer.
        objective: Whether to minimize trainer idle time or staleness when they conflict.
        min_serving_share: Fraction of engines that keep serving during a rollout.
        samples_per_step: Number of samples in a training step.
        sharing: How the engines are shared between live requests and rollouts.
    """

    model: str
    stream: StreamName
    selector: Selector
    max_staleness_versions: NonNegativeInteger = 1
    objective: RolloutObjective = RolloutObjective.IDLE_TIME
    min_serving_share: Fraction = 0.5
    samples_per_step: PositiveInteger = 64
    sharing: EngineSharing = EngineSharing()


class WeightRollback(Resource, frozen=True, kw_only=True, tag_field="kind"):
    """An operator's rollback, which withdraws versions of a model from serving.

    Attributes:
        model: Name of the model.
        keep: Newest version that may still be served; the engines return to it.
        withdrawn_through: Versions above ``keep`` up to this one are withdrawn. Versions
            published later are above it and are rolled out as usual.
    """

    model: str
    keep: NonNegativeInteger
    withdrawn_through: NonNegativeInteger


class Drain(Resource, frozen=True, kw_only=True, tag_field="kind"):
    """An operator's drain: the selected back ends get no new work."""

    selector: Selector
    reason: str = ""


class ZoneEvacuation(Resource, frozen=True, kw_only=True, tag_field="kind"):
    """An operator's evacuation: the back ends of a zone get no new work, but load weights."""

    zone: Name
    reason: str = ""


class Role(StrEnum):
    """Role of the bearer of an access token."""

    OPERATOR = "operator"
    CALLER = "caller"
    TRAINER = "trainer"


class AccessToken(Resource, frozen=True, kw_only=True, tag_field="kind"):
    """A bearer token by its SHA-256 hash; the token itself is never stored."""

    role: Role
    sha256: Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]


AnyResource = (
    BackendGroup | Route | WeightPolicy | WeightRollback | Drain | ZoneEvacuation | AccessToken
)
