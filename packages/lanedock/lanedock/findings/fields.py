# SPDX-License-Identifier: BSD-3-Clause
"""Reads what others send field by field; what is wrong is found with its place."""

import json
import sys

from lanedock.errors import ErrorCode
from lanedock.findings.core import Finding, FindingsError, Place

__all__ = ["MAX_COUNT", "FieldReader", "is_number"]

# Signs of a wrong value that are shown; its reader knows it by its beginning.
_SHOWN_LENGTH = 60
# Largest whole number that every writer of JSON holds exactly (RFC 8259, section 6).
MAX_COUNT = 2**53
# Times any of the factors, it is finite still.
_LARGEST = sys.float_info.max / 1000
_REQUIRED = object()


class FieldReader:
    """Reads the fields of one object, and collects what is wrong with them.

    A field that can't be read yields a value of its type, so that reading goes
    on and all findings are reported together. One that has a default may be missing, but
    not be of another type.

    Parameters
    ----------
    source : str
        Named in findings.
    value : object
        The object, as parsed.
    path : str
        JSON pointer (RFC 6901) of it.
    findings : list of Finding
        Collects; shared by all readers of one input.
    """

    __slots__ = ("_label", "_path", "_source", "_value", "findings")

    def __init__(self, source: str, value: object, path: str, findings: list[Finding]):
        self._source = source
        self.findings = findings
        self._path = path
        self._label = ""
        self._value = value if isinstance(value, dict) else {}
        if not isinstance(value, dict):
            self._add(path, f"an object is due, not {_shown(value)}")
        elif isinstance(value.get("name"), str):
            self._label = f" of {value['name']!r}"

    @classmethod
    def parse(cls, source: str, data: bytes) -> "FieldReader":
        """Return a reader of the object that is written in JSON.

        Raises
        ------
        FindingsError
            `ErrorCode.NOT_JSON`
        """
        try:
            value = json.loads(data)
        except (RecursionError, ValueError) as exc:
            raise FindingsError([Finding(ErrorCode.NOT_JSON, str(exc), Place(source))]) from exc
        return cls(source, value, "", [])

    def __contains__(self, name: str) -> bool:
        """Tell whether a field is given, and isn't empty."""
        return bool(self._value.get(name))

    def finish(self) -> None:
        """Report what was found.

        Raises
        ------
        FindingsError
            With every field that is missing or of the wrong kind.
        """
        if self.findings:
            raise FindingsError(self.findings)

    def text(self, name: str, default: object = _REQUIRED) -> str:
        """Return a text, which can be written in UTF-8."""
        value = self._get(name, default)
        return value if _is_text(value) else self._refuse(name, "a text", "")

    def word(self, name: str, known: dict, default: object = _REQUIRED) -> object:
        """Return what a word stands for."""
        value = self._get(name, default)
        if isinstance(value, str) and value in known:
            return known[value]
        return self._refuse(name, "one of " + ", ".join(known), next(iter(known.values())))

    def constant(self, name: str, value: object) -> None:
        """Accept one value only, which may be left out."""
        if self._value.get(name, value) != value:
            self._refuse(name, _shown(value), None)

    def count(self, name: str, least: int, most: int = MAX_COUNT, default: object = _REQUIRED) -> int:
        """Return a whole number."""
        value = self._get(name, default)
        is_count = isinstance(value, int) and not isinstance(value, bool) and least <= value <= most
        return value if is_count else self._refuse(name, f"a whole number from {least} to {most}", least)

    def number(self, name: str, most: float = _LARGEST, default: object = _REQUIRED) -> float:
        """Return a number that is not below 0."""
        value = self._get(name, default)
        return value if is_number(value) and 0 <= value <= most else self._refuse(name, "a number not below 0", 0)

    def object(self, name: str) -> "FieldReader":
        """Return a reader of an object."""
        return type(self)(self._source, self._get(name), f"{self._path}/{name}", self.findings)

    def objects(self, name: str, is_apart: bool = False) -> list["FieldReader"]:
        """Return a reader for each object of a list; each with findings of its own where they are apart."""
        value = self._get(name)
        if not isinstance(value, list):
            return self._refuse(name, "a list", [])
        return [
            type(self)(self._source, item, f"{self._path}/{name}/{number}", [] if is_apart else self.findings)
            for number, item in enumerate(value)
        ]

    def check(self, name: str, is_met: bool, due: str) -> None:
        """Note that a field that was read is not what is due, unless that is met."""
        if not is_met:
            self._refuse(name, due, None)

    def _get(self, name: str, default: object = _REQUIRED) -> object:
        value = self._value.get(name, default)
        return None if value is _REQUIRED else value

    def _refuse(self, name: str, due: str, instead):
        found = _shown(self._value[name]) if name in self._value else "nothing"
        self._add(f"{self._path}/{name}", f"{name}{self._label}: {due} is due, not {found}")
        return instead

    def _add(self, path: str, message: str) -> None:
        self.findings.append(Finding(ErrorCode.SCHEMA, message, Place(self._source, path=path)))


def is_number(value: object) -> bool:
    """Tell whether a value is a finite number."""
    return isinstance(value, (int, float)) and not isinstance(value, bool) and -_LARGEST <= value <= _LARGEST


def _is_text(value: object) -> bool:
    """Tell whether a value is a text without half of a surrogate pair, which JSON may escape."""
    if not isinstance(value, str):
        return False
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def _shown(value: object) -> str:
    """Return a value as it may stand in a message."""
    text = ascii(value)
    return text if len(text) <= _SHOWN_LENGTH else text[:_SHOWN_LENGTH] + "..."
