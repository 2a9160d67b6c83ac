# SPDX-License-Identifier: BSD-3-Clause
"""lanedockd: the process in every instance's slot and on the control instances."""

__all__: list[str] = []
