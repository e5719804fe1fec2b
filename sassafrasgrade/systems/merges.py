"""Three-way merge of an operator's tables with concurrent commits."""

from returns.result import Failure, Result, Success

from sassafrasgrade.configurations import (
    Change,
    RouteChange,
    compare_configurations,
)
from sassafrasgrade.errors import ConfigurationConflict


def merge_tables(
    wanted, current, history, base_generation
) -> Result[list[Change], ConfigurationConflict]:
    """Finds the changes to commit on top of the current configuration.

    Args:
        wanted: The operator's tables.
        current: The configuration in force.
        history: (generation, commit) pairs known, oldest first, without gaps
            up to the current generation.
        base_generation: Generation that the operator's tables started from.

    Returns:
        The changes, without rows that only others changed, or a conflict if
        both changed a row differently.
    """
    known_from = history[0][0] if history else current.generation + 1
    if base_generation + 1 < known_from and base_generation < current.generation:
        return Failure(
            ConfigurationConflict(
                f"generation {base_generation} is too old to merge with "
                f"generation {current.generation}",
                "Take over the rows in force ('show'), then apply on that base.",
            )
        )
    bases = _base_rows(history, base_generation)
    changes = []
    conflicts = []
    for change in compare_configurations(current, wanted):
        key = (type(change), change.name)
        if key not in bases:
            changes.append(change)
        elif change.row != bases[key]:
            conflicts.append(change)
    if conflicts:
        return Failure(_conflict(conflicts, current.generation))
    return Success(changes)


def _base_rows(history, base_generation):
    """Returns the rows that others changed since the base, as of the base."""
    rows = {}
    for generation, commit in history:
        if generation <= base_generation:
            continue
        for change in commit.changes:
            rows.setdefault((type(change), change.name), change.previous)
    return rows


def _conflict(conflicts, generation):
    names = ", ".join(
        f"{'route' if isinstance(change, RouteChange) else 'pool'} [{change.name}]"
        for change in conflicts
    )
    return ConfigurationConflict(
        f"{names} changed meanwhile; generation {generation} is in force",
        "Run diff, take over the other operator's rows or yours, and apply again "
        f"with --base {generation}.",
    )
