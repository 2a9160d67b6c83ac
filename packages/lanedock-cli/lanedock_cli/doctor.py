# SPDX-License-Identifier: BSD-3-Clause
"""Checks of an instance's environment before its process starts, based on its settings."""

import os
import shutil
import socket
import tempfile
import time

from lanedock.errors import ErrorCode, LanedockError
from lanedock.membership import make_platform_list
from lanedock.settings import Address, Settings

__all__ = ["Check", "run_checks"]

# Seconds.
CONNECT_TIMEOUT = 1.0
# Seconds that a sync of the data folder may take.
MAX_SYNC_TIME = 0.1
SYNC_ROUNDS = 5
# POSIX time, in seconds (14 November 2023); an earlier clock has not been set.
EARLIEST_CLOCK = 1_700_000_000


class Check:
    """Result of one check.

    Parameters
    ----------
    subject : str
        What was checked, such as a setting or a peer.
    passed : bool
    detail : str
        Observed state, or the reason of the failure.
    code : ErrorCode or None
        Of a failure.
    """

    __slots__ = ("code", "detail", "passed", "subject")

    def __init__(self, subject: str, passed: bool, detail: str, code: ErrorCode | None = None):
        self.subject = subject
        self.passed = passed
        self.detail = detail
        self.code = code

    def __repr__(self) -> str:
        return f"<Check {self.subject} {'passed' if self.passed else 'failed'}: {self.detail}>"


def run_checks(settings: Settings) -> list[Check]:
    """Check the clock, addresses, peers, data folder, platform list and TLS files; return all results."""
    checks = [_check_clock()]
    for name, address in _listen_addresses(settings):
        checks.append(_check_address(name, address))
    for name, address in _peer_addresses(settings):
        checks.append(_check_peer(name, address))
    if settings.control is not None:
        checks.append(_check_folder(settings.control.data_folder))
        if os.path.isdir(settings.control.data_folder):
            checks.append(_check_space(settings.control.data_folder, settings.control.compact_bytes))
        checks.append(_check_platform_list(settings.control.platform_list))
    if settings.tls is not None:
        checks.append(_check_tls(settings))
    return checks


def _listen_addresses(settings: Settings) -> list[tuple[str, Address]]:
    found = []
    if settings.control is not None:
        found.append(("control.listen", settings.control.listen))
    if settings.daemon is not None and settings.daemon.relay is not None:
        found.append(("daemon.relay", settings.daemon.relay))
    if settings.entry is not None:
        found.append(("entry.listen", settings.entry.listen))
    if settings.upstream is not None:
        found.append(("upstream.listen", settings.upstream.listen))
        if settings.upstream.egress is not None:
            found.append(("upstream.egress", settings.upstream.egress))
    return found


def _peer_addresses(settings: Settings) -> list[tuple[str, Address]]:
    found = []
    if settings.control is not None:
        others = settings.control.replicas.items()
        found += [(f"replica {name}", address) for name, address in others if name != settings.name]
    if settings.daemon is not None:
        found += [(f"control {number}", address) for number, address in enumerate(settings.daemon.control)]
    if settings.upstream is not None:
        found.append(("application", settings.upstream.application))
    return found


def _check_clock() -> Check:
    now = time.time()
    return Check("clock", now > EARLIEST_CLOCK, time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(now)) + " UTC")


def _check_address(name: str, address: Address) -> Check:
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    with socket.socket(family) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((address.host, address.port))
        except OSError as exc:
            return Check(name, False, f"{address}: {exc.strerror}", ErrorCode.ADDRESS_TAKEN)
    return Check(name, True, f"{address} is free")


def _check_peer(name: str, address: Address) -> Check:
    try:
        socket.create_connection((address.host, address.port), CONNECT_TIMEOUT).close()
    except OSError as exc:
        return Check(name, False, f"{address}: {exc.strerror or exc}", ErrorCode.CONNECT_FAILED)
    return Check(name, True, f"{address} accepts connections")


def _check_folder(path: str) -> Check:
    """Write and sync a temporary file `SYNC_ROUNDS` times, and time each sync."""
    try:
        os.makedirs(path, exist_ok=True)
        times = []
        with tempfile.NamedTemporaryFile(dir=path) as file:
            for _ in range(SYNC_ROUNDS):
                started = time.monotonic()
                file.write(b"." * 512)
                file.flush()
                os.fsync(file.fileno())
                times.append(time.monotonic() - started)
    except OSError as exc:
        return Check("data folder", False, f"{path}: {exc.strerror}", ErrorCode.DISK_FAILED)
    slowest = max(times)
    detail = f"{path} syncs in up to {slowest * 1000:.1f} ms"
    return Check(
        "data folder", slowest < MAX_SYNC_TIME, detail, None if slowest < MAX_SYNC_TIME else ErrorCode.DISK_FAILED
    )


def _check_space(path: str, compact_bytes: int) -> Check:
    """Check that two logs fit, as a start and a compaction write the whole log beside the present one."""
    needed = 2 * compact_bytes
    try:
        free = shutil.disk_usage(path).free
    except OSError as exc:
        return Check("free space", False, f"{path}: {exc.strerror}", ErrorCode.DISK_FAILED)
    detail = f"{path} has {free / 1e6:.0f} MB free; the log needs {needed / 1e6:.0f} MB"
    return Check("free space", free >= needed, detail, None if free >= needed else ErrorCode.DISK_FAILED)


def _check_platform_list(address: str) -> Check:
    try:
        instances = make_platform_list(address).read()
    except LanedockError as exc:
        return Check("platform list", False, str(exc), exc.code)
    return Check("platform list", True, f"{len(instances)} instances")


def _check_tls(settings: Settings) -> Check:
    for path in (settings.tls.certificate, settings.tls.key, settings.tls.authority):
        if not os.access(path, os.R_OK):
            return Check("tls", False, f"{path} is not readable", ErrorCode.NOT_AUTHENTIC)
    return Check("tls", True, "certificate, key and authority are readable")
