"""What the settings of all programs share: reading a file, listening, TLS files."""

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
    parse_choice,
    parse_integer,
    parse_list,
    parse_text,
    quote,
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
    """The least severe level that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True)
class ListenSettings:
    """Where a program listens.

    :param port_file: where to write the port that was taken.
    """

    endpoint: Endpoint
    port_file: Path | None = None


@dataclass(frozen=True)
class KeyPair:
    """Files of a certificate and its private key, in PEM."""

    certificate: Path
    key: Path


@dataclass(frozen=True)
class PeerTls:
    """TLS between programs: both ends show a certificate of the same authority."""

    ca: Path
    pair: KeyPair


def write_port_file(listen: ListenSettings, port: int) -> None:
    """Write the port that was taken, if a file for it is named.

    The file appears whole: whoever waits for it never reads half a number.
    """
    if listen.port_file is None:
        return
    part = listen.port_file.with_name(listen.port_file.name + ".part")
    part.write_text(f"{port}\n")
    os.replace(part, listen.port_file)


def parse_endpoint(text: str) -> Endpoint:
    """Return the endpoint that ``ADDRESS:PORT`` names.

    :raises InvalidInput: it is no IP number with a port from 1.
    """
    address, _, port = text.rpartition(":")
    return Endpoint(
        parse_address(address.removeprefix("[").removesuffix("]")),
        parse_integer(1, MAX_PORT)(port),
    )


def load_settings(path: Path, read: "Callable[[SettingsReader], _S]") -> _S:
    """Return what ``read`` makes of a file.

    :raises SettingsFault: with all faults in the message.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        raise SettingsFault(
            f"{path} can't be read: {error}", "name a readable file in UTF-8"
        ) from error
    reader = SettingsReader(IniFile(text), path.parent)
    settings = read(reader)
    reader.ini.refuse_others()
    if reader.ini.faults:
        raise _describe(path, reader.ini.faults)
    return settings


def _describe(path: Path, faults: list[Fault]) -> SettingsFault:
    return SettingsFault(
        f"{path} has {len(faults)} fault(s):\n{describe_faults(faults)}",
        "mend them and start with --check-settings",
    )


@dataclass(frozen=True)
class SettingsReader:
    """A settings file being read, and the folder that its paths count from."""

    ini: IniFile
    folder: Path

    def read_path(self, section: IniSection, option: str) -> Path | None:
        """Return a path, or none when the option is absent."""
        text = section.read(option, parse_text, "")
        return self.folder / text if text else None

    def need_path(self, section: IniSection, option: str) -> Path:
        """Return a path that must be given."""
        return self.folder / section.need(option, parse_text, ".")

    def read_listen(self, name: str) -> ListenSettings:
        """Return where a section of that name makes the program listen."""
        section = self.ini.open_section(name, required=True)
        listen = self.read_listen_of(section)
        section.refuse_others()
        return listen

    def read_listen_of(self, section: IniSection) -> ListenSettings:
        """Return where an open section makes the program listen."""
        port = section.need("port", parse_integer(0, MAX_PORT), 0)
        return ListenSettings(
            Endpoint(section.need("address", parse_address, ""), port),
            self.read_path(section, "port_file"),
        )

    def read_replicas(self) -> tuple[Endpoint, ...]:
        """Return where the control replicas listen for links."""
        section = self.ini.open_section("control", required=True)
        replicas: tuple[Endpoint, ...] = ()
        replicas = section.need("replicas", parse_list(parse_endpoint), replicas)
        section.refuse_others()
        return replicas

    def read_log_level(self) -> LogLevel:
        """Return the level of ``[logs]``."""
        section = self.ini.open_section("logs")
        level = section.read("level", parse_choice(LogLevel), LogLevel.INFO)
        section.refuse_others()
        return level

    def read_tls(self) -> tuple[PeerTls | None, KeyPair | None]:
        """Return the files for links, and those shown to HTTP clients."""
        section = self.ini.open_section("tls")
        ca = self._read_file(section, "ca")
        pair = self._read_pair(section, "certificate", "key")
        http = self._read_pair(section, "http_certificate", "http_key")
        section.refuse_others()
        if ca is not None and pair is not None:
            return PeerTls(ca, pair), http
        if (ca is None) != (pair is None):
            section.blame("ca", "ca and certificate go together", "name both or none")
        return None, http

    def check_ports(self, listens: dict[str, ListenSettings]) -> None:
        """Blame a section whose port another one takes.

        :param listens: by the name of their section.
        """
        taken: dict[Endpoint, str] = {}
        for name, listen in listens.items():
            other = taken.setdefault(listen.endpoint, name)
            if listen.endpoint.port and other != name:
                self.ini.blame(name, "port", f"taken by [{other}]", "choose another")

    def _read_pair(
        self, section: IniSection, certificate: str, key: str
    ) -> KeyPair | None:
        certificate_file = self._read_file(section, certificate)
        key_file = self._read_file(section, key)
        if certificate_file is not None and key_file is not None:
            return KeyPair(certificate_file, key_file)
        if (certificate_file is None) != (key_file is None):
            section.blame(key, f"{certificate} and {key} go together", "name both")
        return None

    def _read_file(self, section: IniSection, option: str) -> Path | None:
        path = self.read_path(section, option)
        if path is not None and not os.access(path, os.R_OK):
            section.blame(option, "no readable file", "name one that can be read")
        return path


def parse_address(text: str) -> str:
    """Return an IP number.

    :raises InvalidInput: it is a host's name or nothing of the kind.
    """
    try:
        return str(ipaddress.ip_address(text))
    except ValueError as error:
        raise InvalidInput(
            f"'{quote(text)}' is no IP number", "write one such as 10.0.0.1"
        ) from error
