"""Settings of each program, read from an INI file that is fully validated at start-up.

Relative paths are resolved against the directory of the settings file. With port 0
the operating system chooses a port, which is then written to the ``port_file`` of the
section.
"""

from dataclasses import dataclass
from datetime import timedelta
from ipaddress import ip_address
from pathlib import Path

from ibishead.ids import FailureDomain, HostId, ReplicaId, ServiceName, TargetId
from ibishead.inifile import (
    IniFile,
    IniSection,
    parse_boolean,
    parse_choice,
    parse_digest,
    parse_duration,
    parse_integer,
    parse_list,
    parse_name,
    parse_number,
)
from ibishead.links import Endpoint
from ibishead.messages import TargetKind
from ibishead.settingsfile import (
    MAX_PORT,
    KeyPair,
    ListenSettings,
    LogLevel,
    PeerTls,
    SettingsReader,
    load_settings,
    parse_address,
    parse_endpoint,
    write_port_file,
)
from ibishead.web import Limits

__all__ = [
    "AgentSettings",
    "ControlSettings",
    "EntrySettings",
    "KeyPair",
    "ListenSettings",
    "LogLevel",
    "PeerTls",
    "load_agent_settings",
    "load_control_settings",
    "load_entry_settings",
    "parse_endpoint",
    "write_port_file",
]

#: Largest body that fits into one frame of a link together with its headers.
MAX_BODY_BYTES = 10 * 1024 * 1024
MAX_HEADER_BYTES = 1024 * 1024
MAX_CONNECTIONS = 65536
MAX_SLOTS = 1024
MAX_BATCH = 4096

#: Range of the limits that are durations, in seconds.
MIN_LIMIT_SECONDS = 0.05
MAX_LIMIT_SECONDS = 3600.0

#: Default time without contact before a voter is replaced. It exceeds a restart or a
#: short partition, which need no repair. If a second voter fails in that time, five
#: voters still have a majority.
DEFAULT_REPAIR_DELAY = timedelta(minutes=5)

#: A replica set has 3 or 5 voters, at most 7; 1 is for testing.
ALLOWED_VOTER_COUNTS = (1, 3, 5, 7)


@dataclass(frozen=True)
class EntrySettings:
    """Settings of ``ibishead-entry``.

    :param control: the link addresses of the control replicas.
    :param http_tls: the certificate for callers and operators; none for plain HTTP.
    """

    host: HostId
    failure_domain: FailureDomain
    http: ListenSettings
    operators: ListenSettings
    control: tuple[Endpoint, ...]
    limits: Limits = Limits()
    peer_tls: PeerTls | None = None
    http_tls: KeyPair | None = None
    log_level: LogLevel = LogLevel.INFO


@dataclass(frozen=True)
class AgentSettings:
    """Settings of ``ibishead-agent``.

    :param target_endpoint: the address that the target listens on.
    :param lock: the lock file that only one agent of the host's slot may hold.
    :param slots: the number of adapters that the engine can hold; 0 for a plain
        service.
    :param batch: the number of requests that the target runs concurrently.
    :param fenced: whether the target itself refuses outdated fencing numbers.
    :param failure_backoff: the delay before retrying an adapter that failed to load.
    :param announce: the address by which entry hosts reach this agent, if it differs
        from the one that the agent listens on.
    """

    host: HostId
    failure_domain: FailureDomain
    target: TargetId
    service: ServiceName
    kind: TargetKind
    links: ListenSettings
    operators: ListenSettings
    target_endpoint: Endpoint
    control: tuple[Endpoint, ...]
    lock: Path | None = None
    slots: int = 0
    batch: int = 16
    fenced: bool = False
    failure_backoff: timedelta = timedelta(seconds=1)
    peer_tls: PeerTls | None = None
    http_tls: KeyPair | None = None
    log_level: LogLevel = LogLevel.INFO
    announce: Endpoint | None = None


