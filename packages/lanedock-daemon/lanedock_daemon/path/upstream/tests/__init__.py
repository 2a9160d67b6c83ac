# SPDX-License-Identifier: BSD-3-Clause
"""Tests of what both sides of the request path share."""
