# SPDX-License-Identifier: BSD-3-Clause
"""Stand-ins for what lies around lanedock, for tests and for embedders."""

from lanedock.testing.upstream import StandInUpstream, UpstreamBehaviour

__all__ = ["StandInUpstream", "UpstreamBehaviour"]
