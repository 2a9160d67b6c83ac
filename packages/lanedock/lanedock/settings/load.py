# SPDX-License-Identifier: BSD-3-Clause
"""Reading and checking of settings files."""

from lanedock.errors import ErrorCode
from lanedock.findings import Document, Finding, FindingsError, read_document
from lanedock.findings.schema import check_schema, load_schema
from lanedock.settings.core import (
    Address,
    ControlSettings,
    DaemonSettings,
    EntrySettings,
    Settings,
    TlsSettings,
    TraceSettings,
    UpstreamSettings,
)

__all__ = ["load_settings"]

_SECTIONS = {
    "control": ControlSettings,
    "daemon": DaemonSettings,
    "entry": EntrySettings,
    "tls": TlsSettings,
    "trace": TraceSettings,
    "upstream": UpstreamSettings,
}
_ADDRESSES = ("listen", "relay", "application", "egress", "statsd")


def load_settings(path: str) -> Settings:
    """Read and check a settings file.

    Raises
    ------
    FindingsError
        With every finding.
    """
    document = read_document(path)
    schema = load_schema("lanedock.settings", "schema.json")
    findings = check_schema(document, "lanedock.settings") or _check_relations(document)
    if findings:
        raise FindingsError(findings)
    return _build(document.value, schema)


def _check_relations(document: Document) -> list[Finding]:
    """Check what a schema can't say."""
    value = document.value
    control = value.get("control")
    if control is None:
        return []
    findings = []
    known = control["replicas"].get(value["name"])
    if known is None:
        message = f"the replicas don't name this instance, {value['name']!r}"
        findings.append(Finding(ErrorCode.SCHEMA, message, document.place("/control/replicas")))
    elif known != control["listen"]:
        message = f"the replicas give {known} for this instance, `listen` gives {control['listen']}"
        findings.append(Finding(ErrorCode.SCHEMA, message, document.place("/control/listen")))
    return findings


def _build(value: dict, schema: dict) -> Settings:
    properties = schema["properties"]
    values = _fill(value, properties, Settings.__slots__)
    for name, section in _SECTIONS.items():
        if values[name] is not None:
            values[name] = section(**_fill(values[name], properties[name]["properties"], section.__slots__))
    return Settings(**values)


def _fill(value: dict, properties: dict, names) -> dict:
    """Fill in defaults and turn addresses into objects."""
    filled = {}
    for name in names:
        given = value.get(name, properties[name].get("default"))
        if given is not None:
            given = _convert(name, given)
        filled[name] = given
    return filled


def _convert(name: str, given: object) -> object:
    if name in _ADDRESSES:
        return Address.parse(given)
    if name == "replicas":
        return {replica: Address.parse(text) for replica, text in given.items()}
    if name == "control" and isinstance(given, list):
        return [Address.parse(text) for text in given]
    return given
