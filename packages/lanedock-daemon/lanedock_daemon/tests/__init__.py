# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the process and its transports."""
