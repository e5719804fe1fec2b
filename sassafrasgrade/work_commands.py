"""Commands that the scheduling systems return and the dispatcher carries out."""

from dataclasses import dataclass

from sassafrasgrade.works import Run


@dataclass(frozen=True, slots=True)
class StartRun:
    """Starts a run on its worker."""

    run: Run


@dataclass(frozen=True, slots=True)
class StopRun:
    """Stops a run; ``reason`` goes into the log."""

    run: Run
    reason: str


@dataclass(frozen=True, slots=True)
class StopUnknownRun:
    """Stops a run that the tables do not know."""

    worker_id: str
    task: str
    number: int


@dataclass(frozen=True, slots=True)
class PaceRun:
    """Lets a run work at a share of its speed, in percent."""

    run: Run
    percent: int


@dataclass(frozen=True, slots=True)
class MoveHost:
    """Moves a host to another pool."""

    host: str
    pool: str
    reason: str


@dataclass(frozen=True, slots=True)
class MaintainHost:
    """Takes a host down for its maintenance in a wave."""

    host: str
    wave: int


@dataclass(frozen=True, slots=True)
class ReportWave:
    """Writes the status of a wave."""

    wave: int
    is_completed: bool


@dataclass(frozen=True, slots=True)
class Note:
    """A decision without an order, for the log."""

    event: str
    fields: dict
