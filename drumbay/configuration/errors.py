"""Errors of the configuration service and of operators' writes."""

from drumbay.exceptions import ConfigurationError, DrumbayError, UnavailableError
from drumbay.identifiers import Revision


class ConflictError(ConfigurationError):
    """Another operator changed the resource first; nothing was written.

    Attributes:
        key: Key of the resource.
        expected_revision: Modification revision the writer expected.
        found_revision: Modification revision of the stored resource (0: the key is absent).
    """

    code = "conflict"

    def __init__(self, key: str, expected_revision: Revision, found_revision: Revision) -> None:
        """Create the error for a key and the two revisions."""
        super().__init__(f"{key}: expected revision {expected_revision}, found {found_revision}")
        self.key = key
        self.expected_revision = expected_revision
        self.found_revision = found_revision


class OperationReusedError(ConfigurationError):
    """The operation identifier already names a write to another key."""

    code = "operation_reused"


class ConfigurationTooLargeError(ConfigurationError):
    """The configuration would no longer fit into one message between nodes."""

    code = "configuration_too_large"


class ConfigurationNotCurrentError(UnavailableError):
    """The node cannot confirm that its configuration is current, so it refuses writes."""

    code = "configuration_not_current"


class ReplicaMajorityError(UnavailableError):
    """No majority of the configuration's replicas responded."""

    code = "replica_majority"


class ReplicaFileError(DrumbayError):
    """The configuration file of a replica cannot be read; it must be removed by hand."""

    code = "replica_file"


class StoreBehindError(UnavailableError):
    """The key-value service has lost data: its revision is lower than that on this node's disk."""

    code = "configuration_store_behind"
