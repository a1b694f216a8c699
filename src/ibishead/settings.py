"""Settings of each program, from an INI file that is checked whole at start.

Relative paths count from the folder of the settings file. Port 0 lets the system
choose; the port is then found in the section's ``port_file``.
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

#: Largest body that fits into one frame of a link beside its headers.
MAX_BODY_BYTES = 10 * 1024 * 1024
MAX_HEADER_BYTES = 1024 * 1024
MAX_CONNECTIONS = 65536
MAX_SLOTS = 1024
MAX_BATCH = 4096

#: Bounds of the limits that are given in seconds.
MIN_SECONDS = 0.05
MAX_SECONDS = 3600.0

#: Longer than a restart or a short partition, which need no repair; a second loss in
#: that time still leaves a majority of five.
REPAIR_AFTER = timedelta(minutes=5)

#: Replica sets have 3 or 5, at most 7 voters; 1 is for trials.
REPLICA_COUNTS = (1, 3, 5, 7)


@dataclass(frozen=True)
class EntrySettings:
    """Settings of ``ibishead-entry``.

    :param control: where the control replicas listen for links.
    :param http_tls: shown to callers and operators; none means plain HTTP.
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

    :param target_endpoint: where the target listens.
    :param lock: file that only one agent of the host's slot may hold.
    :param slots: adapters that the engine holds at once; 0 for a plain service.
    :param batch: requests that the target runs at once.
    :param fenced: the target itself refuses old fencing numbers.
    :param failure_backoff: wait before an adapter that failed to load is tried again.
    :param announce: where entry hosts reach this agent, when that isn't where it
        listens.
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

    :param data: folder of the log and the snapshots, on a disk that lasts.
    :param peers: the voters at the very first start, this replica included.
    :param spares: further replicas that may be taken in later.
    :param repair_after: silence after which a spare takes a voter's place unattended.
    :param admin_keys: SHA-256 of keys that may submit for any team.
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
    repair_after: timedelta = REPAIR_AFTER
    peer_tls: PeerTls | None = None
    http_tls: KeyPair | None = None
    log_level: LogLevel = LogLevel.INFO


def load_entry_settings(path: str | Path) -> EntrySettings:
    """Return the settings of an entry host.

    :raises SettingsFault: with all faults in the message.
    """
    return load_settings(Path(path), _read_entry)


def load_agent_settings(path: str | Path) -> AgentSettings:
    """Return the settings of an agent.

    :raises SettingsFault: with all faults in the message.
    """
    return load_settings(Path(path), _read_agent)


def load_control_settings(path: str | Path) -> ControlSettings:
    """Return the settings of a control replica.

    :raises SettingsFault: with all faults in the message.
    """
    return load_settings(Path(path), _read_control)


def _read_entry(reader: SettingsReader) -> EntrySettings:
    section = reader.ini.open_section("entry", required=True)
    peer_tls, http_tls = reader.read_tls()
    settings = EntrySettings(
        host=HostId(section.need("host", parse_name, "")),
        failure_domain=FailureDomain(section.need("failure_domain", parse_name, "")),
        http=reader.read_listen("http"),
        operators=reader.read_listen("operators"),
        control=reader.read_replicas(),
        limits=_read_limits(reader.ini),
        peer_tls=peer_tls,
        http_tls=http_tls,
        log_level=reader.read_log_level(),
    )
    section.refuse_others()
    reader.check_ports({"http": settings.http, "operators": settings.operators})
    return settings


def _read_limits(ini: IniFile) -> Limits:
    section = ini.open_section("limits")
    own = Limits()
    seconds = parse_number(MIN_SECONDS, MAX_SECONDS)
    limits = Limits(
        header_bytes=section.read(
            "header_bytes", parse_integer(256, MAX_HEADER_BYTES), own.header_bytes
        ),
        body_bytes=section.read(
            "body_bytes", parse_integer(1, MAX_BODY_BYTES), own.body_bytes
        ),
        header_seconds=section.read("header_seconds", seconds, own.header_seconds),
        body_seconds=section.read("body_seconds", seconds, own.body_seconds),
        idle_seconds=section.read("idle_seconds", seconds, own.idle_seconds),
        write_seconds=section.read("write_seconds", seconds, own.write_seconds),
        connections=section.read(
            "connections", parse_integer(1, MAX_CONNECTIONS), own.connections
        ),
    )
    section.refuse_others()
    return limits


