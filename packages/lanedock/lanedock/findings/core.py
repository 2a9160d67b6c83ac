# SPDX-License-Identifier: BSD-3-Clause
"""Findings: errors in an input, with their positions."""

from lanedock.errors import ErrorCode, LanedockError

__all__ = ["Finding", "FindingsError", "Place"]


class Place:
    """A position in an input.

    Parameters
    ----------
    file : str
        Name of the file or other source.
    line, column : int
        Position, counted from 1; 0 if it is not known.
    path : str
        JSON pointer (RFC 6901) to the value.
    """

    __slots__ = ("column", "file", "line", "path")

    def __init__(self, file: str, line: int = 0, column: int = 0, path: str = ""):
        self.file = file
        self.line = line
        self.column = column
        self.path = path

    def __str__(self) -> str:
        position = f"{self.file}:{self.line}:{self.column}" if self.line else self.file
        return f"{position} {self.path}".rstrip()

    def __repr__(self) -> str:
        return f"<Place {self}>"


class Finding:
    """One error in an input.

    Parameters
    ----------
    code : ErrorCode
    message : str
        Details of the error, in one sentence.
    place : Place
    """

    __slots__ = ("code", "message", "place")

    def __init__(self, code: ErrorCode, message: str, place: Place):
        self.code = code
        self.message = message
        self.place = place

    def __str__(self) -> str:
        return f"{self.place}: {self.code.code}: {self.message}"

    def __repr__(self) -> str:
        return f"<Finding {self}>"


class FindingsError(LanedockError):
    """Raised when an input is refused; has all findings.

    Parameters
    ----------
    findings : list of Finding
        At least one.
    """

    def __init__(self, findings: list[Finding]):
        super().__init__(findings[0].code, f"{len(findings)} finding(s); first: {findings[0]}")
        self.findings = findings
