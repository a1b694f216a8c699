"""Keys of callers and operators, of which only the SHA-256 is kept and compared."""

import hashlib
import hmac
import logging
from collections.abc import Collection

from ibishead.documents import Caller, ServiceDocument
from ibishead.errors import Forbidden, Unauthorized
from ibishead.headers import Headers, find_header

__all__ = ["find_caller", "hash_key", "read_bearer", "require_caller", "require_key"]

logger = logging.getLogger(__name__)

#: Characters of a key's digest that name it in logs and histories; too few to find
#: the key by, enough to tell the keys of one service apart.
NAME_LENGTH = 12

_SCHEME = "bearer"


def hash_key(key: str) -> str:
    """Return the SHA-256 of a key in hexadecimal, as documents and settings hold it."""
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


def read_bearer(headers: Headers) -> str:
    """Return the key of the Authorization header, or an empty string."""
    scheme, _, key = (find_header(headers, "authorization") or "").partition(" ")
    return key.strip() if scheme.lower() == _SCHEME else ""


def find_caller(document: ServiceDocument, key: str) -> Caller | None:
    """Return the caller that a key belongs to, or none.

    A document that names no callers is open to all.
    """
    if not document.callers:
        return Caller("anyone", document.team, "")
    digest = hash_key(key)
    # All are compared, each in constant time, so that the time tells nothing of how
    # near a guess came
    found = [c for c in document.callers if hmac.compare_digest(c.key_sha256, digest)]
    return found[0] if found else None


def require_caller(document: ServiceDocument, key: str, peer: str = "") -> Caller:
    """Return the caller that a key belongs to.

    :param peer: where the key came from, for the log.
    :raises Unauthorized: the key is missing or unknown to the service.
    """
    caller = find_caller(document, key)
    if caller is None:
        _log_refusal(document.service, key, peer)
        raise Unauthorized(
            "the key is missing or unknown to the service",
            "send `Authorization: Bearer KEY` with a key that the document names",
        )
    return caller


def require_key(key: str, allowed: Collection[str], peer: str = "") -> str:
    """Return a short name of an operator's key.

    :param allowed: SHA-256 of the keys that reach this far.
    :param peer: where the key came from, for the log.
    :raises Unauthorized: the key is missing.
    :raises Forbidden: the key isn't among those allowed.
    """
    if not key:
        _log_refusal("", key, peer)
        raise Unauthorized(
            "an operator's key is missing", "send `Authorization: Bearer KEY`"
        )
    digest = hash_key(key)
    if not any([hmac.compare_digest(held, digest) for held in allowed]):
        _log_refusal("", key, peer)
        raise Forbidden(
            "the key doesn't reach this far",
            "use a key that the service's document or the control settings list",
        )
    return digest[:NAME_LENGTH]


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
