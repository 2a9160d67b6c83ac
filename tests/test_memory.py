# SPDX-License-Identifier: BSD-3-Clause
"""What a process holds that it doesn't need.

A daemon stands in each upstream's slot, where 36 MB were resident, of the 32 that it is to take.
Of these 3.6 MB were OpenSSL's library, loaded for a faster SHA-256, 2 MB a thread with a heap of
its own, by which addresses were resolved that are numbers already, and 1.3 MB modules for files in
archives, by which a file was found that lies beside the program.
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


def _read(platform: PlatformProcesses, ip: str, name: str) -> str:
    return Path(f"/proc/{platform.processes[ip].pid}/{name}").read_text(encoding="utf-8")


def test_no_process_loads_openssl_where_it_has_no_tls(platform):
    for ip in (*platform.controls, *platform.daemons):
        assert "libcrypto" not in _read(platform, ip, "maps")


def test_no_process_loads_what_reads_archives(platform):
    for ip in (*platform.controls, *platform.daemons):
        assert "_lzma" not in _read(platform, ip, "maps")


def test_a_daemon_that_connects_to_addresses_has_one_thread(platform):
    for ip in platform.daemons:
        (threads,) = (line for line in _read(platform, ip, "status").splitlines() if line.startswith("Threads:"))
        assert threads.split() == ["Threads:", "1"]
