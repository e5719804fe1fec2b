"""Commands that the scheduling systems return and the dispatcher carries out."""

from dataclasses import dataclass

from sassafrasgrade.work_tables import Run


@dataclass(frozen=True, slots=True)
class StartRun:
    """Starts a run on its worker."""

    run: Run


@dataclass(frozen=True, slots=True)
class StopRun:
    """Stops a run; ``reason`` is logged."""

    run: Run
    reason: str


@dataclass(frozen=True, slots=True)
class StopUnknownRun:
    """Stops a run that is not in the tables."""

    worker_id: str
    task: str
    number: int


@dataclass(frozen=True, slots=True)
class ReportSecondRun:
    """Reports a run that a worker lists while the task has others in the tables."""

    run: Run
    others: tuple[Run, ...]


@dataclass(frozen=True, slots=True)
class AskWorker:
    """Asks a worker at once what it runs, beside its session's polls."""

    worker_id: str


@dataclass(frozen=True, slots=True)
class PaceRun:
    """Limits the speed of a run, in percent."""

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
    """Stores the status of a wave."""

    wave: int
    is_completed: bool


@dataclass(frozen=True, slots=True)
class LogEvent:
    """A log line about a decision that needs no order."""

    event: str
    fields: dict
