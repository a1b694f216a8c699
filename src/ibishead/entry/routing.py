"""Choice of a call's request class, which determines whether it is idempotent."""

from urllib.parse import unquote

from ibishead.documents import RequestClass, Route, ServiceDocument
from ibishead.errors import ErrorCode, NotFound
from ibishead.ids import ClassName
from ibishead.messages import TargetKind

__all__ = ["choose_class"]


def choose_class(
    document: ServiceDocument, method: str, path: str, requested: ClassName
) -> RequestClass:
    """Return the request class of a call.

    The caller may request a class, but the document decides what is idempotent: for a
    plain service a requested class never makes a call idempotent that the route or the
    default class makes non-idempotent.

    :param path: as sent by the caller, without the query.
    :param requested: the class that the caller requests, or empty.
    :raises NotFound: the document has no class of that name.
    """
    match document.kind:
        case TargetKind.ENGINE:
            return _find_class(document, requested or document.default_class)
        case TargetKind.PLAIN:
            routed_classes = [
                _find_class(document, _route(document, method, form))
                for form in _list_path_forms(path)
            ]
            chosen = (
                _find_class(document, requested) if requested else routed_classes[0]
            )
            if not chosen.idempotent:
                return chosen
            return next(
                (candidate for candidate in routed_classes if not candidate.idempotent),
                chosen,
            )


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


def _list_path_forms(path: str) -> tuple[str, ...]:
    # Many services treat /%69ssues, //issues and /stock/../issues as /issues. If such a
    # path matched no route, a non-idempotent call would count as idempotent and be
    # retried after a lost link. The path is therefore matched both as sent and in
    # normalized form, and the call is non-idempotent if either form is.
    segments: list[str] = []
    for segment in unquote(path).split("/"):
        name = segment.partition(";")[0]
        if name == "..":
            del segments[-1:]
        elif name not in ("", "."):
            segments.append(name)
    return path, "/" + "/".join(segments)
