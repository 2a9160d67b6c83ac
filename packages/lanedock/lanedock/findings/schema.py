# SPDX-License-Identifier: BSD-3-Clause
"""Validation of a document against a JSON Schema."""

import json
from functools import cache
from importlib import import_module
from pathlib import Path

from lanedock.errors import ErrorCode
from lanedock.findings.core import Finding
from lanedock.findings.jsonc import Document

__all__ = ["check_schema", "load_schema"]

# Keywords of JSON Schema whose messages have names of properties, but no values.
_MESSAGES_WITHOUT_VALUES = ("required", "additionalProperties")


def load_schema(package: str, name: str) -> dict:
    """Load a schema file from a package."""
    # `importlib.resources` is avoided: its imports would add 1.3 MB to the memory (VmRSS) of each daemon.
    path = Path(import_module(package).__file__).with_name(name)
    return json.loads(path.read_text(encoding="utf-8"))


def _inline_references(schema: object, definitions: dict) -> object:
    """Replace references by the definitions they refer to, because the library resolves references slowly.

    Other keys of an object with a reference are only annotations in these
    schemas, so the definition replaces the whole object.
    """
    if isinstance(schema, list):
        return [_inline_references(item, definitions) for item in schema]
    if not isinstance(schema, dict):
        return schema
    if "$ref" in schema:
        name = schema["$ref"].rpartition("/")[2]
        return _inline_references(definitions[name], definitions)
    return {key: _inline_references(value, definitions) for key, value in schema.items() if key != "$defs"}


@cache
def _make_validator(package: str, name: str):
    from jsonschema import Draft202012Validator

    schema = load_schema(package, name)
    return Draft202012Validator(_inline_references(schema, schema.get("$defs", {})))


def check_schema(document: Document, package: str, name: str = "schema.json") -> list[Finding]:
    """Check a document against a schema.

    Parameters
    ----------
    document : Document
    package, name : str
        Package and file name of the schema (JSON Schema, draft 2020-12).

    Returns
    -------
    list of Finding
        Findings sorted by position; empty if the document is valid.
    """
    findings = []
    validator = _make_validator(package, name)
    for error in validator.iter_errors(document.value):
        path = "".join("/" + str(part).replace("~", "~0").replace("/", "~1") for part in error.absolute_path)
        message = _hide_value(error) if _may_have_secrets(error, validator.schema) else error.message
        findings.append(Finding(ErrorCode.SCHEMA, message, document.place(path)))
    return sorted(findings, key=lambda finding: (finding.place.line, finding.place.column, finding.message))


def _may_have_secrets(error, schema: dict) -> bool:
    """Return whether an invalid value may contain secrets: one within a top-level property marked `writeOnly`.

    A document that isn't an object may contain anything.
    """
    if not error.absolute_path:
        return error.validator == "type"
    return schema["properties"].get(error.absolute_path[0], {}).get("writeOnly", False)


def _hide_value(error) -> str:
    """Return the message of an error, without the invalid value if that may be a secret."""
    if error.validator in _MESSAGES_WITHOUT_VALUES or isinstance(error.instance, (int, float, type(None))):
        return error.message
    return f"the value, which isn't shown, does not fit {error.validator} {error.validator_value}"
