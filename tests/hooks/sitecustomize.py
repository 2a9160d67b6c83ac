# SPDX-License-Identifier: BSD-3-Clause
"""Installs the test hooks in each Python process that has this folder on its path."""

import early_close
import severable_links
import suspendable_clocks

suspendable_clocks.install()
severable_links.install()
early_close.install()
