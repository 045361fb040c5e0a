"""Typed records of the operators' resources.

An operator writes these as YAML files. Every field is checked on reading: an unknown
field, a wrong type or a value out of range is one typed error.
"""

from enum import StrEnum
from typing import Annotated

import msgspec
from msgspec import Meta

from drumbay.backends.interface import BackendAddress
from drumbay.identifiers import BackendId, StreamName

Name = Annotated[str, Meta(pattern=r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$")]
"""Name of a resource: lower case letters, digits, ``-`` and ``.``; 63 characters at most."""

PositiveInteger = Annotated[int, Meta(ge=1)]
NonNegativeInteger = Annotated[int, Meta(ge=0)]
PositiveFloat = Annotated[float, Meta(gt=0)]
NonNegativeFloat = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]


class SelectorOperator(StrEnum):
    """Set-based requirement on one label, as in Kubernetes label selectors."""

    IN = "In"
    NOT_IN = "NotIn"
    EXISTS = "Exists"
    DOES_NOT_EXIST = "DoesNotExist"


class SelectorExpression(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One set-based requirement."""

    key: str
    operator: SelectorOperator
    values: tuple[str, ...] = ()


class Selector(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Requirements on labels; all must hold. An empty selector selects everything."""

    match_labels: dict[str, str] = {}
    match_expressions: tuple[SelectorExpression, ...] = ()


class BackendKind(StrEnum):
    """What a group of back ends serves."""

    ENGINE = "engine"
    SCORING = "scoring"
    APPLICATION = "application"


class Backend(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One back end of a group; its labels add to and override the group's."""

    id: Name
    url: Annotated[str, Meta(pattern=r"^https?://")]
    zone: Name
    labels: dict[str, str] = {}

    @property
    def address(self) -> BackendAddress:
        """Return where the back end is reached."""
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
    """Which kind of work a route carries."""

    LIVE = "live"
    APPLICATION = "application"
    ROLLOUT = "rollout"


class Route(Resource, frozen=True, kw_only=True, tag_field="kind"):
    """Which work goes to which back ends, and within which limits.

    Attributes:
        route_kind: Kind of work.
        model: Model name a live or rollout request must name; ``None`` for applications.
        path_prefix: Path an application request must start with.
        selector: Back ends that may serve, by group and back-end labels.
        priority: Larger is served first.
        max_concurrency: Requests in flight per node.
        max_rate_per_second: Requests started per second per node.
        timeout_seconds: Longest time for one request, retries included.
        max_attempts: Most dispatches of one repeatable request.
        repeatable: Whether requests may run twice when the caller does not say.
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


class RolloutObjective(StrEnum):
    """What a deployment weighs more when both cannot be had."""

    IDLE_TIME = "idle_time"
    STALENESS = "staleness"


class EngineSharing(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How the engines of a policy are shared between live requests and rollouts.

    Attributes:
        engine_places: Requests that one engine decodes at once.
        live_weight: Weight of live requests when both ask for more than there is; 0 leaves
            rollouts all places.
        rollout_weight: Weight of rollouts.
        headroom_places: Places kept free for live requests beyond their recent demand, on
            engines that serve live requests.
        preempt: Whether rollouts beyond their share are stopped, and resumed later from
            their tokens, while live requests wait for a place.
    """

    engine_places: PositiveInteger = 16
    live_weight: NonNegativeFloat = 4.0
    rollout_weight: PositiveFloat = 2.0
    headroom_places: NonNegativeInteger = 2
    preempt: bool = True


class WeightPolicy(Resource, frozen=True, kw_only=True, tag_field="kind"):
    """How the weights of one model are rolled out and how old samples may be.

    Attributes:
        model: Name of the model.
        stream: Sample stream of its trainer.
        selector: Engines that hold the model.
        max_staleness_versions: Oldest weights of a sample, in versions behind the trainer.
        objective: Whether trainer idle time or staleness is weighed more.
        min_serving_share: Share of engines that keeps serving during a rollout.
        samples_per_step: Samples that make a step whole.
        sharing: How its engines are shared with live requests.
    """

    model: str
    stream: StreamName
    selector: Selector
    max_staleness_versions: NonNegativeInteger = 1
    objective: RolloutObjective = RolloutObjective.IDLE_TIME
    min_serving_share: Share = 0.5
    samples_per_step: PositiveInteger = 64
    sharing: EngineSharing = EngineSharing()


class WeightRollback(Resource, frozen=True, kw_only=True, tag_field="kind"):
    """An operator's rollback: versions of a model that must not be served any more.

    Attributes:
        model: Name of the model.
        keep: Newest version that stays allowed; the engines go back to it.
        withdrawn_through: Versions above ``keep`` up to this one are withdrawn. A version
            published later is above it and is rolled out as usual.
    """

    model: str
    keep: NonNegativeInteger
    withdrawn_through: NonNegativeInteger


class Drain(Resource, frozen=True, kw_only=True, tag_field="kind"):
    """An operator's order: the selected back ends get no new work."""

    selector: Selector
    reason: str = ""


class Role(StrEnum):
    """What the bearer of a token may do."""

    OPERATOR = "operator"
    CALLER = "caller"
    TRAINER = "trainer"


class AccessToken(Resource, frozen=True, kw_only=True, tag_field="kind"):
    """A bearer token by its SHA-256 hash; the token itself is never stored."""

    role: Role
    sha256: Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]


AnyResource = BackendGroup | Route | WeightPolicy | WeightRollback | Drain | AccessToken
