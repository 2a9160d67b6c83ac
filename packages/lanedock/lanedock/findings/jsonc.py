# SPDX-License-Identifier: BSD-3-Clause
"""Parser for JSON with comments that keeps the line and column of every value.

Comments are replaced by blanks of the same length, so that positions reported by
the JSON libraries apply to the original file.
"""

import json
import re
from pathlib import Path

from lanedock.errors import ErrorCode
from lanedock.findings.core import Finding, FindingsError, Place

__all__ = ["Document", "read_document", "read_text"]

# Matches a string literal, a line comment or a block comment. Strings come first, so
# that // within a string is not taken for a comment.
_STRING_OR_COMMENT = re.compile(r'"(?:[^"\\\n]|\\.)*"|//[^\n]*|/\*.*?\*/', re.DOTALL)
_STRING_OR_TRAILING_COMMA = re.compile(r'"(?:[^"\\\n]|\\.)*"|,(?=\s*[\]}])', re.DOTALL)


class _DuplicateKey(Exception):
    """Raised when an object has a duplicate key."""


class Document:
    """A parsed file that can locate its values.

    Parameters
    ----------
    file : str
        Name of the file in places.
    value : object
        The parsed JSON value.
    text : str
        The text with its comments replaced by blanks; empty if a program made the value.
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
            JSON pointer (RFC 6901). For a missing value, the position is that of its parent.
        """
        if not self.text:
            # The value was made by a program, so it has no position in a text.
            return Place(self.file, path=path)
        if self._positions is None:
            self._positions = _map_positions(self.text)
        known = path
        while known and known not in self._positions:
            known = known.rpartition("/")[0]
        entry = self._positions.get(known)
        if entry is None:
            return Place(self.file, path=path)
        start = entry.value_start
        return Place(self.file, start.line + 1, start.column + 1, path)


def _map_positions(text: str) -> dict:
    # Imported only when a file has findings: this saves memory in the daemon.
    from json_source_map import calculate

    return calculate(text)


def _blank_out(match: re.Match) -> str:
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
    raise ValueError(f"the constant {name} is not JSON")


def read_text(text: str, file: str) -> Document:
    """Parse JSON with comments.

    Parameters
    ----------
    text : str
    file : str
        Name of the file in places.

    Returns
    -------
    Document

    Raises
    ------
    FindingsError
        The text is not JSON with comments, or an object has a duplicate key.
    """
    document = _try_without_comments(text, file)
    if document is not None:
        return document
    blanked = _STRING_OR_TRAILING_COMMA.sub(_blank_out, _STRING_OR_COMMENT.sub(_blank_out, text))
    try:
        value = json.loads(blanked, object_pairs_hook=_refuse_duplicates, parse_constant=_refuse_constant)
    except _DuplicateKey as exc:
        key = str(exc)
        raise FindingsError([_make_duplicate_finding(blanked, file, key)]) from exc
    except json.JSONDecodeError as exc:
        place = Place(file, exc.lineno, exc.colno)
        raise FindingsError([Finding(ErrorCode.NOT_JSON, exc.msg, place)]) from exc
    except (ValueError, RecursionError) as exc:
        raise FindingsError([Finding(ErrorCode.NOT_JSON, str(exc), Place(file))]) from exc
    return Document(file, value, blanked)


def _try_without_comments(text: str, file: str) -> Document | None:
    """Parse text without comments, as programs write it; return None if that fails."""
    try:
        value = json.loads(text, object_pairs_hook=_refuse_duplicates, parse_constant=_refuse_constant)
    except (_DuplicateKey, ValueError, RecursionError):
        return None
    return Document(file, value, text)


def _make_duplicate_finding(text: str, file: str, key: str) -> Finding:
    """Make a finding at the second occurrence of a key in the text.

    The occurrences may lie in different objects, so the position is approximate.
    """
    occurrences = list(re.finditer(re.escape(json.dumps(key, ensure_ascii=False)) + r"\s*:", text))
    message = f"duplicate key {key!r} in an object"
    if not occurrences:
        return Finding(ErrorCode.DUPLICATE_KEY, message, Place(file))
    start = occurrences[min(1, len(occurrences) - 1)].start()
    line = text.count("\n", 0, start) + 1
    column = start - (text.rfind("\n", 0, start) + 1) + 1
    return Finding(ErrorCode.DUPLICATE_KEY, message, Place(file, line, column))


def read_document(path: str) -> Document:
    """Read and parse a file of JSON with comments.

    Parameters
    ----------
    path : str

    Returns
    -------
    Document

    Raises
    ------
    FindingsError
        The file can't be read, is not JSON with comments in UTF-8, or has a duplicate key.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise FindingsError([Finding(ErrorCode.FILE_UNREADABLE, str(exc), Place(str(path)))]) from exc
    return read_text(text, str(path))
