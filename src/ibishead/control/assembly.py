"""Puts a replica together from a control program's settings."""

import secrets
from collections.abc import Callable, Mapping
from pathlib import Path

from ibishead.clock import Clock
from ibishead.control.driver import ReplicaOptions
from ibishead.control.folder import DataFolder
from ibishead.control.machine import StateMachine
from ibishead.control.peering import PeerLinks
from ibishead.control.replica import LogReplica
from ibishead.errors import StorageFault
from ibishead.ids import HostId, ReplicaId
from ibishead.links import Endpoint
from ibishead.messages import Hello, Role
from ibishead.settings import ControlSettings
from ibishead.tls import make_client_context

__all__ = ["open_replica"]

#: Bytes of randomness in the name of a new replica or cluster.
_NAME_BYTES = 6


def open_replica(
    settings: ControlSettings,
    machine: StateMachine,
    clock: Clock,
    on_failure: Callable[[StorageFault], None],
    pace: ReplicaOptions | None = None,
) -> LogReplica:
    """Return a replica on the settings' data folder; `LogReplica.start` begins.

    Its link server must give it every `PeerFrame` by `LogReplica.take_frame`.

    :param on_failure: called when the disk has failed; the program should then end.
    :raises StorageFault: the folder is in use, damaged or of another replica.
    """
    own = HostId(settings.replica)
    peer = settings.peer_tls
    folder = DataFolder(Path(settings.data))
    try:
        return LogReplica(
            own,
            tuple(HostId(name) for name in settings.peers),
            machine,
            folder,
            PeerLinks(
                _list_others(own, {**settings.peers, **settings.spares}),
                Hello(Role.CONTROL, settings.host),
                clock,
                make_client_context(peer) if peer is not None else None,
            ),
            clock,
            secrets.randbelow,
            lambda: secrets.token_hex(_NAME_BYTES),
            pace or ReplicaOptions(repair_after=settings.repair_after.total_seconds()),
            on_failure,
        )
    except StorageFault:
        folder.close()
        raise


def _list_others(
    own: HostId, endpoints: Mapping[ReplicaId, Endpoint]
) -> dict[HostId, Endpoint]:
    return {
        HostId(name): endpoint for name, endpoint in endpoints.items() if name != own
    }
