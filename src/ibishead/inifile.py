"""INI texts read with every fault collected, for documents and settings alike.

Interpolation is off, names are case-sensitive, and whatever was not read in the end
is a fault: a misspelt option must never be dropped in silence.
"""

import configparser
import difflib
import math
import re
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import TypeVar

from ibishead.errors import InvalidInput

__all__ = [
    "Fault",
    "IniFile",
    "IniSection",
    "describe_faults",
    "parse_boolean",
    "parse_choice",
    "parse_digest",
    "parse_duration",
    "parse_integer",
    "parse_list",
    "parse_name",
    "parse_number",
    "parse_text",
]

#: Faults that one message lists; a hostile text could hold a million.
MAX_LISTED_FAULTS = 50

#: Longest value that a message repeats, in characters.
MAX_QUOTED = 60

#: Longest duration of any option.
MAX_DURATION = timedelta(days=366)

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")
_DURATION = re.compile(r"([0-9]{1,9}(?:\.[0-9]{1,6})?)\s*(ms|s|min|h|d)")
_DIGEST = re.compile(r"[0-9a-f]{64}")
_UNITS = {
    "ms": timedelta(milliseconds=1),
    "s": timedelta(seconds=1),
    "min": timedelta(minutes=1),
    "h": timedelta(hours=1),
    "d": timedelta(days=1),
}
_BOOLEANS = {"yes": True, "no": False}

_T = TypeVar("_T")
_E = TypeVar("_E", bound=Enum)


@dataclass(frozen=True)
class Fault:
    """One fault of an INI text, with where it is and what to do.

    :param option: empty when the section as a whole is at fault.
    """

    section: str
    option: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        place = f"[{self.section}]" if self.section else "file"
        option = f" {self.option}" if self.option else ""
        return f"{place}{option}: {self.problem}; {self.remedy}"


def describe_faults(faults: Iterable[Fault]) -> str:
    """Return the faults as text, one a line, with the end left out if too long."""
    lines = [str(fault) for fault in faults]
    left_out = len(lines) - MAX_LISTED_FAULTS
    if left_out > 0:
        lines = [*lines[:MAX_LISTED_FAULTS], f"and {left_out} more"]
    return "\n".join(lines)


class IniFile:
    """An INI text and the faults found in it so far."""

    def __init__(self, text: str) -> None:
        self.faults: list[Fault] = []
        self._opened: set[str] = set()
        self._parser = self._parse(text)

    @property
    def names(self) -> list[str]:
        """All sections, in order."""
        return self._parser.sections()

    def blame(self, section: str, option: str, problem: str, remedy: str) -> None:
        """Add a fault."""
        self.faults.append(Fault(quote(section), quote(option), problem, remedy))

    def open_section(self, name: str, required: bool = False) -> "IniSection":
        """Return a section, an empty one when the text has none of that name."""
        self._opened.add(name)
        if self._parser.has_section(name):
            return IniSection(self, name, dict(self._parser.items(name)))
        if required:
            self.blame(name, "", "the section is missing", f"add a section [{name}]")
        return IniSection(self, name, {}, missing=True)

    def open_group(self, kind: str) -> "Iterator[tuple[str, IniSection]]":
        """Yield name and section of each ``[kind:NAME]``."""
        prefix = f"{kind}:"
        for section in self.names:
            if not section.startswith(prefix):
                continue
            name = section.removeprefix(prefix)
            opened = self.open_section(section)
            try:
                parse_name(name)
            except InvalidInput as error:
                self.blame(section, "", error.message, error.remedy)
            yield name, opened

    def refuse_others(self, groups: Iterable[str] = ()) -> None:
        """Blame every section that was not opened.

        :param groups: kinds of sections that `open_group` knows, for the remedy.
        """
        known = [*sorted(self._opened), *(f"{group}:NAME" for group in groups)]
        for name in self.names:
            if name not in self._opened:
                self.blame(name, "", "unknown section", _suggest(name, known))

    def _parse(self, text: str) -> configparser.RawConfigParser:
        parser = _make_parser(strict=True)
        try:
            parser.read_string(text)
            return parser
        except configparser.DuplicateOptionError as error:
            self.blame(error.section, error.option, "given twice", "keep one of them")
        except configparser.DuplicateSectionError as error:
            self.blame(error.section, "", "given twice", "join both sections")
        except configparser.Error as error:
            self._blame_syntax(error)
            return _make_parser(strict=True)
        # Read on without the check, so that the other faults are seen as well
        parser = _make_parser(strict=False)
        try:
            parser.read_string(text)
        except configparser.Error as error:
            self._blame_syntax(error)
        return parser

    def _blame_syntax(self, error: configparser.Error) -> None:
        match error:
            case configparser.MissingSectionHeaderError():
                self.blame(
                    "",
                    f"line {error.lineno}",
                    "stands before any section",
                    "begin the text with a section such as [service]",
                )
            case configparser.ParsingError():
                for number, line in error.errors:
                    self.blame(
                        "",
                        f"line {number}",
                        f"can't be read: {quote(line)}",
                        "write OPTION = VALUE",
                    )
            case _:
                self.blame("", "", quote(error.message), "write it as INI")