@dataclass(frozen=True)
class ControlSettings:
    """Settings of ``ibishead-control``.

    :param data: the directory of the log and the snapshots, on persistent storage.
    :param peers: the initial voters when the replica set is first started, including
        this replica.
    :param spares: further replicas that may be added later.
    :param repair_after: the time without contact after which a voter is automatically
        replaced by a spare.
    :param admin_keys: SHA-256 digests of the keys that may submit for any team.
    """

    replica: ReplicaId
    host: HostId
    failure_domain: FailureDomain
    data: Path
    links: ListenSettings
    operators: ListenSettings
    peers: dict[ReplicaId, Endpoint]
    spares: dict[ReplicaId, Endpoint]
    admin_keys: tuple[str, ...] = ()
    repair_after: timedelta = DEFAULT_REPAIR_DELAY
    peer_tls: PeerTls | None = None
    http_tls: KeyPair | None = None
    log_level: LogLevel = LogLevel.INFO


def load_entry_settings(path: str | Path) -> EntrySettings:
    """Return the settings of an entry host.

    :raises SettingsFault: the file is invalid; the message lists all faults.
    """
    return load_settings(Path(path), _read_entry)


def load_agent_settings(path: str | Path) -> AgentSettings:
    """Return the settings of an agent.

    :raises SettingsFault: the file is invalid; the message lists all faults.
    """
    return load_settings(Path(path), _read_agent)


def load_control_settings(path: str | Path) -> ControlSettings:
    """Return the settings of a control replica.

    :raises SettingsFault: the file is invalid; the message lists all faults.
    """
    return load_settings(Path(path), _read_control)


def _read_entry(reader: SettingsReader) -> EntrySettings:
    section = reader.ini.open_section("entry", required=True)
    peer_tls, http_tls = reader.read_tls()
    settings = EntrySettings(
        host=HostId(section.read_required("host", parse_name, "")),
        failure_domain=FailureDomain(
            section.read_required("failure_domain", parse_name, "")
        ),
        http=reader.read_listen("http"),
        operators=reader.read_listen("operators"),
        control=reader.read_replicas(),
        limits=_read_limits(reader.ini),
        peer_tls=peer_tls,
        http_tls=http_tls,
        log_level=reader.read_log_level(),
    )
    section.report_unknown_options()
    reader.check_ports({"http": settings.http, "operators": settings.operators})
    return settings


def _read_limits(ini: IniFile) -> Limits:
    section = ini.open_section("limits")
    defaults = Limits()
    seconds = parse_number(MIN_LIMIT_SECONDS, MAX_LIMIT_SECONDS)
    limits = Limits(
        header_bytes=section.read(
            "header_bytes", parse_integer(256, MAX_HEADER_BYTES), defaults.header_bytes
        ),
        body_bytes=section.read(
            "body_bytes", parse_integer(1, MAX_BODY_BYTES), defaults.body_bytes
        ),
        header_seconds=section.read("header_seconds", seconds, defaults.header_seconds),
        body_seconds=section.read("body_seconds", seconds, defaults.body_seconds),
        idle_seconds=section.read("idle_seconds", seconds, defaults.idle_seconds),
        write_seconds=section.read("write_seconds", seconds, defaults.write_seconds),
        connections=section.read(
            "connections", parse_integer(1, MAX_CONNECTIONS), defaults.connections
        ),
    )
    section.report_unknown_options()
    return limits


def _read_agent(reader: SettingsReader) -> AgentSettings:
    section = reader.ini.open_section("agent", required=True)
    kind = section.read_required("kind", parse_choice(TargetKind), TargetKind.ENGINE)
    lock = reader.read_path(section, "lock")
    target = reader.ini.open_section("target", required=True)
    fenced = target.read("fenced", parse_boolean, False)
    peer_tls, http_tls = reader.read_tls()
    settings = AgentSettings(
        host=HostId(section.read_required("host", parse_name, "")),
        failure_domain=FailureDomain(
            section.read_required("failure_domain", parse_name, "")
        ),
        target=TargetId(section.read_required("target", parse_name, "")),
        service=ServiceName(section.read_required("service", parse_name, "")),
        kind=kind,
        links=reader.read_listen("links"),
        operators=reader.read_listen("operators"),
        target_endpoint=_read_target_endpoint(target),
        control=reader.read_replicas(),
        lock=lock,
        slots=_read_slots(target, kind),
        batch=target.read("batch", parse_integer(1, MAX_BATCH), 16),
        fenced=fenced,
        failure_backoff=_read_backoff(reader.ini),
        peer_tls=peer_tls,
        http_tls=http_tls,
        log_level=reader.read_log_level(),
        announce=section.read("announce", parse_endpoint, None),
    )
    section.report_unknown_options()
    target.report_unknown_options()
    if lock is None and not fenced:
        # Without a lock, two agents of one host could both send commands to a target
        # that doesn't check fencing numbers
        section.add_fault(
            "lock", "missing, and the target is not fenced", "set a lock file"
        )
    reader.check_ports({"links": settings.links, "operators": settings.operators})
    return settings


