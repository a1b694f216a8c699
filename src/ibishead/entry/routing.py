"""Which class of its document a call belongs to, and so whether it may run twice."""

from urllib.parse import unquote

from ibishead.documents import RequestClass, Route, ServiceDocument
from ibishead.errors import ErrorCode, NotFound
from ibishead.ids import ClassName
from ibishead.messages import TargetKind

__all__ = ["choose_class"]


def choose_class(
    document: ServiceDocument, method: str, path: str, asked: ClassName
) -> RequestClass:
    """Return the class of a call.

    The caller may ask for a class, but the document decides what may run twice: a
    class asked for never lifts the protection that a route or the default gives.

    :param path: as the caller wrote it, without the query.
    :param asked: the class that the caller names, or empty.
    :raises NotFound: the document has no class of the name asked for.
    """
    match document.kind:
        case TargetKind.ENGINE:
            return _find_class(document, asked or document.default_class)
        case TargetKind.PLAIN:
            routed = [
                _find_class(document, _route(document, method, reading))
                for reading in _list_readings(path)
            ]
            chosen = _find_class(document, asked) if asked else routed[0]
            if not chosen.idempotent:
                return chosen
            return next((c for c in routed if not c.idempotent), chosen)


def _find_class(document: ServiceDocument, name: ClassName) -> RequestClass:
    found = document.classes.get(name)
    if found is None:
        raise NotFound(
            f"the service {document.service} has no class {name!r}",
            f"use one of {', '.join(sorted(document.classes))}",
            code=ErrorCode.UNKNOWN_CLASS,
        )
    return found


def _route(document: ServiceDocument, method: str, path: str) -> ClassName:
    matches = [
        route
        for route in document.routes
        if route.method in ("*", method.upper()) and _is_below(path, route.path)
    ]
    best = max(matches, key=_rank_route, default=None)
    return document.default_class if best is None else best.request_class


def _rank_route(route: Route) -> tuple[int, bool]:
    return len(route.path), route.method != "*"


def _is_below(path: str, prefix: str) -> bool:
    return path == prefix or path.startswith(prefix.rstrip("/") + "/")


def _list_readings(path: str) -> tuple[str, ...]:
    # Failure: a caller writes a protected path as /%69ssues, //issues or
    # /stock/../issues, which many services take for /issues. No route knows it, it
    # counts as idempotent and is repeated after a lost link. The path is matched
    # both as written and as such a service reads it, and protection by either holds.
    segments: list[str] = []
    for segment in unquote(path).split("/"):
        name = segment.partition(";")[0]
        if name == "..":
            del segments[-1:]
        elif name not in ("", "."):
            segments.append(name)
    return path, "/" + "/".join(segments)
