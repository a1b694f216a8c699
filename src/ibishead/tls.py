"""TLS contexts: mutual TLS between programs, server-only TLS for callers and operators.

Programs connect to one another by IP address, so their certificates need the IP
address as subject alternative name.
"""

import ssl
from pathlib import Path

from ibishead.errors import SettingsFault
from ibishead.settingsfile import KeyPair, PeerTls

__all__ = [
    "check_tls_files",
    "make_client_context",
    "make_operator_context",
    "make_server_context",
]


def make_server_context(pair: KeyPair, client_ca: Path | None = None) -> ssl.SSLContext:
    """Return a context for a server.

    :param client_ca: if given, clients need a certificate issued by this authority.
    :raises SettingsFault: a file cannot be read or holds no valid certificate or key.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load_key_pair(context, pair)
    if client_ca is not None:
        context.verify_mode = ssl.CERT_REQUIRED
        _load_authority(context, client_ca)
    return context


def make_client_context(peer: PeerTls) -> ssl.SSLContext:
    """Return a context for connections to other programs.

    :raises SettingsFault: a file cannot be read or holds no valid certificate or key.
    """
    context = make_operator_context(peer.ca)
    _load_key_pair(context, peer.pair)
    return context


def make_operator_context(ca: Path) -> ssl.SSLContext:
    """Return a client context that trusts one authority and sends no certificate.

    :raises SettingsFault: the file cannot be read or holds no valid certificate.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load_authority(context, ca)
    return context


def check_tls_files(peer: PeerTls | None, http: KeyPair | None) -> None:
    """Load every file once, so that an invalid file is reported at start.

    :raises SettingsFault: a file cannot be read or holds no valid certificate or key.
    """
    if peer is not None:
        make_client_context(peer)
        make_server_context(peer.pair, peer.ca)
    if http is not None:
        make_server_context(http)


def _load_key_pair(context: ssl.SSLContext, pair: KeyPair) -> None:
    try:
        context.load_cert_chain(pair.certificate, pair.key)
    except (OSError, ssl.SSLError) as error:
        raise SettingsFault(
            f"cannot load certificate {pair.certificate} with key {pair.key}: {error}",
            "name a certificate in PEM and its own key without a passphrase",
        ) from error


def _load_authority(context: ssl.SSLContext, ca: Path) -> None:
    try:
        context.load_verify_locations(ca)
    except (OSError, ssl.SSLError) as error:
        raise SettingsFault(
            f"cannot load the authority's certificate {ca}: {error}",
            "name the authority's certificate in PEM",
        ) from error
