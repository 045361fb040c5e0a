"""Distinct types for identifiers and counters that processes exchange."""

from typing import NewType

NodeId = NewType("NodeId", str)
"""Name of a drumbay node; unique in the cluster and stable across restarts."""

BackendId = NewType("BackendId", str)
"""Name of a backend (engine, scoring service or application server)."""

GroupName = NewType("GroupName", str)
"""Name of a configured group of backends."""

BootId = NewType("BootId", str)
"""Identifier of one process incarnation; it changes with every restart."""

RequestId = NewType("RequestId", str)
"""Identifier of a caller's request, shared by all attempts to serve it."""

AttemptId = NewType("AttemptId", str)
"""Identifier of one dispatch of a request to one backend; never reused."""

IdempotencyKey = NewType("IdempotencyKey", str)
"""Key chosen by the caller; requests with the same key run at most once."""

SampleId = NewType("SampleId", str)
"""Identifier of a rollout sample: stream, step and index."""

StreamName = NewType("StreamName", str)
"""Name of the sample stream of one trainer."""

WeightVersion = NewType("WeightVersion", int)
"""Version of a model's weights; larger is newer."""

Fence = NewType("Fence", int)
"""Fencing token of a lease; it increases with every new holder."""

Revision = NewType("Revision", int)
"""Revision of the key-value service; it increases with every change."""

Epoch = NewType("Epoch", int)
"""Number of a replica set configuration; it increases with every change."""

Cursor = NewType("Cursor", int)
"""Position of a batch in a sample stream, from 0."""