class IniSection:
    """One section, which notes the options that were asked of it."""

    def __init__(
        self, ini: IniFile, name: str, options: dict[str, str], missing: bool = False
    ) -> None:
        self.name = name
        self.options = options
        self.missing = missing
        self._ini = ini
        self._known: set[str] = set()

    def read(self, option: str, parse: Callable[[str], _T], default: _T) -> _T:
        """Return an option's value, or the default when absent or at fault."""
        self._known.add(option)
        text = self.options.get(option)
        if text is None:
            return default
        try:
            return parse(text)
        except InvalidInput as error:
            self.blame(option, error.message, error.remedy)
            return default

    def need(self, option: str, parse: Callable[[str], _T], stand_in: _T) -> _T:
        """Return an option's value; a missing one is a fault.

        :param stand_in: returned for a missing or faulty value, to read on with.
        """
        if option not in self.options and not self.missing:
            self.blame(option, "missing", f"add {option} = VALUE")
        return self.read(option, parse, stand_in)

    def read_all(
        self, parse: Callable[[str], _T], left: Iterable[str] = ()
    ) -> dict[str, _T]:
        """Return the values of a section whose options are names of the user's.

        :param left: options that are read otherwise.
        """
        values: dict[str, _T] = {}
        others = set(left)
        for option, text in self.options.items():
            if option in others:
                continue
            self._known.add(option)
            try:
                values[parse_name(option)] = parse(text)
            except InvalidInput as error:
                self.blame(option, error.message, error.remedy)
        return values

    def blame(self, option: str, problem: str, remedy: str) -> None:
        """Add a fault of this section."""
        self._ini.blame(self.name, option, problem, remedy)

    def refuse_others(self) -> None:
        """Blame every option that was not read."""
        for option in self.options:
            if option not in self._known:
                self.blame(
                    option, "unknown option", _suggest(option, sorted(self._known))
                )


def quote(text: str) -> str:
    """Return text fit for one line of a message: printable, and cut if long."""
    cut = text if len(text) <= MAX_QUOTED else text[:MAX_QUOTED] + "..."
    return "".join(c if c.isprintable() else "?" for c in cut)


def parse_name(text: str) -> str:
    """Return a name: ASCII letters, digits, dot, hyphen and underscore.

    :raises InvalidInput: it holds anything else or is too long.
    """
    if _NAME.fullmatch(text) is None:
        raise InvalidInput(
            f"'{quote(text)}' is no name",
            "use up to 100 letters, digits, '.', '-' and '_', a letter or digit first",
        )
    return text


def parse_text(text: str) -> str:
    """Return printable text on one line.

    :raises InvalidInput: it is empty or holds control characters.
    """
    if not text or not text.isprintable():
        raise InvalidInput("empty or not printable", "write it on one line")
    return text


