#!/usr/bin/env bash
# SPDX-License-Identifier: BSD-3-Clause
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
exec python3 -B case.py
