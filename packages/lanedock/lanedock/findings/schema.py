# SPDX-License-Identifier: BSD-3-Clause
"""Checks of a document against a JSON Schema, with all errors at once."""

import json
from importlib.resources import files

from lanedock.errors import ErrorCode
from lanedock.findings.core import Finding
from lanedock.findings.jsonc import Document

__all__ = ["check_schema", "load_schema"]


def load_schema(package: str, name: str) -> dict:
    """Load a schema that ships inside a package."""
    return json.loads(files(package).joinpath(name).read_text(encoding="utf-8"))


def check_schema(document: Document, schema: dict) -> list[Finding]:
    """Check a document against a schema.

    Parameters
    ----------
    document : Document
    schema : dict
        JSON Schema, draft 2020-12.

    Returns
    -------
    list of Finding
        Empty where the document fits; ordered by position.
    """
    from jsonschema import Draft202012Validator

    findings = []
    for error in Draft202012Validator(schema).iter_errors(document.value):
        path = "".join("/" + str(part).replace("~", "~0").replace("/", "~1") for part in error.absolute_path)
        findings.append(Finding(ErrorCode.SCHEMA, error.message, document.place(path)))
    return sorted(findings, key=lambda finding: (finding.place.line, finding.place.column, finding.message))
