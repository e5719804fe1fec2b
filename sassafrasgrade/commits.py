"""Reads the configuration from the platform and commits changes to it."""

import logging
import random
import time
import uuid
from dataclasses import dataclass

import msgspec
from returns.result import Failure, Success
from tornado import gen

from sassafrasgrade.configurations import (
    COMMITS_PER_SNAPSHOT,
    COMMITS_PREFIX,
    HEAD_KEY,
    SNAPSHOTS_PREFIX,
    Commit,
    Head,
    SnapshotChunk,
    apply_commit,
    join_snapshot,
    split_snapshot,
)
from sassafrasgrade.errors import (
    ConfigurationConflict,
    ConfigurationDamaged,
    ConfigurationOlder,
    ConfigurationUnknown,
    PlatformUnavailable,
)
from sassafrasgrade.systems.merges import merge_tables
from sassafrasgrade.table_checks import check_configuration
from sassafrasgrade.tables import Configuration

logger = logging.getLogger(__name__)

INITIAL_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 1.0
# Failures that are not retried; ``list`` is a list of ``TableInvalid``.
FINAL_ERRORS = (list, ConfigurationConflict, ConfigurationOlder)


@dataclass(frozen=True)
class LoadedConfiguration:
    """The configuration that the head referred to when it was read.

    Attributes:
        head: The decoded head.
        revision: The head's revision, 0 before the first commit.
        configuration: Both tables at the head's generation.
        commits: The commits after the snapshot, oldest first.
    """

    head: Head
    revision: int
    configuration: Configuration
    commits: tuple[Commit, ...] = ()


@dataclass(frozen=True)
class CommitOutcome:
    """A commit known to be applied.

    Attributes:
        generation: Generation that holds the change.
        changes: Rows that changed; empty when there was nothing to change.
        seconds: Duration of the commit with its retries.
    """

    generation: int
    changes: tuple
    seconds: float


def decode_head(value):
    """Decodes a head value; an absent one is generation 0."""
    return msgspec.msgpack.decode(value, type=Head) if value else Head()


async def read_record(platform, key, record_type):
    """Reads and decodes one immutable record."""
    found = await platform.read(key)
    if isinstance(found, Failure):
        return found
    versioned = found.unwrap()
    if not versioned.revision:
        return Failure(
            ConfigurationDamaged(
                f"the record {key} is missing",
                "Read the head again; if it still names the record, restore it.",
            )
        )
    return Success(msgspec.msgpack.decode(versioned.value, type=record_type))


async def read_commits(platform, commit_ids):
    """Reads commit records in order; returns the first failure, if any."""
    commits = []
    for commit_id in commit_ids:
        found = await read_record(platform, COMMITS_PREFIX + commit_id, Commit)
        if isinstance(found, Failure):
            return found
        commits.append(found.unwrap())
    return Success(commits)


async def load_configuration(platform):
    """Reads head, snapshot and commits.

    Returns:
        ``LoadedConfiguration``, or ``PlatformUnavailable`` or
        ``ConfigurationDamaged``.
    """
    found = await platform.read(HEAD_KEY)
    if isinstance(found, Failure):
        return found
    versioned = found.unwrap()
    return await load_from_head(
        platform, decode_head(versioned.value), versioned.revision
    )


async def load_from_head(platform, head, revision):
    """Reads the snapshot and commits that a decoded head refers to."""
    chunks = []
    for key in head.snapshot_keys:
        chunk = await read_record(platform, key, SnapshotChunk)
        if isinstance(chunk, Failure):
            return chunk
        chunks.append(chunk.unwrap())
    commits = await read_commits(platform, head.commit_ids)
    if isinstance(commits, Failure):
        return commits
    settled_id = head.settled_ids[-1] if head.settled_ids else ""
    configuration = join_snapshot(chunks, head.snapshot_generation, settled_id)
    for commit in commits.unwrap():
        configuration = apply_commit(
            configuration, commit, configuration.generation + 1
        )
    return Success(
        LoadedConfiguration(head, revision, configuration, tuple(commits.unwrap()))
    )


