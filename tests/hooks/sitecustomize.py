# SPDX-License-Identifier: BSD-3-Clause
"""Puts into each process that is started with this folder on its path what a test does to instances."""

import severable_links
import suspendable_clocks

suspendable_clocks.install()
severable_links.install()
