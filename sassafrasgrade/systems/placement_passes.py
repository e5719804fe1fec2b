"""Starts the waiting tasks of a pool, most important jobs first.

Load pattern: one caller hands in a job of thousands of tasks, or thousands of jobs,
of which few fit at a time. What waits must cost little, and must not keep the leader
from its other duties.
"""

import heapq
from collections import deque

from sassafrasgrade.systems.crash_records import needs_isolation
from sassafrasgrade.systems.job_ranks import ranked_jobs
from sassafrasgrade.systems.slow_runs import copy_overdue_runs
from sassafrasgrade.systems.task_placement import (
    RankedCandidates,
    candidates_with_ticket,
    choose_and_reserve,
    choose_group,
    has_slots,
    mark_suspects,
    may_start,
    next_run_number,
    start_on,
    usable_candidates,
    want_advice,
)
from sassafrasgrade.work_commands import LogEvent
from sassafrasgrade.work_tables import Urgency, is_startable

# Work of one slice, in units of about 20 lines of code.
SLICE_WORK = 5_000
# Work of ranking a job, of a job's turn, and of finding that a task may not start.
RANK_JOB_WORK = 5
TURN_WORK = 3
HELD_TASK_WORK = 2
# Work of looking at a candidate, of ranking it, and of starting a task.
CANDIDATE_WORK = 1
RANK_CANDIDATE_WORK = 2
START_WORK = 8
# Limit of the sizes that are remembered as finding no room.
MAX_FULL_SIZES = 32


class PlacementRound:
    """Passes over all pools, one after another, in slices of limited work.

    Args:
        tables: The tables; runs that are started are added to them.
        learned_durations: ``LearnedDurations``.
        now_unix: Current Unix time in seconds.
    """

    def __init__(self, tables, learned_durations, now_unix):
        self._tables = tables
        self._learned_durations = learned_durations
        self._jobs_by_pool = {}
        for job in tables.open_jobs_by_id.values():
            self._jobs_by_pool.setdefault(tables.pool_of(job), []).append(job)
        self._passes = deque(
            PlacementPass(
                tables, pool_name, learned_durations, now_unix, self._jobs_of(pool_name)
            )
            for pool_name in tables.pools_by_name
        )

    def _jobs_of(self, pool_name):
        return self._jobs_by_pool.get(pool_name, ())

    @property
    def is_finished(self):
        """Whether all pools have had their pass."""
        return not self._passes

    def next_slice(self, now):
        """Goes on with the round; returns commands.

        Args:
            now: Current clock in seconds.
        """
        commands, left = [], SLICE_WORK
        while self._passes and left > 0:
            placement = self._passes[0]
            started, work = placement.next_slice(now, left)
            commands += started
            left -= work
            if placement.is_finished:
                self._passes.popleft()
                commands += self._copy_runs(placement.pool_name, now)
        return commands

    def _copy_runs(self, pool_name, now):
        jobs = [job for job in self._jobs_of(pool_name) if job.is_open]
        try:
            return copy_overdue_runs(
                self._tables, pool_name, self._learned_durations, now, jobs
            )
        except Exception as error:
            fields = {"pool": pool_name, "error": repr(error)}
            return [LogEvent("runs-not-copied", fields)]


