"""Parsing of INI text, for service documents and settings files.

Collects all faults rather than stopping at the first. Interpolation is off and names
are case-sensitive. Sections and options that were never read are reported as faults,
so that a misspelt name is not silently ignored.
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

#: Maximum number of faults in one message; malicious input could contain a million.
MAX_LISTED_FAULTS = 50

#: Length in characters beyond which a value is truncated in a message.
MAX_QUOTED_CHARACTERS = 60

#: Upper bound of every option that is a duration.
MAX_DURATION = timedelta(days=366)

_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")
_DURATION_PATTERN = re.compile(r"([0-9]{1,9}(?:\.[0-9]{1,6})?)\s*(ms|s|min|h|d)")
_DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
_DURATION_UNITS = {
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
    """One fault of an INI text: its location, the problem and the remedy.

    :param option: empty when the fault concerns the section as a whole.
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
    """Return the faults as text, one per line, at most `MAX_LISTED_FAULTS` of them."""
    lines = [str(fault) for fault in faults]
    omitted = len(lines) - MAX_LISTED_FAULTS
    if omitted > 0:
        lines = [*lines[:MAX_LISTED_FAULTS], f"and {omitted} more"]
    return "\n".join(lines)


class IniFile:
    """A parsed INI text, with the faults found in it so far."""

    def __init__(self, text: str) -> None:
        self.faults: list[Fault] = []
        self._opened: set[str] = set()
        self._parser = self._parse(text)

    @property
    def section_names(self) -> list[str]:
        """The names of all sections, in the order of the text."""
        return self._parser.sections()

    def add_fault(self, section: str, option: str, problem: str, remedy: str) -> None:
        """Record a fault."""
        self.faults.append(
            Fault(make_printable(section), make_printable(option), problem, remedy)
        )

    def open_section(self, name: str, required: bool = False) -> "IniSection":
        """Return the section of that name, or an empty one if there is none.

        :param required: record a fault if the section is missing.
        """
        self._opened.add(name)
        if self._parser.has_section(name):
            return IniSection(self, name, dict(self._parser.items(name)))
        if required:
            self.add_fault(
                name, "", "the section is missing", f"add a section [{name}]"
            )
        return IniSection(self, name, {}, missing=True)

    def open_group(self, kind: str) -> "Iterator[tuple[str, IniSection]]":
        """Yield the name and the section for each ``[kind:NAME]``."""
        prefix = f"{kind}:"
        for section in self.section_names:
            if not section.startswith(prefix):
                continue
            name = section.removeprefix(prefix)
            opened = self.open_section(section)
            try:
                parse_name(name)
            except InvalidInput as error:
                self.add_fault(section, "", error.message, error.remedy)
            yield name, opened

    def report_unknown_sections(self, groups: Iterable[str] = ()) -> None:
        """Record a fault for every section that was not opened.

        :param groups: kinds passed to `open_group`, suggested in the remedy.
        """
        known = [*sorted(self._opened), *(f"{group}:NAME" for group in groups)]
        for name in self.section_names:
            if name not in self._opened:
                self.add_fault(name, "", "unknown section", _suggest(name, known))

    def _parse(self, text: str) -> configparser.RawConfigParser:
        parser = _make_parser(strict=True)
        try:
            parser.read_string(text)
            return parser
        except configparser.DuplicateOptionError as error:
            self.add_fault(
                error.section, error.option, "defined twice", "keep one of them"
            )
        except configparser.DuplicateSectionError as error:
            self.add_fault(error.section, "", "defined twice", "join both sections")
        except configparser.Error as error:
            self._add_syntax_faults(error)
            return _make_parser(strict=True)
        # Parse again without the check for duplicates to find the other faults too
        parser = _make_parser(strict=False)
        try:
            parser.read_string(text)
        except configparser.Error as error:
            self._add_syntax_faults(error)
        return parser

    def _add_syntax_faults(self, error: configparser.Error) -> None:
        match error:
            case configparser.MissingSectionHeaderError():
                self.add_fault(
                    "",
                    f"line {error.lineno}",
                    "is outside of any section",
                    "start the text with a section header such as [service]",
                )
            case configparser.ParsingError():
                for number, line in error.errors:
                    self.add_fault(
                        "",
                        f"line {number}",
                        f"can't be parsed: {make_printable(line)}",
                        "write OPTION = VALUE",
                    )
            case _:
                self.add_fault("", "", make_printable(error.message), "use INI syntax")


class IniSection:
    """One section, which records the names of the options that are read."""

    def __init__(
        self, ini: IniFile, name: str, options: dict[str, str], missing: bool = False
    ) -> None:
        self.name = name
        self.options = options
        self.missing = missing
        self._ini = ini
        self._known: set[str] = set()

    def read(self, option: str, parse: Callable[[str], _T], default: _T) -> _T:
        """Return an option's value, or the default if it is absent or invalid."""
        self._known.add(option)
        text = self.options.get(option)
        if text is None:
            return default
        try:
            return parse(text)
        except InvalidInput as error:
            self.add_fault(option, error.message, error.remedy)
            return default

    def read_required(
        self, option: str, parse: Callable[[str], _T], placeholder: _T
    ) -> _T:
        """Return an option's value, and record a fault if the option is missing.

        :param placeholder: returned for a missing or invalid value, so that reading
            can continue and find further faults.
        """
        if option not in self.options and not self.missing:
            self.add_fault(option, "missing", f"add {option} = VALUE")
        return self.read(option, parse, placeholder)

    def read_all(
        self, parse: Callable[[str], _T], excluded: Iterable[str] = ()
    ) -> dict[str, _T]:
        """Return the values of a section whose option names are chosen by the user.

        :param excluded: options that the caller reads by other means.
        """
        values: dict[str, _T] = {}
        skipped = set(excluded)
        for option, text in self.options.items():
            if option in skipped:
                continue
            self._known.add(option)
            try:
                values[parse_name(option)] = parse(text)
            except InvalidInput as error:
                self.add_fault(option, error.message, error.remedy)
        return values

    def add_fault(self, option: str, problem: str, remedy: str) -> None:
        """Record a fault of this section."""
        self._ini.add_fault(self.name, option, problem, remedy)

    def report_unknown_options(self) -> None:
        """Record a fault for every option that was not read."""
        for option in self.options:
            if option not in self._known:
                self.add_fault(
                    option, "unknown option", _suggest(option, sorted(self._known))
                )


