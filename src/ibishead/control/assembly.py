"""Construction of a control replica from the settings."""

import secrets
from collections.abc import Callable, Mapping
from pathlib import Path

from ibishead.clock import Clock
from ibishead.control.log.driver import ReplicaOptions
from ibishead.control.log.folder import DataFolder
from ibishead.control.log.machine import StateMachine
from ibishead.control.log.peering import PeerLinks
from ibishead.control.log.replica import LogReplica
from ibishead.errors import StorageFault
from ibishead.ids import HostId, ReplicaId
from ibishead.links import Endpoint
from ibishead.messages import Hello, Role
from ibishead.settings import ControlSettings
from ibishead.tls import make_client_context

__all__ = ["open_replica"]

#: Random bytes in the generated name of a new replica or cluster.
_RANDOM_NAME_BYTES = 6


def open_replica(
    settings: ControlSettings,
    machine: StateMachine,
    clock: Clock,
    on_failure: Callable[[StorageFault], None],
    pace: ReplicaOptions | None = None,
) -> LogReplica:
    """Open the data folder of the settings and return a replica on it, not started.

    The caller starts it with `LogReplica.start` and passes it every `PeerFrame` that
    arrives at its link server, by `LogReplica.receive_frame`.

    :param pace: the intervals of the replica; by default those of the settings.
    :param on_failure: called when the disk has failed; the program should then exit.
    :raises StorageFault: the folder is in use, damaged, or belongs to another replica.
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
                _list_peers(own, {**settings.peers, **settings.spares}),
                Hello(Role.CONTROL, settings.host),
                clock,
                make_client_context(peer) if peer is not None else None,
            ),
            clock,
            secrets.randbelow,
            lambda: secrets.token_hex(_RANDOM_NAME_BYTES),
            pace or ReplicaOptions(repair_after=settings.repair_after.total_seconds()),
            on_failure,
        )
    except StorageFault:
        folder.close()
        raise


def _list_peers(
    own: HostId, endpoints: Mapping[ReplicaId, Endpoint]
) -> dict[HostId, Endpoint]:
    return {
        HostId(name): endpoint for name, endpoint in endpoints.items() if name != own
    }
