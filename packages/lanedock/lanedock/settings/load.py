# SPDX-License-Identifier: BSD-3-Clause
"""Reading and validation of settings files."""

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
_ADDRESS_SETTINGS = (
    "listen",
    "relay",
    "application",
    "egress",
    "statsd",
    "ready",
    "registration",
    "operators",
    "metrics",
)


def load_settings(path: str, is_generated: bool = False) -> Settings:
    """Read and validate a settings file.

    Parameters
    ----------
    path : str
    is_generated : bool
        Whether a program made the file from validated values. The schema is then
        checked only if the file can't be used, because the schema library takes
        a third of a second to load on a small instance.

    Returns
    -------
    Settings

    Raises
    ------
    FindingsError
        The file is unreadable or invalid; the error has all findings.
    """
    document = read_document(path)
    schema = load_schema("lanedock.settings", "schema.json")
    if is_generated:
        try:
            return _build(document.value, schema)
        except (KeyError, TypeError, ValueError, AttributeError):
            pass  # the schema check below reports the errors with their positions
    findings = check_schema(document, "lanedock.settings") or _check_relations(document)
    if findings:
        raise FindingsError(findings)
    return _build(document.value, schema)


def _check_relations(document: Document) -> list[Finding]:
    """Check constraints between settings that a schema can't express."""
    value = document.value
    control = value.get("control")
    findings = []
    if control is not None and "seeds" in control and value.get("transport", "grpc") != "framed":
        message = "`seeds` requires the transport `framed`"
        findings.append(Finding(ErrorCode.SCHEMA, message, document.place("/control/seeds")))
    if control is None or "replicas" not in control:
        return findings
    known = control["replicas"].get(value["name"])
    if known is None:
        message = f"`replicas` does not name this instance, {value['name']!r}"
        findings.append(Finding(ErrorCode.SCHEMA, message, document.place("/control/replicas")))
    elif known != control["listen"]:
        message = f"`replicas` gives the address {known} for this instance, but `listen` gives {control['listen']}"
        findings.append(Finding(ErrorCode.SCHEMA, message, document.place("/control/listen")))
    return findings


def _build(value: dict, schema: dict) -> Settings:
    properties = schema["properties"]
    values = _fill_defaults(value, properties, Settings.__slots__)
    for name, section in _SECTIONS.items():
        if values[name] is not None:
            values[name] = section(**_fill_defaults(values[name], properties[name]["properties"], section.__slots__))
    settings = Settings(**values)
    if settings.mesh_port is not None:
        _apply_mesh_port(settings)
    return settings


def _apply_mesh_port(settings: Settings) -> None:
    """Replace the ports of control instances by `mesh_port`, at which they serve lanedock's processes."""
    for section, name in ((settings.control, "seeds"), (settings.daemon, "control")):
        if section is not None and getattr(section, name):
            addresses = [Address(address.host, settings.mesh_port) for address in getattr(section, name)]
            setattr(section, name, addresses)


def _fill_defaults(value: dict, properties: dict, names) -> dict:
    """Fill in defaults and convert values to their types."""
    if unknown := set(value) - set(names):
        raise TypeError(f"unknown settings {sorted(unknown)}")
    filled = {}
    for name in names:
        setting = value.get(name, properties[name].get("default"))
        if setting is not None:
            setting = _convert(name, setting)
        filled[name] = setting
    return filled


def _convert(name: str, value: object) -> object:
    if name in _ADDRESS_SETTINGS:
        return Address.parse(value)
    if name == "replicas":
        return {replica: Address.parse(text) for replica, text in value.items()}
    if name in ("control", "seeds") and isinstance(value, list):
        return [Address.parse(text) for text in value]
    return value
