# SPDX-License-Identifier: BSD-3-Clause
"""Coordination parts of lanedock, for its own daemons and for embedding."""

__all__ = ["__version__"]

__version__ = "0.1.0"
