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
_ADDRESSES = ("listen", "relay", "application", "egress", "statsd", "ready", "registration", "operators", "metrics")


def load_settings(path: str, is_made: bool = False) -> Settings:
    """Read and check a settings file.

    Parameters
    ----------
    path : str
    is_made : bool
        Whether a program made the file from checked values. The schema library
        takes a third of a second to load on a small instance, so it is then
        asked only where the file can't be used.

    Raises
    ------
    FindingsError
        With every finding.
    """
    document = read_document(path)
    schema = load_schema("lanedock.settings", "schema.json")
    if is_made:
        try:
            return _build(document.value, schema)
        except (KeyError, TypeError, ValueError, AttributeError):
            pass  # the schema says below what is wrong, and where
    findings = check_schema(document, "lanedock.settings") or _check_relations(document)
    if findings:
        raise FindingsError(findings)
    return _build(document.value, schema)


def _check_relations(document: Document) -> list[Finding]:
    """Check what a schema can't say."""
    value = document.value
    control = value.get("control")
    findings = []
    if control is not None and "seeds" in control and value.get("transport", "grpc") != "framed":
        message = "control instances that find each other by `seeds` need the transport `framed`"
        findings.append(Finding(ErrorCode.SCHEMA, message, document.place("/control/seeds")))
    if control is None or "replicas" not in control:
        return findings
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
    settings = Settings(**values)
    if settings.mesh_port is not None:
        _set_ports(settings)
    return settings


def _set_ports(settings: Settings) -> None:
    """Put the port by which lanedock's processes talk in place of those given."""
    for section, name in ((settings.control, "seeds"), (settings.daemon, "control")):
        if section is not None and getattr(section, name):
            addresses = [Address(address.host, settings.mesh_port) for address in getattr(section, name)]
            setattr(section, name, addresses)


def _fill(value: dict, properties: dict, names) -> dict:
    """Fill in defaults and turn addresses into objects."""
    if unknown := set(value) - set(names):
        raise TypeError(f"unknown settings {sorted(unknown)}")
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
    if name in ("control", "seeds") and isinstance(given, list):
        return [Address.parse(text) for text in given]
    return given
