# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the checks of an instance's environment."""

import shutil

import pytest

from lanedock.errors import ErrorCode
from lanedock_cli import doctor


@pytest.mark.parametrize(("free", "passed"), [(7_999_999, False), (8_000_000, True)])
def test_a_disk_has_to_have_space_for_a_second_log(tmp_path, monkeypatch, free, passed):
    usage = shutil.disk_usage(tmp_path)
    monkeypatch.setattr(shutil, "disk_usage", lambda path: usage._replace(free=free))
    check = doctor._check_space(str(tmp_path), 4_000_000)
    assert check.passed is passed
    assert check.code is (None if passed else ErrorCode.DISK_FAILED)
    assert str(tmp_path) in check.detail
