# SPDX-License-Identifier: BSD-3-Clause
"""Tests that processes load no libraries and start no threads that they do not need.

A daemon runs in the slot of each upstream and may take 32 MB; 36 MB were resident. Of these, 3.6 MB were
the OpenSSL library, loaded for a faster SHA-256; 2 MB were a thread with its own heap that resolved
addresses which are already numeric; and 1.3 MB were modules that read archives, loaded to find a file
next to the program.
"""

from pathlib import Path

import pytest
from platform_processes import PlatformProcesses

from lanedock_platform.tests.test_translation import make_configuration


@pytest.fixture(scope="module")
def platform(tmp_path_factory):
    processes = PlatformProcesses(tmp_path_factory.mktemp("platform"))
    try:
        processes.start_ready(make_configuration(4, 0))
        assert processes.request(processes.daemons[0], "id-1")[0] == 200
        yield processes
    finally:
        processes.stop()


def _read_proc_file(platform: PlatformProcesses, ip: str, name: str) -> str:
    return Path(f"/proc/{platform.processes[ip].pid}/{name}").read_text(encoding="utf-8")


def test_processes_without_tls_do_not_load_openssl(platform):
    for ip in (*platform.controls, *platform.daemons):
        assert "libcrypto" not in _read_proc_file(platform, ip, "maps")


def test_processes_do_not_load_archive_libraries(platform):
    for ip in (*platform.controls, *platform.daemons):
        assert "_lzma" not in _read_proc_file(platform, ip, "maps")


def test_daemon_that_connects_to_numeric_addresses_has_one_thread(platform):
    for ip in platform.daemons:
        (threads,) = (
            line for line in _read_proc_file(platform, ip, "status").splitlines() if line.startswith("Threads:")
        )
        assert threads.split() == ["Threads:", "1"]
