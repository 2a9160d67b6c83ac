# SPDX-License-Identifier: BSD-3-Clause
"""The division of a route's requests among services."""

from random import Random

from lanedock.config import Route

__all__ = ["choose_service"]


def choose_service(route: Route, rng: Random) -> str:
    """Return the service that takes a request of a route.

    Parameters
    ----------
    route : Route
    rng : random.Random
        Divides the requests of a split by its weights.
    """
    if not route.split:
        return route.service
    parts = route.split
    return rng.choices(parts, [part.weight for part in parts])[0].service
