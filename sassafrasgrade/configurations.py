"""Configuration records and the holder that only ever moves forward."""

import logging
from collections import deque

import msgspec

from sassafrasgrade.tables import Configuration, Pool, Route

logger = logging.getLogger(__name__)

HEAD_KEY = "configuration/head"
COMMITS_PREFIX = "configuration/commits/"
SNAPSHOTS_PREFIX = "configuration/snapshots/"
LONGEST_CHUNK_BYTES = 900_000
COMMITS_PER_SNAPSHOT = 64
RECENT_COMMITS = 128


class RouteChange(msgspec.Struct, frozen=True, tag="route"):
    """One route put (``row``) or deleted (``row`` is None), and what it was."""

    name: str
    row: Route | None
    previous: Route | None


class PoolChange(msgspec.Struct, frozen=True, tag="pool"):
    """One pool put (``row``) or deleted (``row`` is None), and what it was."""

    name: str
    row: Pool | None
    previous: Pool | None


Change = RouteChange | PoolChange


class Commit(msgspec.Struct, frozen=True):
    """Rows that change together; immutable once written.

    Attributes:
        commit_id: Unique id, also the end of the record's key.
        author: Who committed.
        written_at: Seconds since the epoch.
        changes: The rows.
        previous_id: Id of the commit before it, empty for the first.
    """

    commit_id: str
    author: str
    written_at: float
    changes: list[Change]
    previous_id: str = ""


class Head(msgspec.Struct, frozen=True):
    """The one value that is compared and swapped.

    Attributes:
        generation: Number of commits up to now.
        snapshot_keys: Keys of the last snapshot's chunks.
        snapshot_generation: Generation of that snapshot.
        commit_ids: Commits after the snapshot, oldest first.
        settled_ids: Commits folded into the snapshot last, oldest first.
        garbage_keys: Records that the next fold may delete.
    """

    generation: int = 0
    snapshot_keys: list[str] = []
    snapshot_generation: int = 0
    commit_ids: list[str] = []
    settled_ids: list[str] = []
    garbage_keys: list[str] = []


class SnapshotChunk(msgspec.Struct, frozen=True):
    """Part of both tables; chunks together hold every row."""

    routes: list[Route]
    pools: list[Pool]


def compare_configurations(old, new):
    """Returns the list of changes that turn ``old`` into ``new``, by name."""
    changes = []
    pairs = (
        (RouteChange, old.routes_by_name, new.routes_by_name),
        (PoolChange, old.pools_by_name, new.pools_by_name),
    )
    for change_type, old_rows, new_rows in pairs:
        for name in sorted(old_rows.keys() | new_rows.keys()):
            before, after = old_rows.get(name), new_rows.get(name)
            if before != after:
                changes.append(change_type(name, after, before))
    return changes


def apply_commit(configuration, commit, generation):
    """Returns a new configuration with a commit's changes put in."""
    routes = dict(configuration.routes_by_name)
    pools = dict(configuration.pools_by_name)
    for change in commit.changes:
        rows = routes if isinstance(change, RouteChange) else pools
        if change.row is None:
            rows.pop(change.name, None)
        else:
            rows[change.name] = change.row
    return Configuration(generation, routes, pools, commit.commit_id)


def strip_commit(commit):
    """Returns a commit without what its rows were before, for streams.

    Only merges need that, and they read the records on the platform.
    """
    changes = [msgspec.structs.replace(c, previous=None) for c in commit.changes]
    return msgspec.structs.replace(commit, changes=changes)


def split_snapshot(configuration):
    """Returns encoded snapshot chunks, each at most about 0.9 MB."""
    routes = list(configuration.routes_by_name.values())
    pools = list(configuration.pools_by_name.values())
    whole = msgspec.msgpack.encode(SnapshotChunk(routes, pools))
    parts = len(whole) // LONGEST_CHUNK_BYTES + 1
    return [
        msgspec.msgpack.encode(SnapshotChunk(routes[part::parts], pools[part::parts]))
        for part in range(parts)
    ]


def join_snapshot(chunks, generation, commit_id):
    """Builds a configuration from decoded snapshot chunks."""
    routes = {row.name: row for chunk in chunks for row in chunk.routes}
    pools = {row.name: row for chunk in chunks for row in chunk.pools}
    return Configuration(generation, routes, pools, commit_id)


class ConfigurationHolder:
    """Holds the configuration in force; adopts only a higher generation.

    Attributes:
        configuration: The configuration in force.
        recent_commits: The last commits as (generation, commit), oldest first.
    """

    def __init__(self):
        self.configuration = Configuration()
        self.recent_commits = deque(maxlen=RECENT_COMMITS)

    @property
    def generation(self):
        """Generation in force; 0 before the first one."""
        return self.configuration.generation

    def adopt_configuration(self, configuration):
        """Takes a whole configuration; returns whether it was newer."""
        if configuration.generation <= self.generation:
            return False
        self.configuration = configuration
        self.recent_commits.clear()
        return True

    def adopt_commits(self, last_generation, commits):
        """Takes commits that end at ``last_generation``.

        Returns:
            Whether the generation rose; False also when commits are missing
            between the held generation and the first one given, or when they
            continue another history than the held one.
        """
        missing = last_generation - self.generation
        if not 0 < missing <= len(commits):
            return False
        newer = commits[-missing:]
        if newer[0].previous_id != self.configuration.commit_id:
            return False
        for generation, commit in enumerate(newer, self.generation + 1):
            self.configuration = apply_commit(self.configuration, commit, generation)
            self.recent_commits.append((generation, commit))
        return True

    def commits_after(self, generation):
        """Returns the commits after ``generation``, or None if not all held."""
        commits = [c for number, c in self.recent_commits if number > generation]
        if len(commits) != self.generation - generation:
            return None
        return commits
