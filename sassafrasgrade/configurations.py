"""Configuration records, and the holder of the configuration in force."""

import logging
from collections import deque

import msgspec

from sassafrasgrade.tables import Configuration, Pool, Route

logger = logging.getLogger(__name__)

HEAD_KEY = "configuration/head"
COMMITS_PREFIX = "configuration/commits/"
SNAPSHOTS_PREFIX = "configuration/snapshots/"
# Below the platform's limit of 1,000,000 bytes per value.
MAX_CHUNK_BYTES = 900_000
COMMITS_PER_SNAPSHOT = 64
MAX_RECENT_COMMITS = 128


class RouteChange(msgspec.Struct, frozen=True, tag="route"):
    """One route put (``row``) or deleted (``row`` is None), with its old row."""

    name: str
    row: Route | None
    previous: Route | None


class PoolChange(msgspec.Struct, frozen=True, tag="pool"):
    """One pool put (``row``) or deleted (``row`` is None), with its old row."""

    name: str
    row: Pool | None
    previous: Pool | None


Change = RouteChange | PoolChange


class Commit(msgspec.Struct, frozen=True):
    """Rows that change together; immutable once written.

    Attributes:
        commit_id: Unique id, also the end of the record's key.
        author: Name of the committer.
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
    """The one reference to the current generation, replaced by compare-and-swap.

    Attributes:
        generation: Number of commits up to now; a recovery may skip numbers.
        snapshot_keys: Keys of the last snapshot's chunks.
        snapshot_generation: Generation of that snapshot.
        commit_ids: Commits after the snapshot, oldest first.
        settled_ids: Commits folded into the snapshot by the last fold, oldest
            first.
        garbage_keys: Records that the next fold may delete.
    """

    generation: int = 0
    snapshot_keys: list[str] = []
    snapshot_generation: int = 0
    commit_ids: list[str] = []
    settled_ids: list[str] = []
    garbage_keys: list[str] = []


class SnapshotChunk(msgspec.Struct, frozen=True):
    """Part of both tables; the chunks of a snapshot together hold every row."""

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
    """Returns a new configuration with a commit's changes applied."""
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
    """Returns a commit without the previous rows, to be sent on streams.

    Only merges need previous rows, and they read the records on the platform.
    """
    changes = [msgspec.structs.replace(c, previous=None) for c in commit.changes]
    return msgspec.structs.replace(commit, changes=changes)


def split_snapshot(configuration):
    """Returns encoded snapshot chunks, each at most about 0.9 MB."""
    routes = list(configuration.routes_by_name.values())
    pools = list(configuration.pools_by_name.values())
    whole = msgspec.msgpack.encode(SnapshotChunk(routes, pools))
    parts = len(whole) // MAX_CHUNK_BYTES + 1
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
    """Holds the configuration in force and adopts only higher generations.

    Attributes:
        configuration: The configuration in force.
        recent_commits: The last commits as (generation, commit), oldest first.
    """

    def __init__(self):
        self.configuration = Configuration()
        self.recent_commits = deque(maxlen=MAX_RECENT_COMMITS)

    @property
    def generation(self):
        """Generation in force; 0 before any was adopted."""
        return self.configuration.generation

    def adopt_configuration(self, configuration):
        """Adopts a whole configuration; returns whether it was newer."""
        if configuration.generation <= self.generation:
            return False
        self.configuration = configuration
        self.recent_commits.clear()
        return True

    def adopt_commits(self, last_generation, commits):
        """Applies commits that end at ``last_generation``.

        Returns:
            Whether the generation rose. False also when commits are missing
            between the generation in force and the first one given, or when
            they belong to another history than the configuration in force.
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
        """Returns the commits after ``generation``; None if not all are in memory."""
        commits = [c for number, c in self.recent_commits if number > generation]
        if len(commits) != self.generation - generation:
            return None
        return commits
