"""Identifiers used across modules, each a distinct type to the type checker."""

from typing import NewType

__all__ = [
    "AdapterName",
    "BootId",
    "ClassName",
    "CustomerId",
    "FailureDomain",
    "Generation",
    "HostId",
    "IdempotencyKey",
    "KeyDigest",
    "Incarnation",
    "LogIndex",
    "ModelName",
    "PartKey",
    "ReplicaId",
    "RequestId",
    "Revision",
    "Sequence",
    "ServiceName",
    "SoftwareVersion",
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
#: Name of a customer that shares the deployment with others.
CustomerId = NewType("CustomerId", str)
#: SHA-256 of an API key in hexadecimal.
KeyDigest = NewType("KeyDigest", str)
HostId = NewType("HostId", str)
FailureDomain = NewType("FailureDomain", str)
TargetId = NewType("TargetId", str)
#: Version of a target's software, not of the weights that it serves.
SoftwareVersion = NewType("SoftwareVersion", str)
#: Identifies one run of an engine process; changes with every restart.
BootId = NewType("BootId", str)
#: Identifies a part of a prompt; equal parts have equal keys.
PartKey = NewType("PartKey", str)
RequestId = NewType("RequestId", str)
IdempotencyKey = NewType("IdempotencyKey", str)
SubmissionId = NewType("SubmissionId", str)
ReplicaId = NewType("ReplicaId", str)
#: Fencing number of one run of an agent; rises with every registration.
Incarnation = NewType("Incarnation", int)
#: Number of one grant of a claim; rises when a claim is granted again.
Generation = NewType("Generation", int)
#: Number of a service document; rises by one with every accepted change.
Revision = NewType("Revision", int)
#: Position of a frame in its answer, counted from 0.
Sequence = NewType("Sequence", int)
Term = NewType("Term", int)
LogIndex = NewType("LogIndex", int)
