# SPDX-License-Identifier: BSD-3-Clause
"""What the stable upstreams' answer times say of routes and of moments, whatever the speeds of the upstreams.

Times are logarithms, in half buckets: an answer in bucket `b` has the time `2 b + 1`.
"""

from math import sqrt
from statistics import NormalDist, median

from lanedock.canary.counts import BUCKETS
from lanedock.canary.windows import FIRST_BUCKET, AnswerCounts, UpstreamWindows

__all__ = ["RouteTimes", "StableTimes"]

# Spread of a service's times that is assumed before any were seen, in half buckets, and the answers that it counts for.
USUAL_SPREAD = 3.5
USUAL_SPREAD_WEIGHT = 10.0
# Answers of a route for which the spread of all routes counts in the estimate of its own.
COMMON_SPREAD_WEIGHT = 40.0
# Bounds of the spread of a route's times, in half buckets.
MIN_SPREAD, MAX_SPREAD = 1.5, 8.0
# Answers of the stable version on a route from which its times are compared.
MIN_ROUTE_ANSWERS = 8
# Fraction of a route's answers in the first bucket from which its times are too short to be compared.
MAX_SHORT_FRACTION = 0.5
# Passes of the alternating fit of upstreams, routes and spreads.
FIT_PASSES = 8
# Upper bound of the first bucket, in half buckets.
SHORTEST = 2 * FIRST_BUCKET + 2
# Bounds of the share of times below it and, in spreads, of the distance of an imputed time from it.
MIN_SHARE = 1e-6
MAX_IMPUTED_DISTANCE = 3.0
# Fraction of the answers that are at least taken as independent of the fitted locations.
MIN_FREE_FRACTION = 0.1
# Routes from which the differences between them are shrunk towards 0 by their noise.
MIN_SHRUNK_ROUTES = 4
# Error of a median relative to that of a mean.
MEDIAN_ERROR = 1.25
_STANDARD_NORMAL = NormalDist()


class RouteTimes:
    """Distribution of a route's times around the location of the upstream.

    Parameters
    ----------
    offset : float
        Mean difference from the mean of all routes, in half buckets.
    spread : float
        Standard deviation, in half buckets.
    """

    __slots__ = ("offset", "spread")

    def __init__(self, offset: float, spread: float):
        self.offset = offset
        self.spread = spread

    def __repr__(self) -> str:
        return f"<RouteTimes offset={self.offset:.1f} spread={self.spread:.1f}>"


class _Moments:
    """Number, sum and sum of squares of times; those that are too short to be compared are imputed."""

    __slots__ = ("_known_squares", "_known_total", "_short", "count", "squares", "total")

    def __init__(self, times: list[int]):
        self.count = sum(times)
        self._short = times[FIRST_BUCKET]
        known = [(count, 2 * bucket + 1) for bucket, count in enumerate(times) if bucket > FIRST_BUCKET]
        self._known_total = sum(count * time for count, time in known)
        self._known_squares = sum(count * time**2 for count, time in known)
        short = 2 * FIRST_BUCKET + 1
        self.total = self._known_total + self._short * short
        self.squares = self._known_squares + self._short * short**2

    def impute(self, mean: float, spread: float) -> None:
        """Take the expectations of the short times, if all times are normally distributed."""
        edge = (SHORTEST - mean) / spread
        share = max(MIN_SHARE, _STANDARD_NORMAL.cdf(edge))
        hazard = _STANDARD_NORMAL.pdf(edge) / share
        time = max(SHORTEST - MAX_IMPUTED_DISTANCE * spread, mean - spread * hazard)
        variance = max(0.0, spread**2 * (1 - edge * hazard - hazard**2))
        self.total = self._known_total + self._short * time
        self.squares = self._known_squares + self._short * (time**2 + variance)

    def squares_around(self, centre: float) -> float:
        """Return the sum of squared differences from a time."""
        return self.squares - 2 * centre * self.total + self.count * centre**2


class _Cell:
    """Times of one upstream in one window, by route."""

    __slots__ = ("count", "mean", "number", "routes", "upstream")

    def __init__(self, upstream: str, number: int, routes: dict[str, AnswerCounts]):
        self.upstream = upstream
        self.number = number
        moments = {route: _Moments(counts.times) for route, counts in routes.items()}
        self.routes = {route: moment for route, moment in moments.items() if moment.count}
        self.count = sum(moment.count for moment in self.routes.values())
        self.mean = 0.0

    def fit(self, offsets: dict[str, float]) -> None:
        """Set the mean of the times without the offsets of the routes."""
        total = sum(moment.total - moment.count * offsets[route] for route, moment in self.routes.items())
        self.mean = total / self.count

    def impute(self, offsets: dict[str, float], spreads: dict[str, float]) -> None:
        """Take the expectations of the times that are too short to be compared."""
        for route, moment in self.routes.items():
            moment.impute(self.mean + offsets[route], spreads[route])


