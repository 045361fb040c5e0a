"""Distinct types for the identifiers and counters that travel between processes."""

from typing import NewType

NodeId = NewType("NodeId", str)
"""Name of one drumbay node; unique in the cluster and stable over restarts."""

BackendId = NewType("BackendId", str)
"""Name of one back end (engine, scoring service or application server)."""

GroupName = NewType("GroupName", str)
"""Name of an operators' group of back ends."""

BootId = NewType("BootId", str)
"""Identity of one run of a process; a restarted process has another."""

RequestId = NewType("RequestId", str)
"""Identity of one caller's request, kept over every attempt to serve it."""

AttemptId = NewType("AttemptId", str)
"""Identity of one dispatch of a request to one back end; never used twice."""

IdempotencyKey = NewType("IdempotencyKey", str)
"""The caller's key under which a request may run at most once."""

SampleId = NewType("SampleId", str)
"""Identity of one rollout sample: stream, step and index."""

StreamName = NewType("StreamName", str)
"""Name of the sample stream of one trainer."""

WeightVersion = NewType("WeightVersion", int)
"""Version of a model's weights; a larger number is newer."""

Fence = NewType("Fence", int)
"""Fencing token of a lease; every new holder has a larger one."""

Revision = NewType("Revision", int)
"""Revision of the key-value service; it grows with every change."""

Epoch = NewType("Epoch", int)
"""Number of a replica set configuration; it only grows."""

Cursor = NewType("Cursor", int)
"""Position of a batch in a sample stream, from 0."""