def _read_target_endpoint(section: IniSection) -> Endpoint:
    return Endpoint(
        section.read_required("address", parse_address, ""),
        section.read_required("port", parse_integer(1, MAX_PORT), 1),
    )


def _read_slots(section: IniSection, kind: TargetKind) -> int:
    match kind:
        case TargetKind.ENGINE:
            return section.read_required("slots", parse_integer(1, MAX_SLOTS), 1)
        case TargetKind.PLAIN:
            return 0


def _read_backoff(ini: IniFile) -> timedelta:
    section = ini.open_section("loads")
    backoff = section.read("failure_backoff", parse_duration, timedelta(seconds=1))
    section.report_unknown_options()
    return backoff


def _read_control(reader: SettingsReader) -> ControlSettings:
    section = reader.ini.open_section("control", required=True)
    operators = reader.ini.open_section("operators", required=True)
    peer_tls, http_tls = reader.read_tls()
    settings = ControlSettings(
        replica=ReplicaId(section.read_required("replica", parse_name, "")),
        host=HostId(section.read_required("host", parse_name, "")),
        failure_domain=FailureDomain(
            section.read_required("failure_domain", parse_name, "")
        ),
        data=reader.read_required_path(section, "data"),
        links=reader.read_listen("links"),
        operators=reader.read_listen_section(operators),
        peers=_read_endpoints(reader.ini, "peers", required=True),
        spares=_read_endpoints(reader.ini, "spares", required=False),
        repair_after=section.read("repair_after", parse_duration, DEFAULT_REPAIR_DELAY),
        admin_keys=operators.read("admin_keys_sha256", parse_list(parse_digest), ()),
        peer_tls=peer_tls,
        http_tls=http_tls,
        log_level=reader.read_log_level(),
    )
    section.report_unknown_options()
    operators.report_unknown_options()
    _check_replicas(reader.ini, settings)
    _check_admin_keys(operators, settings)
    reader.check_ports({"links": settings.links, "operators": settings.operators})
    return settings


def _read_endpoints(
    ini: IniFile, name: str, required: bool
) -> dict[ReplicaId, Endpoint]:
    section = ini.open_section(name, required)
    return {
        ReplicaId(replica): endpoint
        for replica, endpoint in section.read_all(parse_endpoint).items()
    }


def _check_admin_keys(section: IniSection, settings: ControlSettings) -> None:
    address = settings.operators.endpoint.address
    if settings.admin_keys or not address or ip_address(address).is_loopback:
        return
    # Without keys, any client that can reach the port could change every service
    section.add_fault(
        "admin_keys_sha256",
        f"missing, but {address} is reachable from other hosts",
        "list the SHA-256 digests of the administrators' keys, or listen on 127.0.0.1",
    )


def _check_replicas(ini: IniFile, settings: ControlSettings) -> None:
    peers, spares = settings.peers, settings.spares
    if len(peers) not in ALLOWED_VOTER_COUNTS:
        # An even number tolerates no more failures than the odd number below it
        ini.add_fault("peers", "", f"{len(peers)} replicas", "list 3 or 5, at most 7")
    for name in sorted(peers.keys() & spares.keys()):
        ini.add_fault("spares", name, "also listed in [peers]", "keep one of them")
    if settings.replica and settings.replica not in peers.keys() | spares.keys():
        ini.add_fault(
            "control",
            "replica",
            "not listed in [peers] or [spares]",
            "add its link address to one of them",
        )
    endpoints = [*peers.values(), *spares.values()]
    if len(set(endpoints)) < len(endpoints):
        ini.add_fault(
            "peers",
            "",
            "two replicas share an address",
            "use a different address for each",
        )
