# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the caller's side of the request path."""
