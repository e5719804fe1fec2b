"""Learns how much jobs use, per team and kind, from declarations and reports."""

import math
from dataclasses import dataclass, field

from sassafrasgrade.jobs import Size

SMOOTHING = 0.1
DEVIATIONS = 2.0
# Reports after which what was learned is trusted against the declaration.
TRUSTED_REPORTS = 3
SMALLEST_CORES = 0.01
SMALLEST_MEMORY_MB = 1.0


@dataclass(slots=True)
class Smoothed:
    """Smoothed logarithm of a value and its mean deviation."""

    mean: float = 0.0
    deviation: float = 0.0
    reports: int = 0

    def learn(self, value):
        """Learns from one value."""
        logarithm = math.log(value)
        if not self.reports:
            self.mean = logarithm
        error = logarithm - self.mean
        self.mean += SMOOTHING * error
        self.deviation += SMOOTHING * (abs(error) - self.deviation)
        self.reports += 1

    @property
    def upper(self):
        """Value that few exceed."""
        return math.exp(self.mean + DEVIATIONS * self.deviation)


@dataclass(slots=True)
class Predictor:
    """Predicts one resource: by the ratio to the declaration, or absolutely.

    Whichever was steadier so far is used: a team that declares everything five
    times too large is steady in the ratio, one that guesses is not.
    """

    ratio: Smoothed = field(default_factory=Smoothed)
    absolute: Smoothed = field(default_factory=Smoothed)

    def learn(self, used, declared):
        """Learns from one report."""
        self.ratio.learn(used / declared)
        self.absolute.learn(used)

    def predict(self, declared):
        """Returns the amount to reserve."""
        if self.ratio.deviation <= self.absolute.deviation:
            return declared * self.ratio.upper
        return self.absolute.upper


class LearnedSizes:
    """Estimates sizes from declarations and lagging usage."""

    def __init__(self):
        self._cores_by_key = {}
        self._memory_by_key = {}

    def learn(self, spec, used):
        """Learns from the size that a running job uses."""
        key = spec.size_key
        cores = self._cores_by_key.setdefault(key, Predictor())
        memory = self._memory_by_key.setdefault(key, Predictor())
        cores.learn(
            max(used.cores, SMALLEST_CORES), max(spec.declared.cores, SMALLEST_CORES)
        )
        memory.learn(
            max(used.memory_mb, SMALLEST_MEMORY_MB),
            max(spec.declared.memory_mb, SMALLEST_MEMORY_MB),
        )

    def is_trusted(self, spec):
        """Whether enough was learned about jobs like this one."""
        found = self._cores_by_key.get(spec.size_key)
        return found is not None and found.ratio.reports >= TRUSTED_REPORTS

    def estimate(self, spec):
        """Returns the size to reserve; the declared one while little is known."""
        if not self.is_trusted(spec):
            return spec.declared
        key = spec.size_key
        return Size(
            self._cores_by_key[key].predict(spec.declared.cores),
            self._memory_by_key[key].predict(spec.declared.memory_mb),
        )
