"""Identifiers that cross module boundaries, each a type of its own."""

from typing import NewType

__all__ = [
    "AdapterName",
    "BootId",
    "ClassName",
    "FailureDomain",
    "Generation",
    "HostId",
    "IdempotencyKey",
    "Incarnation",
    "LogIndex",
    "ModelName",
    "ReplicaId",
    "RequestId",
    "Revision",
    "Sequence",
    "ServiceName",
    "SubmissionId",
    "TargetId",
    "TeamId",
    "Term",
    "Version",
]

TeamId = NewType("TeamId", str)
ServiceName = NewType("ServiceName", str)
ModelName = NewType("ModelName", str)
AdapterName = NewType("AdapterName", str)
Version = NewType("Version", str)
ClassName = NewType("ClassName", str)
HostId = NewType("HostId", str)
FailureDomain = NewType("FailureDomain", str)
TargetId = NewType("TargetId", str)
#: One life of an engine process; a new value after every restart.
BootId = NewType("BootId", str)
RequestId = NewType("RequestId", str)
IdempotencyKey = NewType("IdempotencyKey", str)
SubmissionId = NewType("SubmissionId", str)
ReplicaId = NewType("ReplicaId", str)
#: Fencing number of one life of an agent; rises with every registration.
Incarnation = NewType("Incarnation", int)
#: Number of one grant of a claim; rises when a claim is granted anew.
Generation = NewType("Generation", int)
#: Number of a service document; rises by one with every accepted change.
Revision = NewType("Revision", int)
#: Position of a frame in one answer, from 0.
Sequence = NewType("Sequence", int)
Term = NewType("Term", int)
LogIndex = NewType("LogIndex", int)