class StableTimes:
    """A fit of the stable version's times.

    Parameters
    ----------
    windows : UpstreamWindows
        Answers of the stable upstreams.

    Attributes
    ----------
    routes : dict of str to RouteTimes
        Distribution of the times of each route that has enough answers.
    centre : float
        Median of the locations of the upstreams.
    is_short : bool
        Whether all routes' times are mostly too short to be compared. They then count as equal, so that a version
        shows only that it doesn't exceed them.
    """

    def __init__(self, windows: UpstreamWindows):
        self.routes: dict[str, RouteTimes] = {}
        self.centre = float(BUCKETS)
        self._effects: dict[int, int] = {}
        compared = _find_compared_routes(windows, MAX_SHORT_FRACTION)
        self.is_short = not compared
        if self.is_short:
            compared = _find_compared_routes(windows, 1.0)
        cells = [
            _Cell(upstream, number, {route: counts for route, counts in routes.items() if route in compared})
            for upstream, numbers in windows.upstreams.items()
            for number, routes in numbers.items()
        ]
        cells = [cell for cell in cells if cell.count]
        if cells:
            self._fit_routes(cells)
            self._fit_windows(cells)

    def __repr__(self) -> str:
        return f"<StableTimes centre={self.centre:.1f} routes={self.routes}>"

    def effect(self, window: int) -> int:
        """Return by how much all upstreams were slower in a window than usual, in half buckets."""
        return self._effects.get(window, 0)

    def _fit_routes(self, cells: list[_Cell]) -> None:
        counts: dict[str, int] = {}
        for cell in cells:
            for route, moment in cell.routes.items():
                counts[route] = counts.get(route, 0) + moment.count
        offsets = dict.fromkeys(counts, 0.0)
        spreads = dict.fromkeys(counts, USUAL_SPREAD)
        common = USUAL_SPREAD**2
        for _ in range(FIT_PASSES):
            offsets = _fit_offsets(cells, counts, offsets)
            spreads, common = _fit_spreads(cells, counts, offsets)
            if self.is_short:
                continue
            for cell in cells:
                cell.impute(offsets, spreads)
        shrinkage = _find_shrinkage(offsets, counts, common)
        self.routes = {route: RouteTimes(shrinkage * offsets[route], spreads[route]) for route in counts}

    def _fit_windows(self, cells: list[_Cell]) -> None:
        """Estimate the upstreams' common location, and the effects of windows as medians over upstreams."""
        means: dict[str, list[float]] = {}
        for cell in cells:
            means.setdefault(cell.upstream, []).append(cell.mean)
        locations = {upstream: median(values) for upstream, values in means.items()}
        self.centre = median(locations.values())
        by_window: dict[int, list[_Cell]] = {}
        for cell in cells:
            by_window.setdefault(cell.number, []).append(cell)
        for number, members in by_window.items():
            effect = median(cell.mean - locations[cell.upstream] for cell in members)
            error = MEDIAN_ERROR * USUAL_SPREAD / sqrt(sum(cell.count for cell in members))
            self._effects[number] = round(effect**3 / (effect**2 + error**2))


def _find_compared_routes(windows: UpstreamWindows, max_short: float) -> set[str]:
    """Return the routes that have enough answers, and no more than a fraction of them in the first bucket."""
    routes = set()
    for route, counts in windows.sum_all().items():
        total = sum(counts.times)
        if total >= MIN_ROUTE_ANSWERS and counts.times[FIRST_BUCKET] <= max_short * total:
            routes.add(route)
    return routes


def _fit_offsets(cells: list[_Cell], counts: dict[str, int], offsets: dict[str, float]) -> dict[str, float]:
    """Return better offsets of the routes, and set the cells' means (a two-way additive fit)."""
    sums = dict.fromkeys(counts, 0.0)
    for cell in cells:
        cell.fit(offsets)
        for route, moment in cell.routes.items():
            sums[route] += moment.total - moment.count * cell.mean
    common = sum(sums.values()) / sum(counts.values())
    return {route: sums[route] / counts[route] - common for route in counts}


def _fit_spreads(
    cells: list[_Cell], counts: dict[str, int], offsets: dict[str, float]
) -> tuple[dict[str, float], float]:
    """Return the routes' spreads, and the variance of all routes."""
    squares = dict.fromkeys(counts, 0.0)
    for cell in cells:
        for route, moment in cell.routes.items():
            squares[route] += moment.squares_around(cell.mean + offsets[route])
    total = sum(counts.values())
    free = max(MIN_FREE_FRACTION, 1 - (len(cells) + len(counts) - 1) / total)
    common = (USUAL_SPREAD_WEIGHT * USUAL_SPREAD**2 + sum(squares.values())) / (USUAL_SPREAD_WEIGHT + free * total)
    spreads = {}
    for route, count in counts.items():
        variance = (COMMON_SPREAD_WEIGHT * common + squares[route]) / (COMMON_SPREAD_WEIGHT + free * count)
        spreads[route] = min(MAX_SPREAD, max(MIN_SPREAD, sqrt(variance)))
    return spreads, common


def _find_shrinkage(offsets: dict[str, float], counts: dict[str, int], variance: float) -> float:
    """Return the factor of the offsets that minimizes their expected error.

    References
    ----------
    James, W. and Stein, C., "Estimation with Quadratic Loss", 1961.
    """
    if len(offsets) < MIN_SHRUNK_ROUTES:
        return 1.0
    signal = sum(counts[route] * offset**2 for route, offset in offsets.items()) / variance
    return max(0.0, 1 - (len(offsets) - MIN_SHRUNK_ROUTES + 1) / signal) if signal else 0.0
