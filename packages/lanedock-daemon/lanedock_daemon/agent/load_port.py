# SPDX-License-Identifier: BSD-3-Clause
"""Whether a daemon answers load probes, and at which port."""

from lanedock.membership import UpstreamRegistration
from lanedock.settings import UpstreamSettings

__all__ = ["published_load_port"]

# Rate of a daemon's link, in Mbit/s, up to which it paces bodies and long answers, so that requests for them
# depend on what its link has to send; the same as `lanedock.limits.bodies.MAX_PACED_RATE`.
NARROW_LINK_MBPS = 10.0


def published_load_port(settings: UpstreamSettings, registration: UpstreamRegistration) -> int:
    """Return the UDP port at which a daemon answers load probes; 0 if it answers none.

    Probes cost messages, so they are answered only where load changes faster than answers show:
    at applications that state their pace, and behind narrow links.
    """
    is_narrow = settings.link_mbps is not None and settings.link_mbps <= NARROW_LINK_MBPS
    if not (is_narrow or registration.has_stated_pace):
        return 0
    return settings.load_port or 0
