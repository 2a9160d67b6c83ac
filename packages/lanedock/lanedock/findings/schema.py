# SPDX-License-Identifier: BSD-3-Clause
"""Checks of a document against a JSON Schema, with all errors at once."""

import json
from functools import cache
from importlib import import_module
from pathlib import Path

from lanedock.errors import ErrorCode
from lanedock.findings.core import Finding
from lanedock.findings.jsonc import Document

__all__ = ["check_schema", "load_schema"]


def load_schema(package: str, name: str) -> dict:
    """Load a schema that ships inside a package."""
    # Not by `importlib.resources`: with it come modules of 1.3 MB for each daemon (VmRSS).
    path = Path(import_module(package).__file__).with_name(name)
    return json.loads(path.read_text(encoding="utf-8"))


def _inline(schema: object, definitions: dict) -> object:
    """Put definitions in place of references to them, which the library resolves slowly.

    Keys beside a reference are annotations in our schemas, so that a
    definition takes the place of the whole.
    """
    if isinstance(schema, list):
        return [_inline(item, definitions) for item in schema]
    if not isinstance(schema, dict):
        return schema
    if "$ref" in schema:
        name = schema["$ref"].rpartition("/")[2]
        return _inline(definitions[name], definitions)
    return {key: _inline(value, definitions) for key, value in schema.items() if key != "$defs"}


@cache
def _make_validator(package: str, name: str):
    from jsonschema import Draft202012Validator

    schema = load_schema(package, name)
    return Draft202012Validator(_inline(schema, schema.get("$defs", {})))


def check_schema(document: Document, package: str, name: str = "schema.json") -> list[Finding]:
    """Check a document against a schema.

    Parameters
    ----------
    document : Document
    package, name : str
        Where the schema ships: JSON Schema, draft 2020-12.

    Returns
    -------
    list of Finding
        Empty where the document fits; ordered by position.
    """
    findings = []
    for error in _make_validator(package, name).iter_errors(document.value):
        path = "".join("/" + str(part).replace("~", "~0").replace("/", "~1") for part in error.absolute_path)
        findings.append(Finding(ErrorCode.SCHEMA, error.message, document.place(path)))
    return sorted(findings, key=lambda finding: (finding.place.line, finding.place.column, finding.message))
