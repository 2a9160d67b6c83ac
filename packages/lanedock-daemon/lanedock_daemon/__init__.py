# SPDX-License-Identifier: BSD-3-Clause
"""The process lanedockd, which runs on every instance and on the control instances."""

__all__: list[str] = []
