"""Settings that all programs share: listening addresses, TLS files and log level.

Loads a settings file and reports all of its faults in one error.
"""

import ipaddress
import os
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import TypeVar

from ibishead.errors import InvalidInput, SettingsFault
from ibishead.inifile import (
    Fault,
    IniFile,
    IniSection,
    describe_faults,
    make_printable,
    parse_choice,
    parse_integer,
    parse_list,
    parse_text,
)
from ibishead.links import Endpoint

__all__ = [
    "KeyPair",
    "ListenSettings",
    "LogLevel",
    "PeerTls",
    "SettingsReader",
    "MAX_PORT",
    "load_settings",
    "parse_address",
    "parse_endpoint",
    "write_port_file",
]

MAX_PORT = 65535

_S = TypeVar("_S")


class LogLevel(Enum):
    """The lowest severity that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True)
class ListenSettings:
    """The address that a program listens on.

    :param port_file: the file to write the actual port to, for port 0.
    """

    endpoint: Endpoint
    port_file: Path | None = None


@dataclass(frozen=True)
class KeyPair:
    """Paths of a certificate and its private key, both in PEM format."""

    certificate: Path
    key: Path


@dataclass(frozen=True)
class PeerTls:
    """Files for mutual TLS between programs, with certificates of one authority."""

    ca: Path
    pair: KeyPair


def write_port_file(listen: ListenSettings, port: int) -> None:
    """Write the port that the program listens on to the port file, if one is set.

    The file is replaced atomically, so that a reader never sees a partial number.
    """
    if listen.port_file is None:
        return
    temporary = listen.port_file.with_name(listen.port_file.name + ".part")
    temporary.write_text(f"{port}\n")
    os.replace(temporary, listen.port_file)


def parse_endpoint(text: str) -> Endpoint:
    """Return the endpoint given as ``ADDRESS:PORT``, an IPv6 address in brackets.

    :raises InvalidInput: the address is not an IP address, or the port is not in
        1 to 65535.
    """
    address, _, port = text.rpartition(":")
    return Endpoint(
        parse_address(address.removeprefix("[").removesuffix("]")),
        parse_integer(1, MAX_PORT)(port),
    )


def load_settings(path: Path, read: "Callable[[SettingsReader], _S]") -> _S:
    """Return the settings that ``read`` builds from a file.

    :raises SettingsFault: the file is unreadable or invalid; the message lists all
        faults.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        raise SettingsFault(
            f"{path} can't be read: {error}", "specify a readable file in UTF-8"
        ) from error
    reader = SettingsReader(IniFile(text), path.parent)
    settings = read(reader)
    reader.ini.report_unknown_sections()
    if reader.ini.faults:
        raise _make_error(path, reader.ini.faults)
    return settings


def _make_error(path: Path, faults: list[Fault]) -> SettingsFault:
    return SettingsFault(
        f"{path} has {len(faults)} fault(s):\n{describe_faults(faults)}",
        "correct them and verify the file with --check-settings",
    )


@dataclass(frozen=True)
class SettingsReader:
    """Reads the sections that several programs have in common.

    :param directory: the directory that relative paths are resolved against.
    """

    ini: IniFile
    directory: Path

    def read_path(self, section: IniSection, option: str) -> Path | None:
        """Return a path, or none if the option is absent."""
        text = section.read(option, parse_text, "")
        return self.directory / text if text else None

    def read_required_path(self, section: IniSection, option: str) -> Path:
        """Return a path, and record a fault if the option is missing."""
        return self.directory / section.read_required(option, parse_text, ".")

    def read_listen(self, name: str) -> ListenSettings:
        """Return the listening address from the section of that name."""
        section = self.ini.open_section(name, required=True)
        listen = self.read_listen_section(section)
        section.report_unknown_options()
        return listen

    def read_listen_section(self, section: IniSection) -> ListenSettings:
        """Return the listening address from a section that is already open."""
        port = section.read_required("port", parse_integer(0, MAX_PORT), 0)
        return ListenSettings(
            Endpoint(section.read_required("address", parse_address, ""), port),
            self.read_path(section, "port_file"),
        )

    def read_replicas(self) -> tuple[Endpoint, ...]:
        """Return the link addresses of the control replicas from ``[control]``."""
        section = self.ini.open_section("control", required=True)
        replicas: tuple[Endpoint, ...] = ()
        replicas = section.read_required(
            "replicas", parse_list(parse_endpoint), replicas
        )
        section.report_unknown_options()
        return replicas

    def read_log_level(self) -> LogLevel:
        """Return the log level from ``[logs]``, ``info`` by default."""
        section = self.ini.open_section("logs")
        level = section.read("level", parse_choice(LogLevel), LogLevel.INFO)
        section.report_unknown_options()
        return level

    def read_tls(self) -> tuple[PeerTls | None, KeyPair | None]:
        """Return the TLS files for links between programs and those for HTTP."""
        section = self.ini.open_section("tls")
        ca = self._read_file(section, "ca")
        pair = self._read_pair(section, "certificate", "key")
        http = self._read_pair(section, "http_certificate", "http_key")
        section.report_unknown_options()
        if ca is not None and pair is not None:
            return PeerTls(ca, pair), http
        if (ca is None) != (pair is None):
            section.add_fault(
                "ca", "ca and certificate are only valid together", "set both or none"
            )
        return None, http

    def check_ports(self, listen_settings: dict[str, ListenSettings]) -> None:
        """Record a fault for a section whose port is already used by another.

        :param listen_settings: the listening addresses by section name.
        """
        used: dict[Endpoint, str] = {}
        for name, listen in listen_settings.items():
            other = used.setdefault(listen.endpoint, name)
            if listen.endpoint.port and other != name:
                self.ini.add_fault(
                    name, "port", f"taken by [{other}]", "choose another"
                )

    def _read_pair(
        self, section: IniSection, certificate: str, key: str
    ) -> KeyPair | None:
        certificate_file = self._read_file(section, certificate)
        key_file = self._read_file(section, key)
        if certificate_file is not None and key_file is not None:
            return KeyPair(certificate_file, key_file)
        if (certificate_file is None) != (key_file is None):
            section.add_fault(
                key, f"{certificate} and {key} are only valid together", "set both"
            )
        return None

    def _read_file(self, section: IniSection, option: str) -> Path | None:
        path = self.read_path(section, option)
        if path is not None and not os.access(path, os.R_OK):
            section.add_fault(option, "not a readable file", "specify a readable file")
        return path


def parse_address(text: str) -> str:
    """Return an IP address in its canonical form.

    :raises InvalidInput: the text is not an IP address; host names are not allowed.
    """
    try:
        return str(ipaddress.ip_address(text))
    except ValueError as error:
        raise InvalidInput(
            f"'{make_printable(text)}' is not an IP address",
            "write one such as 10.0.0.1",
        ) from error
