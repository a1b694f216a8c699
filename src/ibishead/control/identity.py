"""Who a replica is; the answer lives and dies with its data folder."""

from collections.abc import Callable

import msgspec

from ibishead.control.folder import Files
from ibishead.control.records import DamagedRecord, Record, frame, split
from ibishead.errors import StorageFault
from ibishead.ids import HostId, ReplicaId

__all__ = [
    "Identity",
    "load_identity",
    "read_whole",
    "replica_host",
    "save_identity",
    "write_whole",
]

_FILE = "identity"
_UNFINISHED = ".new"
_REPLACE = (
    "give this replica an empty data folder and run `ibishead replace` for the old one"
)


class Identity(msgspec.Struct, frozen=True, array_like=True):
    """Who a replica is and which cluster it has joined.

    :param cluster: drawn at the founding; empty until the replica is part of one.
    :param founders: the first voters, where this replica is one of them.
    """

    replica: ReplicaId
    cluster: str = ""
    founders: tuple[ReplicaId, ...] = ()


def load_identity(files: Files, host: HostId, draw_name: Callable[[], str]) -> Identity:
    """Return the identity in a folder, or give an empty folder a new one.

    A replica that lost its disk has forgotten its votes and what it had acknowledged.
    Under its old name it would vote again in the same term and elect a leader that
    lacks accepted changes; under a new one it counts for nothing until it is taken in.

    :param draw_name: returns text that no two calls anywhere return alike.
    :raises StorageFault: the identity is damaged, gone or of another host.
    """
    for name in files.names():
        if name.endswith(_UNFINISHED):
            files.remove(name)
    names = files.names()
    if _FILE not in names:
        if names:
            raise StorageFault("the data folder has lost its identity", _REPLACE)
        identity = Identity(ReplicaId(f"{host}.{draw_name()}"))
        save_identity(files, identity)
        return identity
    found = msgspec.msgpack.decode(read_whole(files, _FILE), type=Identity)
    if replica_host(found.replica) != host:
        raise StorageFault(
            f"the data folder belongs to host {replica_host(found.replica)}",
            f"start it there, or give {host} an empty folder",
        )
    return found


def save_identity(files: Files, identity: Identity) -> None:
    """Put an identity on the disk, durably."""
    write_whole(files, _FILE, msgspec.msgpack.encode(identity))


def replica_host(replica: ReplicaId) -> HostId:
    """Return the host that a replica runs on."""
    return HostId(replica.rpartition(".")[0] or replica)


def write_whole(files: Files, name: str, payload: bytes) -> None:
    """Put a whole file in place so that a crash leaves the old one or the new one."""
    unfinished = name + _UNFINISHED
    if unfinished in files.names():
        files.remove(unfinished)
    files.append(unfinished, frame(payload))
    files.sync(unfinished)
    files.rename(unfinished, name)
    files.sync_names()


def read_whole(files: Files, name: str) -> bytes:
    """Return the payload of a file that `write_whole` has put in place.

    :raises StorageFault: the file is damaged.
    """
    try:
        found = list(split(files.read(name)))
    except DamagedRecord:
        found = []
    match found:
        case [Record(payload)]:
            return payload
    raise StorageFault(f"the file {name} in the data folder is damaged", _REPLACE)
