"""Decides which manager of a data centre reads the platform."""

from dataclasses import dataclass

from sassafrasgrade.rendezvous import rank_names

NEVER_S = 1e9


@dataclass(frozen=True, slots=True)
class ManagerView:
    """What is known of one manager of the own data centre.

    Attributes:
        name: Host name.
        heard_age_s: Seconds since its last heartbeat.
        platform_age_s: Seconds since the platform answered it.
        reading: Whether it says that it reads.
    """

    name: str
    heard_age_s: float
    platform_age_s: float
    reading: bool


def should_read(own_name, views, silence_s, jitter_s):
    """Decides whether this manager reads the platform.

    The first in the rendezvous ranking of the live managers reads. Others read
    too when no reader has had an answer from the platform for ``silence_s`` plus
    their own jitter: two readers cost only calls, none would cost freshness.

    Args:
        own_name: Name of this manager's host.
        views: ``ManagerView`` of the other managers of the data centre.
        silence_s: Age after which a manager or its answers count as gone.
        jitter_s: This manager's own extra wait.

    Returns:
        Whether to read.
    """
    live = [view for view in views if view.heard_age_s <= silence_s]
    ranked = rank_names([own_name, *(view.name for view in live)], "reader")
    if ranked[0] == own_name:
        return True
    ages = [view.platform_age_s + view.heard_age_s for view in live if view.reading]
    return min(ages, default=NEVER_S) > silence_s + jitter_s
