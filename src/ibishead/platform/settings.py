"""Reads the platform's settings file and derives each program's settings from it.

The platform renders `deploy/settings.json.template` with all of its fields, as JSON.
"""

from pathlib import Path

import msgspec

from ibishead.decisions.quota import Tolerance
from ibishead.decisions.retry import BudgetShare
from ibishead.errors import SettingsFault
from ibishead.gateway.settings import GatewaySettings
from ibishead.ids import FailureDomain, HostId, ServiceName
from ibishead.links import Endpoint
from ibishead.registry.settings import RegistrySettings
from ibishead.settingsfile import MAX_PORT
from ibishead.steward.settings import StewardSettings

__all__ = ["PlatformSettings", "load_platform_settings"]

#: Offsets of the link servers' ports in the port range for traffic between hosts.
REGISTRY_PORT_OFFSET = 0
STEWARD_PORT_OFFSET = 1

#: Share of the retry budget that is used. The rest is left for callers' own retries,
#: which look like those of gateways, and for counts of retries over other time windows.
USED_RETRY_SHARE = 0.7

#: File descriptors of a gateway that aren't available for connections of callers: they
#: are for files, links and connections to targets.
RESERVED_DESCRIPTORS = 1000

#: Megabytes of a host's memory that a gateway's program itself needs.
PROGRAM_MB = 80

#: Share of the remaining memory that may be held for callers and targets. The rest is
#: for what isn't counted: write buffers, copies made while a body is joined or sent,
#: and memory that the allocator doesn't return.
HELD_SHARE = 0.75

#: Least bytes that may be held, so that the largest bodies still have room.
MIN_HELD_BYTES = 24 * 1024 * 1024


class _Limits(msgspec.Struct):
    max_fds: int = 4096
    # capacity of the host's link in megabits per second
    link_mbps: float | None = None
    # memory of the host in megabytes
    memory_mb: float | None = None


class _FaultTolerance(msgspec.Struct):
    machines: int = 1
    zones: int = 0
    regions: int = 0


class _Bounds(msgspec.Struct):
    # seconds within which a host with a new disk has to count as a replica again
    catch_up_s: float = 4
    # seconds from the request to stop until the process is killed
    grace_s: float = 8
    # retries as a share of the requests for a service, and retries in addition to it
    retry_budget: float = 0.2
    retry_slack: float = 20
    # period over which quotas are checked, and share by which that may exceed them
    quota_window_s: float = 8
    quota_overage: float = 0.1
    # units of the quota by which they may exceed it in addition
    quota_slack: float = 0


class _Listen(msgspec.Struct):
    front: str | None = None
    readiness_addr: str | None = None
    control: str | None = None


class PlatformSettings(msgspec.Struct):
    """The fields of the settings file that ibishead uses; others are ignored."""

    node_name: str
    ip: str
    # failure domain of this host
    zone: str
    seeds: list[str]
    port_range: list[int]
    listen: _Listen = msgspec.field(default_factory=_Listen)
    # true only at the first start of the whole system
    bootstrap: bool = False
    data_dir: str | None = None
    limits: _Limits = msgspec.field(default_factory=_Limits)
    fault_tolerance: _FaultTolerance = msgspec.field(default_factory=_FaultTolerance)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    # address of the engine on this host
    app: str | None = None
    # service that this engine belongs to
    backend: str | None = None

    def gateway(self) -> GatewaySettings:
        """Return the settings of a gateway.

        :raises SettingsFault: an address or the port range is invalid.
        """
        bounds = self.bounds
        return GatewaySettings(
            HostId(self.node_name),
            FailureDomain(self.zone),
            _parse_endpoint(self.listen.front, "listen.front"),
            _parse_endpoint(self.listen.readiness_addr, "listen.readiness_addr"),
            self.registries(),
            bounds.grace_s,
            BudgetShare(
                USED_RETRY_SHARE * bounds.retry_budget,
                USED_RETRY_SHARE * bounds.retry_slack,
            ),
            self._quota_tolerance().charge_lifetime,
            max(100, self.limits.max_fds - RESERVED_DESCRIPTORS),
            self.limits.link_mbps * 1e6 / 8 if self.limits.link_mbps else None,
            _find_held_bytes(self.limits.memory_mb),
        )

    def registry(self) -> RegistrySettings:
        """Return the settings of a registry.

        :raises SettingsFault: an address or the port range is invalid.
        """
        tolerance = self.fault_tolerance
        return RegistrySettings(
            HostId(self.node_name),
            FailureDomain(self.zone),
            _parse_endpoint(self.listen.control, "listen.control"),
            Endpoint(self.ip, self._port(REGISTRY_PORT_OFFSET)),
            tuple(_parse_endpoint(seed, "seeds") for seed in self.seeds),
            self._port(REGISTRY_PORT_OFFSET),
            Path(self.data_dir) if self.data_dir else None,
            self.bootstrap,
            max(tolerance.machines, 1 + tolerance.zones, 1 + tolerance.regions)
            if tolerance.zones or tolerance.regions
            else tolerance.machines,
            self.bounds.catch_up_s / 2,
            self._quota_tolerance(),
        )

    def steward(self) -> StewardSettings:
        """Return the settings of a steward.

        :raises SettingsFault: an address or the port range is invalid, or the engine or
            its service is missing.
        """
        if not self.app or not self.backend:
            raise SettingsFault(
                "app or backend is missing",
                "set app to the engine's address and backend to its service",
            )
        return StewardSettings(
            HostId(self.node_name),
            FailureDomain(self.zone),
            Endpoint(self.ip, self._port(STEWARD_PORT_OFFSET)),
            self.registries(),
            self.app,
            ServiceName(self.backend),
        )

    def registries(self) -> tuple[Endpoint, ...]:
        """Return the link endpoints of the seed registries.

        :raises SettingsFault: a seed or the port range is invalid.
        """
        port = self._port(REGISTRY_PORT_OFFSET)
        return tuple(
            Endpoint(_parse_endpoint(s, "seeds").address, port) for s in self.seeds
        )

    def _quota_tolerance(self) -> Tolerance:
        bounds = self.bounds
        return Tolerance(
            bounds.quota_window_s, bounds.quota_overage, bounds.quota_slack
        )

    def _port(self, offset: int) -> int:
        first, last = self.port_range[0], self.port_range[-1]
        if first + offset > last:
            raise SettingsFault(
                "port_range has fewer than two ports", "set it to two or more ports"
            )
        return first + offset


def _find_held_bytes(memory_mb: float | None) -> int | None:
    if memory_mb is None:
        return None
    return max(MIN_HELD_BYTES, int(HELD_SHARE * (memory_mb - PROGRAM_MB) * 1024 * 1024))


def load_platform_settings(path: Path) -> PlatformSettings:
    """Return the settings in a file.

    :raises SettingsFault: the file can't be read or decoded.
    """
    try:
        return msgspec.json.decode(path.read_bytes(), type=PlatformSettings)
    except (OSError, msgspec.MsgspecError) as error:
        raise SettingsFault(
            f"{path} can't be read: {error}", "render the settings template again"
        ) from error


def _parse_endpoint(text: str | None, name: str) -> Endpoint:
    host, _, port = (text or "").rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise SettingsFault(
            f"{name} is not a valid address: {text!r}", "set it to IP:PORT"
        )
    return Endpoint(host, int(port))