class PlacementPass:
    """One pass over the jobs that wait in a pool, in slices of limited work.

    It hands out the room that was free when it began. What becomes free between two
    slices is left to the next pass, which begins with the most important jobs again;
    what is used or lost meanwhile counts. Jobs that are added between two slices take
    their turn in this pass.

    Attributes:
        pool_name: The pool.
        is_finished: Whether all jobs have had their turn.

    Args:
        tables: The tables; runs that are started are added to them.
        pool_name: The pool.
        learned_durations: ``LearnedDurations``.
        now_unix: Current Unix time in seconds.
        jobs: Its open jobs.
    """

    def __init__(self, tables, pool_name, learned_durations, now_unix, jobs):
        self.pool_name = pool_name
        self.is_finished = False
        self._tables = tables
        self._learned_durations = learned_durations
        self._now_unix = now_unix
        self._now = 0.0
        self._slice = 0
        # Slice in which the candidates were last brought up to date.
        self._candidates_of_slice = 0
        self._candidates = []
        self._commands = []
        self._queue = []
        self._jobs = jobs
        self._last_serial = tables.last_serial
        self._full_sizes = FullSizes()
        self._work_done = 0
        self._turns = self._place_jobs()

    def next_slice(self, now, most_work=SLICE_WORK):
        """Goes on with the pass.

        Args:
            now: Current clock in seconds.
            most_work: Work after which it stops.

        Returns:
            (Commands, work done.) The commands are ``StartRun``, and a ``LogEvent``
            for each job that could not be handled.
        """
        self._now = now
        self._slice += 1
        self._commands = []
        self._work_done = 0
        while not self.is_finished and self._work_done < most_work:
            try:
                next(self._turns)
            except StopIteration:
                self.is_finished = True
            except Exception as error:
                # What has been started is in the tables by now and has to be sent.
                self.is_finished = True
                fields = {"pool": self.pool_name, "error": repr(error)}
                self._commands.append(LogEvent("pool-not-placed", fields))
        return self._commands, self._work_done

    # The following generators stop after each part of the work. When they go on,
    # anything but the pass itself may have changed.

    def _place_jobs(self):
        if not self._jobs or not self._current_candidates():
            return
        yield from self._rank(self._jobs)
        yield from self._rank_added()
        while self._queue:
            rank, job = heapq.heappop(self._queue)
            try:
                yield from self._give_turn(rank, job)
            except Exception as error:
                # The runs of other jobs are in the tables by now and have to be sent.
                fields = {"job": job.job_id, "error": repr(error)}
                self._commands.append(LogEvent("job-not-placed", fields))

    def _give_turn(self, rank, job):
        """Places a job, after any more important one that is added meanwhile."""
        turn_slice = self._slice
        for _ in self._place_job(job):
            yield
            if turn_slice == self._slice:
                continue
            turn_slice = self._slice
            yield from self._rank_added()
            if self._queue and self._queue[0][0] < rank:
                heapq.heappush(self._queue, (rank, job))
                return

    def _rank_added(self):
        """Ranks the jobs that are new, which are the last ones in the tables."""
        added = []
        for job in reversed(self._tables.open_jobs_by_id.values()):
            if job.serial <= self._last_serial:
                break
            added.append(job)
        self._last_serial = self._tables.last_serial
        return self._rank(added)

    def _rank(self, jobs):
        ranked = ranked_jobs(
            self._tables,
            jobs,
            self.pool_name,
            self._learned_durations,
            self._now_unix,
        )
        for pair in ranked:
            heapq.heappush(self._queue, pair)
            self._work_done += RANK_JOB_WORK + len(pair[1].occurrences)
            yield

    def _place_job(self, job):
        for occurrence in list(job.occurrences.values()):
            self._work_done += TURN_WORK
            yield
            for row in occurrence.steps:
                self._work_done += 1
                if self._may_place(job, occurrence, row):
                    place = self._place_gang if row.step.is_gang else self._place_step
                    yield from place(job, row)

    def _may_place(self, job, occurrence, row):
        """Whether tasks of a step wait that may find room."""
        if not self._is_open(job) or occurrence.number in job.done_occurrences:
            return False
        if not row.waiting or not is_startable(occurrence, row):
            return False
        row.startable_since = row.startable_since or self._now
        if self._tables.is_held(job, row):
            self._note_waiting_suspects(row)
            return False
        return not self._full_sizes.include(row.step, _is_restricted(job))

    def _note_waiting_suspects(self, row):
        """Notes since when suspect tasks wait for a worker of their own."""
        for task in row.tasks.known():
            self._work_done += HELD_TASK_WORK
            may_start(self._tables, task, row, self._now)

    def _is_open(self, job):
        is_known = self._tables.open_jobs_by_id.get(job.job_id) is job
        return is_known and self._tables.pool_of(job) == self.pool_name

    def _place_step(self, job, row):
        """Starts the tasks of a step until one of them finds no room."""
        step_slice = 0
        for index in row.waiting[:]:
            if not self._is_open(job):
                return
            if step_slice != self._slice:
                step_slice = self._slice
                usable = self._usable_candidates(job)
                ranked = RankedCandidates(row, usable)
            task = row.tasks[index]
            if not may_start(self._tables, task, row, self._now):
                self._work_done += HELD_TASK_WORK
            elif not self._start_task(job, task, usable, ranked):
                self._note_lack_of_room(job, task, row, usable)
                if self._shows_lack_of_room(job, task):
                    return
            yield

    def _start_task(self, job, task, usable, ranked):
        """Starts a task if it finds room; returns whether it did."""
        tables, now = self._tables, self._now
        if needs_isolation(tables, task) or self._needs_advice(job):
            allowed = self._allowed_candidates(job, [task], usable)
            candidate = choose_and_reserve(tables, task, allowed, now)
            ranked.forget_order()
            self._work_done += RANK_CANDIDATE_WORK * len(usable)
        else:
            ranked_before = ranked.ranked_count
            candidate = ranked.reserve_best(task)
            newly_ranked = ranked.ranked_count - ranked_before
            self._work_done += RANK_CANDIDATE_WORK * newly_ranked
        if candidate is None:
            return False
        self._start([(candidate, task)])
        return True

    def _start(self, chosen):
        """Starts tasks that begin together, given as (candidate, task) pairs."""
        number = next_run_number(self._tables, [task for _, task in chosen])
        self._work_done += START_WORK * len(chosen)
        self._commands += [
            start_on(self._tables, task, candidate, number, self._now)
            for candidate, task in chosen
        ]

    def _place_gang(self, job, row):
        """Starts all tasks of a step, or none."""
        tables, tasks, now = self._tables, row.tasks, self._now
        if len(row.waiting) < len(tasks):
            return
        usable = self._usable_candidates(job)
        self._work_done += CANDIDATE_WORK * len(usable)
        if not has_slots(row, usable, len(tasks)):
            self._note_full(job, row, usable)
            yield
            return
        self._work_done += HELD_TASK_WORK * len(tasks)
        if not all(may_start(tables, task, row, now) for task in tasks):
            yield
            return
        self._work_done += RANK_CANDIDATE_WORK * len(usable)
        allowed = self._allowed_candidates(job, tasks, usable)
        chosen = choose_group(tables, tasks, allowed, now)
        if chosen:
            self._start(chosen)
        elif self._needs_advice(job):
            want_advice(tables, tasks, usable, now)
        yield

    def _shows_lack_of_room(self, job, task):
        """Whether, as a task has found no room, no later one of its step does."""
        if needs_isolation(self._tables, task):
            return False
        return not (self._needs_advice(job) and task.avoided_workers)

    def _note_lack_of_room(self, job, task, row, usable):
        """Requests tickets if only these are missing; else notes what finds no room."""
        if self._needs_advice(job):
            if want_advice(self._tables, [task], usable, self._now):
                return
        self._note_full(job, row, usable)

    def _note_full(self, job, row, usable):
        self._work_done += CANDIDATE_WORK * len(usable)
        if not any(candidate.suits(row.step) for candidate in usable):
            self._full_sizes.add(row.step, _is_restricted(job))

    def _needs_advice(self, job):
        return self._tables.queue_of(job).advice is not None

    def _allowed_candidates(self, job, group, usable):
        if not self._needs_advice(job):
            return usable
        return candidates_with_ticket(self._tables, group, usable, self._now)

    def _usable_candidates(self, job):
        candidates = self._current_candidates()
        if _is_restricted(job):
            return [c for c in candidates if not c.worker.is_yielding]
        return candidates

    def _current_candidates(self):
        """Returns the pool's usable workers, as they are in the present slice."""
        if self._candidates_of_slice == self._slice:
            return self._candidates
        earlier = {candidate.worker: candidate for candidate in self._candidates}
        candidates = usable_candidates(self._tables, self.pool_name, self._now)
        if self._candidates_of_slice:
            candidates = [c for c in candidates if c.worker in earlier]
            for candidate in candidates:
                candidate.limit_to(earlier[candidate.worker])
        mark_suspects(candidates)
        self._candidates, self._candidates_of_slice = candidates, self._slice
        return candidates


def _is_restricted(job):
    """Whether a job gets no room on workers that another pool needs more."""
    return job.urgency >= Urgency.USEFUL


class FullSizes:
    """Sizes of tasks that have found no room in a pass; larger ones find none either.

    A limit of tasks per worker is no part of a size: where it was the only obstacle,
    nothing is to be added.
    """

    def __init__(self):
        self._sizes_by_label = {}
        self._count = 0

    def add(self, step, is_restricted):
        """Adds the size of a step.

        Args:
            step: The step.
            is_restricted: Whether its job may not use all workers.
        """
        if self._count < MAX_FULL_SIZES:
            sizes = self._sizes_by_label.setdefault((step.label, is_restricted), [])
            sizes.append(_size_of(step))
            self._count += 1

    def include(self, step, is_restricted):
        """Whether a step finds no room, since one that asks for no more did not."""
        size = _size_of(step)
        return any(
            all(need >= other for need, other in zip(size, smaller, strict=True))
            for label in {step.label, ""}
            for restricted in {is_restricted, False}
            for smaller in self._sizes_by_label.get((label, restricted), ())
        )


def _size_of(step):
    cpu_millis = 0 if step.is_filler else step.cpu_millis
    return cpu_millis, step.memory_mb, step.gpus
