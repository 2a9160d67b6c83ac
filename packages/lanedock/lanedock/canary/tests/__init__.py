# SPDX-License-Identifier: BSD-3-Clause
"""Tests of canary releases."""
