"""Decides which managers of a data centre read from the platform."""

from dataclasses import dataclass

from sassafrasgrade.rendezvous import rank_names

# Age of a heartbeat or platform answer that was never received, in seconds.
NEVER_S = 1e9


@dataclass(frozen=True, slots=True)
class ManagerView:
    """What is known of another manager in the same data centre.

    Attributes:
        name: Host name.
        heard_age_s: Seconds since its last heartbeat.
        platform_age_s: Seconds since its last answer from the platform, as of
            that heartbeat.
        reading: Whether it reported that it reads from the platform.
    """

    name: str
    heard_age_s: float
    platform_age_s: float
    reading: bool


def should_read(own_name, views, silence_s, jitter_s):
    """Decides whether this manager reads from the platform.

    The live manager that ranks first by rendezvous hashing reads. Another one
    also reads when no reader has had an answer from the platform for
    ``silence_s`` plus its own jitter: a second reader only costs extra calls,
    while without any reader the data becomes stale.

    Args:
        own_name: Name of this manager's host.
        views: ``ManagerView`` of the other managers of the data centre.
        silence_s: Age above which a heartbeat or a platform answer is too old.
        jitter_s: Extra delay of this manager, so that not all start reading at once.

    Returns:
        Whether to read.
    """
    live = [view for view in views if view.heard_age_s <= silence_s]
    ranked = rank_names([own_name, *(view.name for view in live)], "reader")
    if ranked[0] == own_name:
        return True
    # Readers that are silent count, too: their last answers still become too old at
    # the same time for all others, whose jitters then spread the second readers.
    ages = [view.platform_age_s + view.heard_age_s for view in views if view.reading]
    return min(ages, default=NEVER_S) > silence_s + jitter_s
