"""Estimates what jobs use, per team and kind, from declarations and past reports."""

import math
from dataclasses import dataclass, field

from sassafrasgrade.jobs import Size

SMOOTHING = 0.1
DEVIATIONS = 2.0
# Reports after which the estimate replaces the declared size.
TRUSTED_REPORTS = 3
MIN_CORES = 0.01
MIN_MEMORY_MB = 1.0


@dataclass(slots=True)
class Smoothed:
    """Smoothed logarithm of a value and its mean deviation."""

    mean: float = 0.0
    deviation: float = 0.0
    reports: int = 0

    def add(self, value):
        """Adds one value."""
        logarithm = math.log(value)
        if not self.reports:
            self.mean = logarithm
        error = logarithm - self.mean
        self.mean += SMOOTHING * error
        self.deviation += SMOOTHING * (abs(error) - self.deviation)
        self.reports += 1

    @property
    def upper(self):
        """Value that few observations exceed."""
        return math.exp(self.mean + DEVIATIONS * self.deviation)


@dataclass(slots=True)
class Predictor:
    """Predicts one resource, as a ratio to the declared amount or absolutely.

    The estimate that has varied less so far is used: the ratio is steady for a team
    that declares everything five times too large, but not for one that guesses.
    """

    ratio: Smoothed = field(default_factory=Smoothed)
    absolute: Smoothed = field(default_factory=Smoothed)

    def add_report(self, used, declared):
        """Adds the usage of one report."""
        self.ratio.add(used / declared)
        self.absolute.add(used)

    def predict(self, declared):
        """Returns the amount to reserve."""
        if self.ratio.deviation <= self.absolute.deviation:
            return declared * self.ratio.upper
        return self.absolute.upper


class LearnedSizes:
    """Estimates job sizes from declarations and lagging usage reports."""

    def __init__(self):
        self._cores_by_key = {}
        self._memory_by_key = {}

    def record_usage(self, spec, used):
        """Adds the reported usage of a running job."""
        key = spec.size_key
        cores = self._cores_by_key.setdefault(key, Predictor())
        memory = self._memory_by_key.setdefault(key, Predictor())
        cores.add_report(
            max(used.cores, MIN_CORES), max(spec.declared.cores, MIN_CORES)
        )
        memory.add_report(
            max(used.memory_mb, MIN_MEMORY_MB),
            max(spec.declared.memory_mb, MIN_MEMORY_MB),
        )

    def is_trusted(self, spec):
        """Whether there are enough reports of jobs of the same team and kind."""
        found = self._cores_by_key.get(spec.size_key)
        return found is not None and found.ratio.reports >= TRUSTED_REPORTS

    def estimate(self, spec):
        """Returns the size to reserve: as declared until the estimate is trusted."""
        if not self.is_trusted(spec):
            return spec.declared
        key = spec.size_key
        return Size(
            self._cores_by_key[key].predict(spec.declared.cores),
            self._memory_by_key[key].predict(spec.declared.memory_mb),
        )
