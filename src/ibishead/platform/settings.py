"""Settings as the platform writes them, and the programs' own settings in them.

The platform fills `deploy/settings.json.template` with all its fields, as JSON.
"""

from pathlib import Path

import msgspec

from ibishead.decisions.retry import BudgetShare
from ibishead.errors import SettingsFault
from ibishead.gateway.settings import GatewaySettings
from ibishead.ids import FailureDomain, HostId, ServiceName
from ibishead.links import Endpoint
from ibishead.registry.settings import RegistrySettings
from ibishead.settingsfile import MAX_PORT
from ibishead.steward.settings import StewardSettings

__all__ = ["PlatformSettings", "load_platform_settings"]

#: Offsets in the ports for traffic between hosts.
REGISTRY_PORT = 0
STEWARD_PORT = 1

#: Share of what may be sent again that is used; the rest is left to callers' own
#: repetitions that look like ours, and to clocks that count other windows.
RETRY_SHARE = 0.7

#: Descriptors of a gateway that callers' connections don't take: files, links, and
#: connections to targets.
SPARE_DESCRIPTORS = 1000


class _Limits(msgspec.Struct):
    max_fds: int = 4096


class _Tolerance(msgspec.Struct):
    machines: int = 1
    zones: int = 0
    regions: int = 0


class _Bounds(msgspec.Struct):
    # seconds in which a host with a new disk counts again
    catch_up_s: float = 4
    grace_s: float = 8
    # second sends, as a share of the requests for a service, and beyond it
    retry_budget: float = 0.2
    retry_slack: float = 20


class _Listen(msgspec.Struct):
    front: str | None = None
    readiness_addr: str | None = None
    control: str | None = None


class PlatformSettings(msgspec.Struct):
    """The fields that ibishead goes by; others are ignored."""

    node_name: str
    ip: str
    # a failure domain
    zone: str
    seeds: list[str]
    port_range: list[int]
    listen: _Listen = msgspec.field(default_factory=_Listen)
    # true only when the whole system starts for the first time
    bootstrap: bool = False
    data_dir: str | None = None
    limits: _Limits = msgspec.field(default_factory=_Limits)
    fault_tolerance: _Tolerance = msgspec.field(default_factory=_Tolerance)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    # of the engine on this host
    app: str | None = None
    # its service
    backend: str | None = None

    def gateway(self) -> GatewaySettings:
        """Return a gateway's settings."""
        bounds = self.bounds
        return GatewaySettings(
            HostId(self.node_name),
            FailureDomain(self.zone),
            _parse(self.listen.front, "listen.front"),
            _parse(self.listen.readiness_addr, "listen.readiness_addr"),
            self.registries(),
            bounds.grace_s,
            BudgetShare(
                RETRY_SHARE * bounds.retry_budget, RETRY_SHARE * bounds.retry_slack
            ),
            max(100, self.limits.max_fds - SPARE_DESCRIPTORS),
        )

    def registry(self) -> RegistrySettings:
        """Return a registry's settings."""
        tolerance = self.fault_tolerance
        return RegistrySettings(
            HostId(self.node_name),
            FailureDomain(self.zone),
            _parse(self.listen.control, "listen.control"),
            Endpoint(self.ip, self._port(REGISTRY_PORT)),
            tuple(_parse(seed, "seeds") for seed in self.seeds),
            self._port(REGISTRY_PORT),
            Path(self.data_dir) if self.data_dir else None,
            self.bootstrap,
            max(tolerance.machines, 1 + tolerance.zones, 1 + tolerance.regions)
            if tolerance.zones or tolerance.regions
            else tolerance.machines,
            self.bounds.catch_up_s / 2,
        )

    def steward(self) -> StewardSettings:
        """Return a steward's settings."""
        if not self.app or not self.backend:
            raise SettingsFault("no engine is named", "set app and backend")
        return StewardSettings(
            HostId(self.node_name),
            FailureDomain(self.zone),
            Endpoint(self.ip, self._port(STEWARD_PORT)),
            self.registries(),
            self.app,
            ServiceName(self.backend),
        )

    def registries(self) -> tuple[Endpoint, ...]:
        """Return the link endpoints of the first registries."""
        port = self._port(REGISTRY_PORT)
        return tuple(Endpoint(_parse(s, "seeds").address, port) for s in self.seeds)

    def _port(self, offset: int) -> int:
        first, last = self.port_range[0], self.port_range[-1]
        if first + offset > last:
            raise SettingsFault("port_range is too short", "give two ports or more")
        return first + offset


def load_platform_settings(path: Path) -> PlatformSettings:
    """Return the settings in a file.

    :raises SettingsFault: the file can't be read.
    """
    try:
        return msgspec.json.decode(path.read_bytes(), type=PlatformSettings)
    except (OSError, msgspec.MsgspecError) as error:
        raise SettingsFault(
            f"{path} can't be read: {error}", "render the settings template anew"
        ) from error


def _parse(text: str | None, name: str) -> Endpoint:
    host, _, port = (text or "").rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise SettingsFault(f"{name} is no address: {text!r}", "set it to IP:PORT")
    return Endpoint(host, int(port))