class TablesCommitter:
    """Commits wanted tables as one atomic, idempotent change.

    Args:
        platform: Adapter to the platform.
        author: Name recorded in the commit.
        timeout_s: How long to retry a commit that failed or whose outcome is
            unknown, in seconds.
        base_generation: Generation that the tables were edited from, or None
            for the one that is read first.
        fleet_generation: Highest generation in force anywhere, as far as known.
        is_recovery: Whether to commit after ``fleet_generation`` if the platform
            lost commits.
    """

    def __init__(
        self,
        platform,
        author,
        timeout_s=30.0,
        base_generation=None,
        fleet_generation=0,
        is_recovery=False,
    ):
        self._platform = platform
        self._fleet_generation = fleet_generation
        self._is_recovery = is_recovery
        self._author = author
        self._timeout_s = timeout_s
        self._base_generation = base_generation
        self._random = random.Random()

    async def commit(self, wanted):
        """Makes ``wanted`` the configuration.

        Returns:
            ``CommitOutcome``, or a list of ``TableInvalid``, or
            ``ConfigurationConflict``, ``ConfigurationOlder``,
            ``ConfigurationUnknown``, ``ConfigurationDamaged`` or
            ``PlatformUnavailable`` (not committed).
        """
        started = time.monotonic()
        commit_id = uuid.uuid4().hex
        delay_s = INITIAL_RETRY_DELAY_S
        maybe_committed = False
        while True:
            result = await self._try_once(wanted, commit_id, maybe_committed)
            if isinstance(result, Success):
                return result.map(lambda done: self._outcome(done, started))
            error = result.failure()
            maybe_committed = maybe_committed or isinstance(error, ConfigurationUnknown)
            if isinstance(error, FINAL_ERRORS):
                return result
            if time.monotonic() - started + delay_s > self._timeout_s:
                return Failure(self._timeout_error(error, maybe_committed))
            await gen.sleep(delay_s * (0.5 + self._random.random()))
            delay_s = min(delay_s * 2, MAX_RETRY_DELAY_S)

    def _outcome(self, done, started):
        generation, changes = done
        return CommitOutcome(generation, tuple(changes), time.monotonic() - started)

    def _timeout_error(self, error, maybe_committed):
        if not maybe_committed:
            return error
        return ConfigurationUnknown(
            "the platform did not answer after the commit was sent",
            "Run the same command again: it checks whether the commit was applied "
            "and never applies it twice.",
        )

    async def _try_once(self, wanted, commit_id, maybe_committed):
        loaded = await load_configuration(self._platform)
        if isinstance(loaded, Failure):
            return loaded
        current = loaded.unwrap()
        settled = _find_commit(current, commit_id)
        if settled is not None:
            return Success(settled)
        if self._base_generation is None:
            self._base_generation = current.configuration.generation
        merged = merge_tables(
            wanted,
            current.configuration,
            _numbered_commits(current),
            self._base_generation,
        )
        if isinstance(merged, Failure):
            return merged
        changes = merged.unwrap()
        if not changes:
            return Success((current.configuration.generation, ()))
        return await self._swap_head(current, commit_id, changes)

    async def _swap_head(self, current, commit_id, changes):
        if current.head.generation < self._fleet_generation and not self._is_recovery:
            return Failure(
                _older_error(current.head.generation, self._fleet_generation)
            )
        previous_id = current.configuration.commit_id
        commit = Commit(commit_id, self._author, time.time(), changes, previous_id)
        after = apply_commit(current.configuration, commit, 0)
        errors = check_configuration(after)
        if errors:
            return Failure(errors)
        written = await self._platform.write(
            COMMITS_PREFIX + commit_id, msgspec.msgpack.encode(commit)
        )
        if isinstance(written, Failure):
            return written
        head = await self._next_head(current, commit_id)
        if isinstance(head, Failure):
            return head
        swapped = await self._platform.write(
            HEAD_KEY, msgspec.msgpack.encode(head.unwrap()), current.revision
        )
        if isinstance(swapped, Success):
            await self._delete_garbage(current.head, head.unwrap())
            return Success((head.unwrap().generation, changes))
        if isinstance(swapped.failure(), PlatformUnavailable):
            return Failure(ConfigurationUnknown(str(swapped.failure()), ""))
        return swapped

    async def _next_head(self, current, commit_id):
        head = current.head
        is_behind = head.generation < self._fleet_generation
        if len(head.commit_ids) < COMMITS_PER_SNAPSHOT and not is_behind:
            return Success(
                msgspec.structs.replace(
                    head,
                    generation=head.generation + 1,
                    commit_ids=[*head.commit_ids, commit_id],
                )
            )
        # Folds the commits so far into a snapshot; the new commit follows it.
        keys = []
        for number, chunk in enumerate(split_snapshot(current.configuration)):
            key = f"{SNAPSHOTS_PREFIX}{commit_id}/{number}"
            written = await self._platform.write(key, chunk)
            if isinstance(written, Failure):
                return written
            keys.append(key)
        garbage = [COMMITS_PREFIX + name for name in head.commit_ids]
        folded_generation = max(head.generation, self._fleet_generation)
        return Success(
            Head(
                generation=folded_generation + 1,
                snapshot_keys=keys,
                snapshot_generation=folded_generation,
                commit_ids=[commit_id],
                settled_ids=head.commit_ids or head.settled_ids,
                garbage_keys=[*head.snapshot_keys, *garbage],
            )
        )

    async def _delete_garbage(self, old_head, new_head):
        # Keeps folded records until the next fold, so that slow readers still
        # find them.
        if old_head.garbage_keys == new_head.garbage_keys:
            return
        for key in old_head.garbage_keys:
            await self._platform.delete(key)


def _older_error(committed, in_force):
    return ConfigurationOlder(
        f"the platform holds generation {committed}, but generation {in_force} is "
        "in force: the platform lost commits",
        "Check that the tables are complete, then run apply with --recover.",
    )


def _find_commit(current, commit_id):
    head = current.head
    if commit_id in head.commit_ids:
        position = head.commit_ids.index(commit_id)
        commit = current.commits[position]
        return head.snapshot_generation + position + 1, commit.changes
    if commit_id in head.settled_ids:
        return head.snapshot_generation, ()
    return None


def _numbered_commits(current):
    first = current.head.snapshot_generation + 1
    return tuple(enumerate(current.commits, first))
