"""API keys of callers and operators, stored and compared only as SHA-256 digests."""

import hashlib
import hmac
import logging
from collections.abc import Collection

from ibishead.documents import Caller, ServiceDocument
from ibishead.errors import Forbidden, Unauthorized
from ibishead.headers import Headers, find_header
from ibishead.ids import KeyDigest

__all__ = [
    "find_caller",
    "hash_key",
    "read_bearer",
    "read_key",
    "require_caller",
    "require_key",
]

logger = logging.getLogger(__name__)

#: Characters of a key's digest that identify the key in logs and histories: too few to
#: recover the key from, enough to distinguish the keys of one service.
SHORT_DIGEST_LENGTH = 12

_SCHEME = "bearer"


def hash_key(key: str) -> KeyDigest:
    """Return the SHA-256 of a key in hexadecimal, as used in documents and settings."""
    digest = hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()
    return KeyDigest(digest)


def read_bearer(headers: Headers) -> str:
    """Return the bearer token of the Authorization header, or an empty string."""
    return read_key(headers, _SCHEME)


def read_key(headers: Headers, scheme: str) -> str:
    """Return the key of the Authorization header, or an empty string.

    :param scheme: authentication scheme in lower case.
    """
    sent, _, key = (find_header(headers, "authorization") or "").partition(" ")
    return key.strip() if sent.lower() == scheme else ""


def find_caller(document: ServiceDocument, key: str) -> Caller | None:
    """Return the caller to whom a key belongs, `None` if the key is unknown.

    A document that lists no callers admits every request, with any key or none.
    """
    if not document.callers:
        return Caller("anyone", document.team, "")
    digest = hash_key(key)
    # Compares all digests, each in constant time, so that the duration reveals nothing
    # about a guessed key.
    matches = [c for c in document.callers if hmac.compare_digest(c.key_sha256, digest)]
    return matches[0] if matches else None


def require_caller(document: ServiceDocument, key: str, peer: str = "") -> Caller:
    """Return the caller to whom a key belongs.

    :param peer: IP address of the client, for the log.
    :raises Unauthorized: the key is missing or unknown to the service.
    """
    caller = find_caller(document, key)
    if caller is None:
        _log_refusal(document.service, key, peer)
        raise Unauthorized(
            "the API key is missing or not listed for this service",
            "send `Authorization: Bearer KEY` with a key listed in the document",
        )
    return caller


def require_key(key: str, allowed: Collection[str], peer: str = "") -> str:
    """Check an operator's key.

    :param allowed: SHA-256 digests of the keys that permit the operation.
    :param peer: IP address of the client, for the log.
    :returns: the start of the key's digest, which identifies the key in histories.
    :raises Unauthorized: the key is missing.
    :raises Forbidden: the key does not permit the operation.
    """
    if not key:
        _log_refusal("", key, peer)
        raise Unauthorized(
            "the operator's key is missing", "send `Authorization: Bearer KEY`"
        )
    digest = hash_key(key)
    if not any([hmac.compare_digest(permitted, digest) for permitted in allowed]):
        _log_refusal("", key, peer)
        raise Forbidden(
            "the key does not permit this operation",
            "use a key that the service's document or the control settings list",
        )
    return digest[:SHORT_DIGEST_LENGTH]


def _log_refusal(service: str, key: str, peer: str) -> None:
    logger.warning(
        "key refused",
        extra={
            "stage": "authenticate",
            "decision": "refuse",
            "reason": "unknown key" if key else "no key",
            "service": service,
            "peer": peer,
        },
    )
