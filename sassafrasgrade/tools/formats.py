"""Output formats: aligned columns for operators, JSON for programs."""

import json

import msgspec


def print_json(value):
    """Prints a value of data classes, structs and containers as JSON."""
    print(json.dumps(msgspec.to_builtins(value), indent=2))


def print_table(headings, rows):
    """Prints aligned columns.

    Args:
        headings: Column names.
        rows: Sequences of values, each as long as ``headings``.
    """
    texts = [[str(value) for value in row] for row in rows]
    widths = [
        max([len(heading), *(len(row[column]) for row in texts)])
        for column, heading in enumerate(headings)
    ]
    for row in [[heading.upper() for heading in headings], *texts]:
        line = "  ".join(text.ljust(width) for text, width in zip(row, widths))
        print(line.rstrip())


def describe_change(change):
    """Returns one line that describes a configuration change."""
    kind = type(change).__name__.removesuffix("Change").lower()
    if change.previous is None:
        return f"+ {kind} [{change.name}]"
    if change.row is None:
        return f"- {kind} [{change.name}]"
    before = msgspec.to_builtins(change.previous)
    after = msgspec.to_builtins(change.row)
    fields = [
        f"{field}: {before[field]!r} -> {after[field]!r}"
        for field in after
        if before[field] != after[field]
    ]
    return f"~ {kind} [{change.name}] " + "; ".join(fields)
