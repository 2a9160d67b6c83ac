# SPDX-License-Identifier: BSD-3-Clause
"""Quotas of customers: the control instance's grants of credits, and the daemon's use of them."""
