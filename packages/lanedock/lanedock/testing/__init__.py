# SPDX-License-Identifier: BSD-3-Clause
"""Stand-in applications, load generation and local meshes, for tests and for embedders."""

from lanedock.testing.upstream import StandInUpstream, UpstreamBehaviour

__all__ = ["StandInUpstream", "UpstreamBehaviour"]
