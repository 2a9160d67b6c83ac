# SPDX-License-Identifier: BSD-3-Clause
"""Errors of the replicated log."""

from lanedock.errors import LanedockError

__all__ = ["StorageError"]


class StorageError(LanedockError):
    """The disk refuses a call, or the stored log is corrupt.

    With `ErrorCode.DISK_FAILED` the call may succeed later; the message names the call and the file.
    """
