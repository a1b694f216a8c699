"""TLS contexts: mutual between programs, and toward callers and operators.

Programs address one another by IP number, so certificates carry IP addresses as
subject alternative names.
"""

import ssl
from pathlib import Path

from ibishead.errors import SettingsFault
from ibishead.settingsfile import KeyPair, PeerTls

__all__ = [
    "check_files",
    "make_client_context",
    "make_operator_context",
    "make_server_context",
]


def make_server_context(pair: KeyPair, client_ca: Path | None = None) -> ssl.SSLContext:
    """Return a context to listen with.

    :param client_ca: demand a certificate of this authority from every client.
    :raises SettingsFault: a file doesn't hold what it should.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load_pair(context, pair)
    if client_ca is not None:
        context.verify_mode = ssl.CERT_REQUIRED
        _load_authority(context, client_ca)
    return context


def make_client_context(peer: PeerTls) -> ssl.SSLContext:
    """Return a context to dial other programs with.

    :raises SettingsFault: a file doesn't hold what it should.
    """
    context = make_operator_context(peer.ca)
    _load_pair(context, peer.pair)
    return context


def make_operator_context(ca: Path) -> ssl.SSLContext:
    """Return a context that trusts one authority and shows no certificate.

    :raises SettingsFault: the file doesn't hold what it should.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load_authority(context, ca)
    return context


def check_files(peer: PeerTls | None, http: KeyPair | None) -> None:
    """Load every file once, so that a wrong one is told at start.

    :raises SettingsFault: a file doesn't hold what it should.
    """
    if peer is not None:
        make_client_context(peer)
        make_server_context(peer.pair, peer.ca)
    if http is not None:
        make_server_context(http)


def _load_pair(context: ssl.SSLContext, pair: KeyPair) -> None:
    try:
        context.load_cert_chain(pair.certificate, pair.key)
    except (OSError, ssl.SSLError) as error:
        raise SettingsFault(
            f"{pair.certificate} and {pair.key} can't be used: {error}",
            "name a certificate in PEM and its own key without a passphrase",
        ) from error


def _load_authority(context: ssl.SSLContext, ca: Path) -> None:
    try:
        context.load_verify_locations(ca)
    except (OSError, ssl.SSLError) as error:
        raise SettingsFault(
            f"{ca} can't be used: {error}", "name the authority's certificate in PEM"
        ) from error
