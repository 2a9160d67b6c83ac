# SPDX-License-Identifier: BSD-3-Clause
"""The pace that an application states, as far as observed service times bear it out."""

import math

__all__ = ["PACE_BOUNDS", "StatedPace"]

# Bounds of a stated pace, as multiples of the usual service time: a wrong one must not stop all
# requests to an upstream, nor let it promise what it cannot keep.
PACE_BOUNDS = (0.2, 5.0)
# Weight of the newest request in the moving averages. A slope found from about 100 requests is exact
# enough where single service times vary by a factor of 2.
_SMOOTHING = 0.01
# Regularization of the regression: the weight of the initial assumption that service times follow the
# stated pace, as a variance of the logarithm of the pace. The observed slope dominates once stated paces
# vary by more than its square root, about 15 %.
_PRIOR_VARIANCE = 0.02
# Kinds of requests whose service times are kept, to bound the memory used.
_MAX_KINDS = 1024


class StatedPace:
    """Factor by which service times differ from the usual ones at the moment.

    The factor is the stated pace to the power of a trust between 0 and 1: the slope of a linear
    regression of the logarithms of service times on those of the paces stated with them. A pace
    that service times do not follow thus loses its effect. Does no I/O and reads no clock.

    Attributes
    ----------
    factor : float
        1 if no pace is stated.
    trust : float
        0 to 1.
    """

    def __init__(self):
        self.factor = 1.0
        self.trust = 1.0
        self._pace: float | None = None
        self._log_times: dict[str, float] = {}
        self._mean = 0.0
        self._variance = 0.0
        self._covariance = 0.0
        self._has_observed = False

    def __repr__(self) -> str:
        return f"<StatedPace factor={self.factor:.2f} trust={self.trust:.2f}>"

    @property
    def is_stated(self) -> bool:
        """Whether the application states a pace."""
        return self._pace is not None

    def state(self, pace: float | None) -> None:
        """Set the pace that the application states, as a multiple of the usual service time; None for no statement."""
        if pace == self._pace:
            return
        self._pace = None if pace is None else min(max(pace, PACE_BOUNDS[0]), PACE_BOUNDS[1])
        self._update_factor()

    def note(self, kind: str, duration: float) -> None:
        """Compare the service time of a request, in seconds, with the pace that is stated now."""
        if self._pace is None or duration <= 0:
            return
        log_time, log_pace = math.log(duration), math.log(self._pace)
        if not self._has_observed:
            self._has_observed, self._mean = True, log_pace
        usual = self._log_times.get(kind)
        if usual is None:
            if len(self._log_times) >= _MAX_KINDS:
                self._log_times.clear()
            usual = log_time
        deviation = log_pace - self._mean
        self._variance += _SMOOTHING * (deviation * deviation - self._variance)
        self._covariance += _SMOOTHING * (deviation * (log_time - usual) - self._covariance)
        self._mean += _SMOOTHING * deviation
        self._log_times[kind] = usual + _SMOOTHING * (log_time - usual)
        slope = (self._covariance + _PRIOR_VARIANCE) / (self._variance + _PRIOR_VARIANCE)
        self.trust = min(max(slope, 0.0), 1.0)
        self._update_factor()

    def _update_factor(self) -> None:
        self.factor = 1.0 if self._pace is None else self._pace**self.trust
