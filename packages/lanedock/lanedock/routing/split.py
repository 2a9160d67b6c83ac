# SPDX-License-Identifier: BSD-3-Clause
"""Weighted traffic splits of a route among services."""

from random import Random

from lanedock.config import Route

__all__ = ["choose_service"]


def choose_service(route: Route, rng: Random) -> str:
    """Return the name of the service that a request of a route is sent to.

    Parameters
    ----------
    route : Route
    rng : random.Random
        Makes the weighted random choice if the route has a split.
    """
    if not route.split:
        return route.service
    parts = route.split
    return rng.choices(parts, [part.weight for part in parts])[0].service