def _read_agent(reader: SettingsReader) -> AgentSettings:
    section = reader.ini.open_section("agent", required=True)
    kind = section.need("kind", parse_choice(TargetKind), TargetKind.ENGINE)
    lock = reader.read_path(section, "lock")
    target = reader.ini.open_section("target", required=True)
    fenced = target.read("fenced", parse_boolean, False)
    peer_tls, http_tls = reader.read_tls()
    settings = AgentSettings(
        host=HostId(section.need("host", parse_name, "")),
        failure_domain=FailureDomain(section.need("failure_domain", parse_name, "")),
        target=TargetId(section.need("target", parse_name, "")),
        service=ServiceName(section.need("service", parse_name, "")),
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
    section.refuse_others()
    target.refuse_others()
    if lock is None and not fenced:
        # Two agents of one host would both give orders to a target that takes any
        section.blame("lock", "missing, and the target is not fenced", "name a file")
    reader.check_ports({"links": settings.links, "operators": settings.operators})
    return settings


def _read_target_endpoint(section: IniSection) -> Endpoint:
    return Endpoint(
        section.need("address", parse_address, ""),
        section.need("port", parse_integer(1, MAX_PORT), 1),
    )


def _read_slots(section: IniSection, kind: TargetKind) -> int:
    match kind:
        case TargetKind.ENGINE:
            return section.need("slots", parse_integer(1, MAX_SLOTS), 1)
        case TargetKind.PLAIN:
            return 0


def _read_backoff(ini: IniFile) -> timedelta:
    section = ini.open_section("loads")
    backoff = section.read("failure_backoff", parse_duration, timedelta(seconds=1))
    section.refuse_others()
    return backoff


def _read_control(reader: SettingsReader) -> ControlSettings:
    section = reader.ini.open_section("control", required=True)
    operators = reader.ini.open_section("operators", required=True)
    peer_tls, http_tls = reader.read_tls()
    settings = ControlSettings(
        replica=ReplicaId(section.need("replica", parse_name, "")),
        host=HostId(section.need("host", parse_name, "")),
        failure_domain=FailureDomain(section.need("failure_domain", parse_name, "")),
        data=reader.need_path(section, "data"),
        links=reader.read_listen("links"),
        operators=reader.read_listen_of(operators),
        peers=_read_endpoints(reader.ini, "peers", required=True),
        spares=_read_endpoints(reader.ini, "spares", required=False),
        repair_after=section.read("repair_after", parse_duration, REPAIR_AFTER),
        admin_keys=operators.read("admin_keys_sha256", parse_list(parse_digest), ()),
        peer_tls=peer_tls,
        http_tls=http_tls,
        log_level=reader.read_log_level(),
    )
    section.refuse_others()
    operators.refuse_others()
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
    # Without keys anybody who reaches the port could change every service
    section.blame(
        "admin_keys_sha256",
        f"missing, but {address} is reached from other hosts",
        "list the SHA-256 of the administrators' keys, or listen on 127.0.0.1",
    )


def _check_replicas(ini: IniFile, settings: ControlSettings) -> None:
    peers, spares = settings.peers, settings.spares
    if len(peers) not in REPLICA_COUNTS:
        # An even set bears no more losses than the odd one below it
        ini.blame("peers", "", f"{len(peers)} replicas", "name 3 or 5, at most 7")
    for name in sorted(peers.keys() & spares.keys()):
        ini.blame("spares", name, "also stands in [peers]", "keep one of them")
    if settings.replica and settings.replica not in peers.keys() | spares.keys():
        ini.blame(
            "control", "replica", "not in [peers] or [spares]", "add its link address"
        )
    endpoints = [*peers.values(), *spares.values()]
    if len(set(endpoints)) < len(endpoints):
        ini.blame("peers", "", "two replicas share an address", "give each its own")
