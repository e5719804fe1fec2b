"""Reads the two tables from INI files under version control."""

import configparser
import re
from pathlib import Path
from typing import Annotated

import msgspec
from returns.result import Failure, Result, Success

from sassafrasgrade.errors import TableInvalid
from sassafrasgrade.tables import Configuration, Pool, Route, Urgency

RANGE_PATTERN = re.compile(r"^(.*)\[(\d+)-(\d+)\](.*)$")
HOSTS_PREFIX = "hosts."
MAX_RANGE_SPAN = 10_000

Positive = Annotated[int, msgspec.Meta(ge=1)]
NotNegative = Annotated[int, msgspec.Meta(ge=0)]
WindowText = Annotated[
    str, msgspec.Meta(pattern=r"^$|^([01]\d|2[0-3]):[0-5]\d-([01]\d|2[0-3]):[0-5]\d$")
]


class RouteText(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Validated section of a route; fields as in ``tables.Route``."""

    prefix: Annotated[str, msgspec.Meta(pattern=r"^/")]
    pool: str
    team: str
    method: Annotated[str, msgspec.Meta(pattern=r"^(\*|[A-Z]+)$")] = "*"
    urgency: Urgency = Urgency.NORMAL
    weight: Positive = 1
    repeatable: bool = False
    deadline_ms: Annotated[int, msgspec.Meta(ge=1, le=600_000)] = 2000
    longest_answer_bytes: Annotated[int, msgspec.Meta(ge=1, le=67_108_864)] = 1_048_576
    quota_cores: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class PoolText(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Validated section of a pool; fields as in ``tables.Pool``."""

    slots: Positive = 8
    connections: Positive = 64
    out_at_most: NotNegative = 0
    out_at_most_per_domain: NotNegative = 0
    spare_pool: str = ""
    release: str = ""
    window: WindowText = ""


def expand_hosts(pattern):
    """Expands host patterns separated by white space, such as ``clips-[1-3]``."""
    names = []
    for word in pattern.split():
        found = RANGE_PATTERN.match(word)
        if not found:
            names.append(word)
            continue
        before, first, last, after = found.groups()
        if int(last) < int(first):
            raise ValueError(f"range {word} ends before it begins")
        if int(last) - int(first) > MAX_RANGE_SPAN:
            raise ValueError(f"range {word} is longer than {MAX_RANGE_SPAN} hosts")
        numbers = range(int(first), int(last) + 1)
        names.extend(f"{before}{number}{after}" for number in numbers)
    return tuple(names)


def read_tables(routes_path, pools_path) -> Result[Configuration, TableInvalid]:
    """Reads both tables; the result's generation is 0.

    Args:
        routes_path: INI file of the routes, one section per row.
        pools_path: INI file of the pools, one section per row.

    Returns:
        The configuration or the first error found, with file, row and key.
    """
    routes = _read_rows(Path(routes_path), _read_route)
    if isinstance(routes, Failure):
        return routes
    pools = _read_rows(Path(pools_path), _read_pool)
    if isinstance(pools, Failure):
        return pools
    return Success(Configuration(0, routes.unwrap(), pools.unwrap()))


def _read_rows(path, read_row):
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(path, encoding="utf-8") as stream:
            parser.read_file(stream)
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        detail = f"{path} cannot be read ({str(error).splitlines()[0]})"
        return Failure(TableInvalid(detail, "Give a readable INI table file."))
    rows = {}
    for name in parser.sections():
        try:
            rows[name] = read_row(name, dict(parser.items(name)))
        except (msgspec.ValidationError, ValueError) as error:
            detail = f"{path} row [{name}]: {_describe_error(error)}"
            remedy = "Correct the row; docs/settings.md lists every key."
            return Failure(TableInvalid(detail, remedy))
    return Success(rows)


def _describe_error(error):
    text = str(error)
    message, _, place = text.partition(" - at ")
    key = place.strip("`").removeprefix("$.")
    return f"{key}: {message}" if key else message


def _read_route(name, values):
    text = msgspec.convert(values, RouteText, strict=False)
    return Route(name=name, **msgspec.structs.asdict(text))


def _read_pool(name, values):
    hosts_by_data_centre = {
        key.removeprefix(HOSTS_PREFIX): expand_hosts(values.pop(key))
        for key in sorted(values)
        if key.startswith(HOSTS_PREFIX)
    }
    text = msgspec.convert(values, PoolText, strict=False)
    return Pool(
        name=name,
        hosts_by_data_centre=hosts_by_data_centre,
        **msgspec.structs.asdict(text),
    )
