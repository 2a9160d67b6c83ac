# SPDX-License-Identifier: BSD-3-Clause
"""Field-by-field validation of JSON objects that other programs send."""

import json
import sys

from lanedock.errors import ErrorCode
from lanedock.findings.core import Finding, FindingsError, Place

__all__ = ["MAX_COUNT", "FieldReader", "is_number", "is_text"]

# Maximum number of characters of an invalid value in a message; the beginning is enough to identify it.
_MAX_SHOWN_LENGTH = 60
# Largest integer that every JSON implementation represents exactly (RFC 8259, section 6).
MAX_COUNT = 2**53
# Largest number accepted; it stays finite when multiplied by 1000 to convert its unit.
_MAX_NUMBER = sys.float_info.max / 1000
_REQUIRED = object()


class FieldReader:
    """Reads the fields of one object and collects findings about them.

    An invalid field yields a placeholder value of its type, so that reading
    continues and all findings are reported together. A field with a default may
    be missing, but may not have another type.

    Parameters
    ----------
    source : str
        Name of the source in findings.
    value : object
        The parsed JSON object.
    path : str
        JSON pointer (RFC 6901) to the object.
    findings : list of Finding
        List to which findings are appended; shared by all readers of one input.
    hides_values : bool
        Whether findings show the type of an invalid value instead of the value, because the
        object may contain secrets.
    """

    __slots__ = ("_hides_values", "_name_suffix", "_path", "_source", "_value", "findings")

    def __init__(self, source: str, value: object, path: str, findings: list[Finding], hides_values: bool = False):
        self._source = source
        self._hides_values = hides_values
        self.findings = findings
        self._path = path
        self._name_suffix = ""
        self._value = value if isinstance(value, dict) else {}
        if not isinstance(value, dict):
            self._add(path, f"expected an object, got {_show(value, hides_values)}")
        elif isinstance(value.get("name"), str):
            self._name_suffix = f" of {value['name']!r}"

    @classmethod
    def parse(cls, source: str, data: bytes) -> "FieldReader":
        """Return a reader of a JSON object.

        Raises
        ------
        FindingsError
            `ErrorCode.NOT_JSON`: the data is not JSON.
        """
        try:
            value = json.loads(data)
        except (RecursionError, ValueError) as exc:
            raise FindingsError([Finding(ErrorCode.NOT_JSON, str(exc), Place(source))]) from exc
        return cls(source, value, "", [])

    def __contains__(self, name: str) -> bool:
        """Return whether a field is present and not empty."""
        return bool(self._value.get(name))

    def raise_findings(self) -> None:
        """Raise the collected findings, if any.

        Raises
        ------
        FindingsError
            Fields are missing or invalid; the error has all findings.
        """
        if self.findings:
            raise FindingsError(self.findings)

    def text(self, name: str, default: object = _REQUIRED) -> str:
        """Return a string that can be encoded in UTF-8."""
        value = self._get(name, default)
        return value if is_text(value) else self._refuse(name, "a string", "")

    def choice(self, name: str, known: dict, default: object = _REQUIRED) -> object:
        """Return the value to which `known` maps the field's string."""
        value = self._get(name, default)
        if isinstance(value, str) and value in known:
            return known[value]
        return self._refuse(name, "one of " + ", ".join(known), next(iter(known.values())))

    def expect_constant(self, name: str, value: object) -> None:
        """Check that a field is missing or has the one value that is accepted."""
        if self._value.get(name, value) != value:
            self._refuse(name, _abbreviate(value), None)

    def count(self, name: str, minimum: int, maximum: int = MAX_COUNT, default: object = _REQUIRED) -> int:
        """Return an integer within bounds."""
        value = self._get(name, default)
        is_count = isinstance(value, int) and not isinstance(value, bool) and minimum <= value <= maximum
        return value if is_count else self._refuse(name, f"a whole number from {minimum} to {maximum}", minimum)

    def number(self, name: str, maximum: float = _MAX_NUMBER, default: object = _REQUIRED) -> float:
        """Return a number from 0 to a maximum."""
        value = self._get(name, default)
        return value if is_number(value) and 0 <= value <= maximum else self._refuse(name, "a number of 0 or more", 0)

    def object(self, name: str) -> "FieldReader":
        """Return a reader of a nested object."""
        return type(self)(self._source, self._get(name), f"{self._path}/{name}", self.findings, self._hides_values)

    def objects(self, name: str, has_own_findings: bool = False, hides_values: bool = False) -> list["FieldReader"]:
        """Return a reader for each object in a list.

        With `has_own_findings`, each reader collects its findings in a list of its own. With
        `hides_values`, neither the readers' findings nor one about the list show values.
        """
        value = self._get(name)
        hides_values = hides_values or self._hides_values
        if not isinstance(value, list):
            return self._refuse(name, "a list", [], hides_values)
        readers = []
        for number, item in enumerate(value):
            findings = [] if has_own_findings else self.findings
            readers.append(type(self)(self._source, item, f"{self._path}/{name}/{number}", findings, hides_values))
        return readers

    def check(self, name: str, is_met: bool, expected: str) -> None:
        """Add a finding about a field that was read, unless its condition is met."""
        if not is_met:
            self._refuse(name, expected, None)

    def _get(self, name: str, default: object = _REQUIRED) -> object:
        value = self._value.get(name, default)
        return None if value is _REQUIRED else value

    def _refuse(self, name: str, expected: str, fallback, hides_value: bool = False):
        hides_value = hides_value or self._hides_values
        found = _show(self._value[name], hides_value) if name in self._value else "nothing"
        self._add(f"{self._path}/{name}", f"{name}{self._name_suffix}: expected {expected}, got {found}")
        return fallback

    def _add(self, path: str, message: str) -> None:
        self.findings.append(Finding(ErrorCode.SCHEMA, message, Place(self._source, path=path)))


def is_number(value: object) -> bool:
    """Return whether a value is a finite number."""
    return isinstance(value, (int, float)) and not isinstance(value, bool) and -_MAX_NUMBER <= value <= _MAX_NUMBER


def is_text(value: object) -> bool:
    """Return whether a value is a string without lone surrogates, which JSON escapes can produce."""
    if not isinstance(value, str):
        return False
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def _show(value: object, hides_value: bool) -> str:
    return f"a value of type {type(value).__name__}" if hides_value else _abbreviate(value)


def _abbreviate(value: object) -> str:
    """Return a value as ASCII for a message, truncated to `_MAX_SHOWN_LENGTH`."""
    text = ascii(value)
    return text if len(text) <= _MAX_SHOWN_LENGTH else text[:_MAX_SHOWN_LENGTH] + "..."
