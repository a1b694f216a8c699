"""A replica's identity, which is stored in its data folder and lost with it."""

from collections.abc import Callable

import msgspec

from ibishead.control.log.folder import Files
from ibishead.control.log.records import (
    DamagedRecord,
    Record,
    decode_records,
    encode_record,
)
from ibishead.errors import StorageFault
from ibishead.ids import HostId, ReplicaId

__all__ = [
    "Identity",
    "load_identity",
    "read_checked",
    "replica_host",
    "save_identity",
    "write_atomically",
]

_IDENTITY_FILE = "identity"
_TEMPORARY_SUFFIX = ".new"
_REMEDY = (
    "give this replica an empty data folder and run `ibishead replace` for the old one"
)


class Identity(msgspec.Struct, frozen=True, array_like=True):
    """The name of a replica and the cluster that it has joined.

    :param replica: host and a random suffix, joined by a dot.
    :param cluster: random name given at the founding; empty until the replica joins.
    :param founders: the initial voters, if this replica is one of them.
    """

    replica: ReplicaId
    cluster: str = ""
    founders: tuple[ReplicaId, ...] = ()


def load_identity(files: Files, host: HostId, draw_name: Callable[[], str]) -> Identity:
    """Return the identity stored in a folder; an empty folder gets a new one.

    A replica that lost its disk no longer knows its votes and the entries that it
    acknowledged. Under its old name it could vote twice in a term and elect a leader
    that lacks accepted changes. Under a new name it has no vote until it is added to
    the replica set.

    :param draw_name: returns a globally unique string on each call.
    :raises StorageFault: the identity is damaged, missing or that of another host.
    """
    for name in files.names():
        if name.endswith(_TEMPORARY_SUFFIX):
            files.remove(name)
    names = files.names()
    if _IDENTITY_FILE not in names:
        if names:
            raise StorageFault("the data folder lost its identity file", _REMEDY)
        identity = Identity(ReplicaId(f"{host}.{draw_name()}"))
        save_identity(files, identity)
        return identity
    found = msgspec.msgpack.decode(read_checked(files, _IDENTITY_FILE), type=Identity)
    if replica_host(found.replica) != host:
        raise StorageFault(
            f"the data folder belongs to host {replica_host(found.replica)}",
            f"start the replica on that host, or give {host} an empty data folder",
        )
    return found


def save_identity(files: Files, identity: Identity) -> None:
    """Store an identity durably."""
    write_atomically(files, _IDENTITY_FILE, msgspec.msgpack.encode(identity))


def replica_host(replica: ReplicaId) -> HostId:
    """Return the host that a replica runs on."""
    return HostId(replica.rpartition(".")[0] or replica)


def write_atomically(files: Files, name: str, payload: bytes) -> None:
    """Replace a file atomically: a crash leaves either the old or the new content."""
    temporary = name + _TEMPORARY_SUFFIX
    if temporary in files.names():
        files.remove(temporary)
    files.append(temporary, encode_record(payload))
    files.sync(temporary)
    files.rename(temporary, name)
    files.sync_directory()


def read_checked(files: Files, name: str) -> bytes:
    """Return the payload of a file written by `write_atomically`.

    :raises StorageFault: the file is damaged.
    """
    try:
        found = list(decode_records(files.read(name)))
    except DamagedRecord:
        found = []
    match found:
        case [Record(payload)]:
            return payload
    raise StorageFault(f"the file {name} in the data folder is damaged", _REMEDY)
