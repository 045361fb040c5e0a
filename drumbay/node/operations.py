"""Resource operations for operators, behind the HTTP interface."""

from collections.abc import Iterator
from contextlib import contextmanager

from drumbay.api.schema import (
    ApplyBody,
    ApplyOutcomeBody,
    ResourceBody,
    ResourceListBody,
)
from drumbay.configuration.errors import ConflictError, OperationReusedError
from drumbay.configuration.operators import OperatorService
from drumbay.configuration.outcomes import WriteOutcome, WriteResult
from drumbay.configuration.service import ConfigurationService
from drumbay.configuration.view import ConfigurationView
from drumbay.exceptions import ConfigurationError, DrumbayError, Execution, RequestFailedError
from drumbay.identifiers import Revision
from drumbay.requests.errors import (
    ConflictingWriteError,
    InvalidRequestError,
    NotFoundError,
    NotReadyError,
)
from drumbay.resources.checks import check_resource
from drumbay.resources.schema import AnyResource

RETRY_AFTER_SECONDS = 1.0


class ResourceOperations:
    """Reads and writes resources for operators.

    Args:
        configuration: The current configuration.
        operators: Writes through the key-value service.

    Attributes:
        in_flight: Number of running operations; a planned stop waits for them.
        is_stopping: Whether changes are rejected because the node is stopping.
    """

    def __init__(self, configuration: ConfigurationService, operators: OperatorService) -> None:
        """Create the operations."""
        self.in_flight = 0
        self.is_stopping = False
        self._configuration = configuration
        self._operators = operators

    @contextmanager
    def _count_in_flight(self) -> Iterator[None]:
        self.in_flight += 1
        try:
            yield
        finally:
            self.in_flight -= 1

    def _require_running(self) -> None:
        if self.is_stopping:
            raise NotReadyError(
                "the node is stopping",
                execution=Execution.NOT_RUN,
                retry_after_seconds=RETRY_AFTER_SECONDS,
            )

    def resources(self, kind: str | None, name: str | None) -> ResourceListBody:
        """Return the current resources, filtered by kind and name if given."""
        view = self._configuration.current_view()
        items = [
            ResourceBody(resource=resource, mod_revision=_revision_of(view, resource))
            for resource in all_resources(view)
            if kind in (None, type(resource).__name__) and name in (None, resource.name)
        ]
        return ResourceListBody(revision=view.revision, items=tuple(items))

    async def apply(self, body: ApplyBody) -> ApplyOutcomeBody:
        """Create or change a resource.

        Raises:
            RequestFailedError: The change was rejected.
        """
        self._require_running()
        try:
            check_resource(body.resource)
            with self._count_in_flight():
                result = await self._operators.apply(
                    body.resource, body.expected_revision, body.operation_id
                )
        except DrumbayError as error:
            raise _to_request_error(error) from error
        return _to_outcome_body(result)

    async def delete(
        self, kind: str, name: str, operation_id: str, expected_revision: Revision | None
    ) -> ApplyOutcomeBody:
        """Remove a resource.

        Raises:
            NotFoundError: The resource does not exist in the current configuration.
            RequestFailedError: The change was rejected.
        """
        self._require_running()
        found = self.resources(kind, name).items
        if not found:
            raise NotFoundError(f"{kind}/{name} does not exist", execution=Execution.NOT_RUN)
        try:
            with self._count_in_flight():
                result = await self._operators.delete(
                    found[0].resource, expected_revision, operation_id
                )
        except DrumbayError as error:
            raise _to_request_error(error) from error
        return _to_outcome_body(result)

    async def operation(self, operation_id: str) -> ApplyOutcomeBody:
        """Return the outcome of an earlier change."""
        with self._count_in_flight():
            return _to_outcome_body(await self._operators.operation_status(operation_id))


def all_resources(view: ConfigurationView) -> list[AnyResource]:
    """Return every resource of a view, sorted by kind and name."""
    resources: list[AnyResource] = []
    resources.extend(view.groups.values())
    resources.extend(view.routes.values())
    resources.extend(view.policies.values())
    resources.extend(view.drains.values())
    resources.extend(view.evacuations.values())
    resources.extend(view.rollbacks.values())
    resources.extend(view.tokens.values())
    resources.sort(key=lambda resource: (type(resource).__name__, resource.name))
    return resources


def _revision_of(view: ConfigurationView, resource: AnyResource) -> Revision:
    key = f"{type(resource).__name__}/{resource.name}"
    return view.resource_revisions.get(key, Revision(0))


def _to_outcome_body(result: WriteResult) -> ApplyOutcomeBody:
    if result.outcome is WriteOutcome.REFUSED:
        raise NotReadyError(
            f"the change was not made: {result.detail}",
            execution=Execution.NOT_RUN,
            retry_after_seconds=RETRY_AFTER_SECONDS,
        )
    return ApplyOutcomeBody(
        outcome=result.outcome.value,
        operation_id=result.operation_id,
        mod_revision=result.committed_revision,
    )


def _to_request_error(error: DrumbayError) -> RequestFailedError:
    if isinstance(error, RequestFailedError):
        return error
    if isinstance(error, ConflictError | OperationReusedError):
        return ConflictingWriteError(str(error), execution=Execution.NOT_RUN)
    if isinstance(error, ConfigurationError):
        return InvalidRequestError(str(error), execution=Execution.NOT_RUN)
    return NotReadyError(
        str(error), execution=Execution.NOT_RUN, retry_after_seconds=RETRY_AFTER_SECONDS
    )