def make_printable(text: str) -> str:
    """Return text for one line of a message: non-printable replaced, long truncated."""
    shortened = (
        text
        if len(text) <= MAX_QUOTED_CHARACTERS
        else text[:MAX_QUOTED_CHARACTERS] + "..."
    )
    return "".join(c if c.isprintable() else "?" for c in shortened)


def parse_name(text: str) -> str:
    """Return a name made of ASCII letters, digits, dots, hyphens and underscores.

    :raises InvalidInput: the text contains other characters or is too long.
    """
    if _NAME_PATTERN.fullmatch(text) is None:
        raise InvalidInput(
            f"'{make_printable(text)}' is not a valid name",
            "use up to 100 letters, digits, '.', '-' and '_', a letter or digit first",
        )
    return text


def parse_text(text: str) -> str:
    """Return printable text on one line.

    :raises InvalidInput: the text is empty or contains control characters.
    """
    if not text or not text.isprintable():
        raise InvalidInput("empty or not printable", "write printable text on one line")
    return text


def parse_integer(low: int, high: int) -> Callable[[str], int]:
    """Return a parser of integers from ``low`` to ``high``, both included."""

    def parse(text: str) -> int:
        digits = text.isascii() and text.isdigit() and len(text) <= len(str(high))
        if digits and low <= int(text) <= high:
            return int(text)
        raise InvalidInput(
            f"'{make_printable(text)}' is out of range",
            f"write an integer from {low} to {high}",
        )

    return parse


def parse_number(low: float, high: float) -> Callable[[str], float]:
    """Return a parser of decimal numbers from ``low`` to ``high``, both included."""

    def parse(text: str) -> float:
        try:
            value = float(text)
        except ValueError:
            value = math.nan
        # Comparisons with NaN are false, so NaN is rejected as out of range
        if low <= value <= high:
            return value
        raise InvalidInput(
            f"'{make_printable(text)}' is out of range",
            f"write a number from {low} to {high}",
        )

    return parse


def parse_boolean(text: str) -> bool:
    """Return true for ``yes`` and false for ``no``.

    :raises InvalidInput: the text is neither of these.
    """
    if text not in _BOOLEANS:
        raise InvalidInput(
            f"'{make_printable(text)}' is not a boolean", "write yes or no"
        )
    return _BOOLEANS[text]


def parse_duration(text: str) -> timedelta:
    """Return a duration such as ``30 s``.

    :raises InvalidInput: the number or the unit is missing, or the duration is zero
        or longer than `MAX_DURATION`.
    """
    found = _DURATION_PATTERN.fullmatch(text)
    duration = float(found[1]) * _DURATION_UNITS[found[2]] if found else timedelta()
    if not timedelta() < duration <= MAX_DURATION:
        raise InvalidInput(
            f"'{make_printable(text)}' is not a valid duration",
            "write a number and one of ms, s, min, h, d; a year at most",
        )
    return duration


def parse_digest(text: str) -> str:
    """Return a SHA-256 digest in lower-case hexadecimal.

    :raises InvalidInput: the text is not such a digest.
    """
    if _DIGEST_PATTERN.fullmatch(text) is None:
        # The message omits the text: it may be a plain-text key, which must not be
        # logged
        raise InvalidInput(
            "not a SHA-256 digest in hexadecimal",
            "write the output of: printf %s \"$KEY\" | sha256sum | cut -d' ' -f1",
        )
    return text


def parse_choice(kind: type[_E]) -> Callable[[str], _E]:
    """Return a parser that maps a value of an enumeration to its member."""
    values = {member.value: member for member in kind}

    def parse(text: str) -> _E:
        if text in values:
            return values[text]
        raise InvalidInput(
            f"'{make_printable(text)}' is not a valid value",
            f"write one of: {', '.join(values)}",
        )

    return parse


def parse_list(parse_item: Callable[[str], _T]) -> Callable[[str], tuple[_T, ...]]:
    """Return a parser of one or more items separated by spaces or commas."""

    def parse(text: str) -> tuple[_T, ...]:
        items = text.replace(",", " ").split()
        if not items:
            raise InvalidInput("the list is empty", "write at least one item")
        if len(set(items)) < len(items):
            raise InvalidInput("an item is listed twice", "keep one of them")
        return tuple(parse_item(item) for item in items)

    return parse


def _suggest(name: str, known: list[str]) -> str:
    # Matching takes quadratic time in the length, and a malicious name may be very long
    matches = difflib.get_close_matches(name[:MAX_QUOTED_CHARACTERS], known, n=1)
    if matches:
        return f"did you mean {matches[0]}?"
    return f"remove it; valid names: {', '.join(known) or 'none'}"


def _make_parser(strict: bool) -> configparser.RawConfigParser:
    parser = configparser.RawConfigParser(
        delimiters=("=",),
        strict=strict,
        empty_lines_in_values=False,
        # Disables the section of defaults: no section header can have an empty name
        default_section="",
        interpolation=None,
    )
    # Adapter names are case-sensitive, but the library lower-cases options
    parser.optionxform = str  # type: ignore[assignment, method-assign]
    return parser
