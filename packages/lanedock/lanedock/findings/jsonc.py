# SPDX-License-Identifier: BSD-3-Clause
"""JSON with comments, read so that every value keeps its line and column.

Comments are replaced by blanks of the same extent, so positions that the
JSON libraries report are those of the file as written.
"""

import json
import re
from pathlib import Path

from lanedock.errors import ErrorCode
from lanedock.findings.core import Finding, FindingsError, Place

__all__ = ["Document", "read_document", "read_text"]

# A string literal, a line comment, or a block comment; strings come first so
# that a // within one is not taken for a comment.
_TOKEN = re.compile(r'"(?:[^"\\\n]|\\.)*"|//[^\n]*|/\*.*?\*/', re.DOTALL)
_TRAILING_COMMA = re.compile(r'"(?:[^"\\\n]|\\.)*"|,(?=\s*[\]}])', re.DOTALL)


class _DuplicateKey(Exception):
    """A key stands twice in one object."""


class Document:
    """A parsed file that can tell where its values stand.

    Parameters
    ----------
    file : str
        Name used in places.
    value : object
        The parsed JSON value.
    text : str
        The text with its comments blanked out.
    """

    __slots__ = ("_positions", "file", "text", "value")

    def __init__(self, file: str, value: object, text: str):
        self.file = file
        self.value = value
        self.text = text
        self._positions = None

    def place(self, path: str) -> Place:
        """Return the place of the value at a JSON pointer.

        Parameters
        ----------
        path : str
            RFC 6901 pointer; for a missing value, its parent's place is given.
        """
        if not self.text:
            # Made by a program: there is no text to stand in.
            return Place(self.file, path=path)
        if self._positions is None:
            self._positions = _find_positions(self.text)
        known = path
        while known and known not in self._positions:
            known = known.rpartition("/")[0]
        entry = self._positions.get(known)
        if entry is None:
            return Place(self.file, path=path)
        start = entry.value_start
        return Place(self.file, start.line + 1, start.column + 1, path)


def _find_positions(text: str) -> dict:
    # Imported here: only files with findings need positions, and the daemon's
    # memory is budgeted.
    from json_source_map import calculate

    return calculate(text)


def _blank(match: re.Match) -> str:
    token = match.group()
    if token.startswith('"'):
        return token
    return re.sub(r"[^\n]", " ", token)


def _refuse_duplicates(pairs: list) -> dict:
    seen = {}
    for key, value in pairs:
        if key in seen:
            raise _DuplicateKey(key)
        seen[key] = value
    return seen


def _refuse_constant(name: str):
    raise ValueError(f"{name} is not JSON")


def read_text(text: str, file: str) -> Document:
    """Parse JSON with comments.

    Parameters
    ----------
    text : str
    file : str
        Name used in places.

    Returns
    -------
    Document

    Raises
    ------
    FindingsError
        The text is not JSON, or a key stands twice.
    """
    plain = _try_plain(text, file)
    if plain is not None:
        return plain
    blanked = _TRAILING_COMMA.sub(_blank, _TOKEN.sub(_blank, text))
    try:
        value = json.loads(blanked, object_pairs_hook=_refuse_duplicates, parse_constant=_refuse_constant)
    except _DuplicateKey as exc:
        key = str(exc)
        raise FindingsError([_duplicate_finding(blanked, file, key)]) from exc
    except json.JSONDecodeError as exc:
        place = Place(file, exc.lineno, exc.colno)
        raise FindingsError([Finding(ErrorCode.NOT_JSON, exc.msg, place)]) from exc
    except (ValueError, RecursionError) as exc:
        raise FindingsError([Finding(ErrorCode.NOT_JSON, str(exc), Place(file))]) from exc
    return Document(file, value, blanked)


def _try_plain(text: str, file: str) -> Document | None:
    """Parse text that needs no blanking, which is most of what machines write."""
    try:
        value = json.loads(text, object_pairs_hook=_refuse_duplicates, parse_constant=_refuse_constant)
    except (_DuplicateKey, ValueError, RecursionError):
        return None
    return Document(file, value, text)


def _duplicate_finding(text: str, file: str, key: str) -> Finding:
    """Name the second mention of a key; the last one where depth misleads."""
    mentions = list(re.finditer(re.escape(json.dumps(key, ensure_ascii=False)) + r"\s*:", text))
    message = f"the key {key!r} stands twice in one object"
    if not mentions:
        return Finding(ErrorCode.DUPLICATE_KEY, message, Place(file))
    start = mentions[min(1, len(mentions) - 1)].start()
    line = text.count("\n", 0, start) + 1
    column = start - (text.rfind("\n", 0, start) + 1) + 1
    return Finding(ErrorCode.DUPLICATE_KEY, message, Place(file, line, column))


def read_document(path: str) -> Document:
    """Read and parse a file of JSON with comments.

    Raises
    ------
    FindingsError
        The file can't be read, or is not UTF-8 JSON with comments.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise FindingsError([Finding(ErrorCode.FILE_UNREADABLE, str(exc), Place(str(path)))]) from exc
    return read_text(text, str(path))
