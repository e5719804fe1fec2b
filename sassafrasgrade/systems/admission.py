"""Sheds load by class when an entry host runs short of processor time."""

from dataclasses import dataclass

# Share of one core above which requests are refused early.
BUSY_SHARE = 0.85
# Factors by which the admitted rate changes in each window.
RATE_DECREASE = 0.9
RATE_INCREASE = 1.1
# Requests a second admitted even if refusals alone keep the processor busy.
MIN_ADMITTED_RATE = 200.0


@dataclass(slots=True)
class ClassDemand:
    """Arrivals of one class in this window and its admitted fraction."""

    weight: int = 1
    arrivals: int = 0
    admitted_fraction: float = 1.0
    credit: float = 0.0


def share_rate(rate, demands):
    """Divides a rate among classes by weight and redistributes unused shares.

    Args:
        rate: Requests a second to divide.
        demands: (demanded rate, weight) by class.

    Returns:
        Granted rate by class, never above its demand.
    """
    granted = {}
    open_classes = dict(demands)
    left = rate
    while open_classes:
        weights = sum(weight for _, weight in open_classes.values())
        satisfied = {
            key: demand
            for key, (demand, weight) in open_classes.items()
            if demand <= left * weight / weights
        }
        if not satisfied:
            for key, (_, weight) in open_classes.items():
                granted[key] = left * weight / weights
            return granted
        for key, demand in satisfied.items():
            granted[key] = demand
            left -= demand
            del open_classes[key]
    return granted


class ProcessorAdmission:
    """Admits requests by class so that the processor is not overloaded.

    While the processor is below ``BUSY_SHARE``, every request is admitted. Above
    it, the admitted rate falls window by window and is divided among classes by
    weight, so that a flood in one class is refused without refusing the others.
    """

    def __init__(self):
        self._demands_by_class = {}
        self._rate = None

    @property
    def is_shedding(self):
        """Whether some requests are refused."""
        return self._rate is not None

    def admits(self, class_key, weight):
        """Counts an arrival; returns whether it is admitted.

        Args:
            class_key: Class of the request, over all pools.
            weight: Guaranteed share of the class.
        """
        demand = self._demands_by_class.get(class_key)
        if demand is None:
            demand = self._demands_by_class[class_key] = ClassDemand(weight)
        demand.arrivals += 1
        demand.weight = weight
        if demand.admitted_fraction >= 1.0:
            return True
        # Spaces admissions evenly: one each time the fractions add up to 1.
        demand.credit += demand.admitted_fraction
        if demand.credit < 1.0:
            return False
        demand.credit -= 1.0
        return True

    def tick(self, busy_share, window_s):
        """Ends a window and sets the admitted fraction of each class.

        Args:
            busy_share: Share of one core that the process used in the window.
            window_s: Length of the window in seconds.
        """
        rates = {
            key: (demand.arrivals / window_s, demand.weight)
            for key, demand in self._demands_by_class.items()
        }
        total = sum(rate for rate, _ in rates.values())
        self._update_rate(busy_share, total, rates)
        granted = None if self._rate is None else share_rate(self._rate, rates)
        for key, demand in self._demands_by_class.items():
            demand.admitted_fraction = 1.0
            if granted is not None and demand.arrivals:
                demand.admitted_fraction = granted[key] / rates[key][0]
            demand.arrivals = 0

    def _update_rate(self, busy_share, total, rates):
        if busy_share >= BUSY_SHARE:
            admitted = sum(
                rate * self._demands_by_class[key].admitted_fraction
                for key, (rate, _) in rates.items()
            )
            lowered = min(admitted, self._rate or admitted) * RATE_DECREASE
            self._rate = max(MIN_ADMITTED_RATE, lowered)
        elif self._rate is not None:
            self._rate *= RATE_INCREASE
            if self._rate >= total:
                self._rate = None
