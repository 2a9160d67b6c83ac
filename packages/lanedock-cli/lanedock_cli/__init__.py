# SPDX-License-Identifier: BSD-3-Clause
"""lanedock: the operators' command line."""

__all__: list[str] = []
