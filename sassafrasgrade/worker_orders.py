"""Orders from the dispatcher to workers."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StartOrder:
    """An order to start a run.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        spec: Text of the job that is sent with every start.
        deadline_ms: Time on the worker's clock after which the order is void.
        token: Fencing token.
        saved: Saved progress to resume from; empty for none.
        ticket: Ticket of the advice service; empty for none.
    """

    task: str
    run: int
    spec: str
    deadline_ms: float
    token: int
    saved: str = ""
    ticket: str = ""