def parse_integer(low: int, high: int) -> Callable[[str], int]:
    """Return a parser of whole numbers from ``low`` to ``high``."""

    def parse(text: str) -> int:
        digits = text.isascii() and text.isdigit() and len(text) <= len(str(high))
        if digits and low <= int(text) <= high:
            return int(text)
        raise InvalidInput(
            f"'{quote(text)}' is out of range",
            f"write a whole number from {low} to {high}",
        )

    return parse


def parse_number(low: float, high: float) -> Callable[[str], float]:
    """Return a parser of decimal numbers from ``low`` to ``high``."""

    def parse(text: str) -> float:
        try:
            value = float(text)
        except ValueError:
            value = math.nan
        # A comparison with NaN is false, so it ends as a fault
        if low <= value <= high:
            return value
        raise InvalidInput(
            f"'{quote(text)}' is out of range", f"write a number from {low} to {high}"
        )

    return parse


def parse_boolean(text: str) -> bool:
    """Return whether the text says yes.

    :raises InvalidInput: it is neither ``yes`` nor ``no``.
    """
    if text not in _BOOLEANS:
        raise InvalidInput(f"'{quote(text)}' is no answer", "write yes or no")
    return _BOOLEANS[text]


def parse_duration(text: str) -> timedelta:
    """Return a duration such as ``30 s``.

    :raises InvalidInput: number or unit is missing, or it is zero or too long.
    """
    found = _DURATION.fullmatch(text)
    duration = float(found[1]) * _UNITS[found[2]] if found else timedelta()
    if not timedelta() < duration <= MAX_DURATION:
        raise InvalidInput(
            f"'{quote(text)}' is no duration",
            "write a number and one of ms, s, min, h, d; a year at most",
        )
    return duration


def parse_digest(text: str) -> str:
    """Return a SHA-256 in lower-case hexadecimal.

    :raises InvalidInput: it is anything else.
    """
    if _DIGEST.fullmatch(text) is None:
        # A key put here in clear must not reach a log by way of the message
        raise InvalidInput(
            "no SHA-256 in hexadecimal",
            "write the output of: printf %s \"$KEY\" | sha256sum | cut -d' ' -f1",
        )
    return text


def parse_choice(kind: type[_E]) -> Callable[[str], _E]:
    """Return a parser of an enumeration's values."""
    values = {member.value: member for member in kind}

    def parse(text: str) -> _E:
        if text in values:
            return values[text]
        raise InvalidInput(
            f"'{quote(text)}' is not known", f"write one of: {', '.join(values)}"
        )

    return parse


def parse_list(parse_item: Callable[[str], _T]) -> Callable[[str], tuple[_T, ...]]:
    """Return a parser of items between spaces or commas, one at least."""

    def parse(text: str) -> tuple[_T, ...]:
        items = text.replace(",", " ").split()
        if not items:
            raise InvalidInput("the list is empty", "write one item at least")
        if len(set(items)) < len(items):
            raise InvalidInput("an item is given twice", "keep one of them")
        return tuple(parse_item(item) for item in items)

    return parse


def _suggest(name: str, known: list[str]) -> str:
    # Matching is quadratic in the length, and a hostile name may be very long
    close = difflib.get_close_matches(name[:MAX_QUOTED], known, n=1)
    if close:
        return f"did you mean {close[0]}?"
    return f"remove it; known are: {', '.join(known) or 'none'}"


def _make_parser(strict: bool) -> configparser.RawConfigParser:
    parser = configparser.RawConfigParser(
        delimiters=("=",),
        strict=strict,
        empty_lines_in_values=False,
        # No section of defaults: a name that no header can hold
        default_section="",
        interpolation=None,
    )
    # Adapter names are case-sensitive; the library would lower them
    parser.optionxform = str  # type: ignore[assignment, method-assign]
    return parser
