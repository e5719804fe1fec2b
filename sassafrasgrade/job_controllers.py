"""Carries out the job system's decisions in the planning manager."""

import logging
from dataclasses import replace
from functools import singledispatchmethod

import msgspec
from returns.result import Failure, Success

from sassafrasgrade.fleets import HostPhase
from sassafrasgrade.jobs import (
    FINAL_STATES,
    JOB_METHOD,
    PLACED_STATES,
    RECORD_SHARDS,
    RECORDS_KEY,
    SUBMITTED_PREFIX,
    JobRecord,
    JobState,
    JobsView,
    RecordsShard,
    Size,
    Submission,
    TaskStart,
    shard_of,
)
from sassafrasgrade.platforms import ABSENT
from sassafrasgrade.systems.job_lifecycles import (
    ChangeJobs,
    HostReliability,
    placed_hosts,
    plan_jobs,
)
from sassafrasgrade.systems.job_placement import (
    CheckpointTasks,
    StartTasks,
    StopTasks,
    ThrottleTasks,
)
from sassafrasgrade.systems.sizes import LearnedSizes
from sassafrasgrade.tables import HostKind, HostState

logger = logging.getLogger(__name__)

TASK_LEASE_TTL_S = 60.0
LEASE_RENEWAL_INTERVAL_S = 20.0
# Added to the end of a lost host's task leases before its tasks count as stopped.
LAPSE_MARGIN_S = 5.0
# Commands whose effect is not reported within this time are sent again; they are
# idempotent by task id.
COMMAND_RETRY_S = 3.0
ENDED_JOB_RETENTION_S = 600.0
LEAVING_PHASES = frozenset({HostPhase.DRAINING, HostPhase.MOVING})


class JobController:
    """Maintains the job records of one data centre while its manager plans.

    Args:
        settings: Checked ``Settings``.
        timers: Timer service.
        platform: Adapter to the platform.
    """

    def __init__(self, settings, timers, platform):
        self._data_centre = settings.host_data_centre
        self._timers = timers
        self._platform = platform
        self._sizes = LearnedSizes()
        self._reliability = HostReliability()
        self._is_ticking = False
        self._reset()

    def _reset(self):
        self._records_by_id = None
        # Records taken from submissions and not yet stored. Their submissions may
        # only be deleted once they are.
        self._unstored_by_id = {}
        self._revisions_by_shard = {}
        self._renewed_at_by_host = {}
        self._renewed_at = -LEASE_RENEWAL_INTERVAL_S
        self._sent_at_by_task = {}

    async def tick(self, is_planning, configuration, hosts_by_name, membership):
        """Runs one tick, if this manager plans and no tick is running.

        Args:
            is_planning: Whether this manager holds the planner lease.
            configuration: ``Configuration`` in force.
            hosts_by_name: The host list of the data centre.
            membership: ``Membership`` of the data centre.
        """
        if not is_planning or not configuration.generation:
            if not self._is_ticking:
                self._reset()
            return
        if self._is_ticking:
            return
        self._is_ticking = True
        try:
            await self._tick(configuration, hosts_by_name, membership)
        finally:
            self._is_ticking = False

    async def _tick(self, configuration, hosts_by_name, membership):
        if self._records_by_id is None and not await self._load():
            return
        prefix = SUBMITTED_PREFIX.format(data_centre=self._data_centre)
        submitted = await self._platform.list_values(prefix)
        if isinstance(submitted, Failure):
            return
        self._apply_submissions(submitted.unwrap().values())
        if not self._records_by_id:
            return
        reports = await self._platform.read_tasks(self._data_centre)
        if isinstance(reports, Failure):
            return
        await self._renew_leases()
        view = self._view(configuration, hosts_by_name, membership, reports.unwrap())
        commands = plan_jobs(view, self._sizes, self._reliability)
        unstored = self._unstored_by_id
        if unstored and not any(isinstance(c, ChangeJobs) for c in commands):
            commands.insert(0, ChangeJobs({}))
        for command in commands:
            if isinstance(command, ChangeJobs):
                command = ChangeJobs(unstored | command.records_by_id)
            done = await self.carry_out(command)
            if isinstance(done, Failure):
                self._reset()
                return
        self._unstored_by_id = {}
        for key in submitted.unwrap():
            await self._platform.delete(key)
        await self._resend_commands(view)

    async def _load(self):
        """Reads all records; counts leases as renewed now, as they may have been."""
        prefix = RECORDS_KEY.format(data_centre=self._data_centre, shard=0)[:-2]
        found = await self._platform.list_values(prefix)
        if isinstance(found, Failure):
            return False
        self._records_by_id = {}
        for key, versioned in found.unwrap().items():
            shard = msgspec.msgpack.decode(versioned.value, type=RecordsShard)
            self._revisions_by_shard[int(key[-2:])] = versioned.revision
            for record in shard.records:
                self._records_by_id[record.spec.job_id] = record
        hosts = placed_hosts(self._records_by_id.values())
        self._renewed_at_by_host = dict.fromkeys(hosts, self._timers.now())
        return True

    def _apply_submissions(self, values):
        """Applies submissions to the records; those changed are to be stored."""
        now = self._timers.wall_time()
        changed = {}
        batches = [msgspec.msgpack.decode(v.value, type=Submission) for v in values]
        for spec in (spec for batch in batches for spec in batch.specs):
            if spec.job_id not in self._records_by_id:
                changed[spec.job_id] = JobRecord(spec, changed_at=now)
        # Cancellations are applied last, as batches are not listed in order of time.
        for job_id in (name for batch in batches for name in batch.cancelled_ids):
            record = changed.get(job_id) or self._records_by_id.get(job_id)
            if record is not None and record.state not in FINAL_STATES:
                changed[job_id] = replace(record, cancels=True)
        self._records_by_id.update(changed)
        self._unstored_by_id.update(changed)

    def _view(self, configuration, hosts_by_name, membership, reports):
        now = self._timers.wall_time()
        records = membership.records_by_name
        live = {
            name: host
            for name, host in hosts_by_name.items()
            if host.kind is HostKind.BACKEND_SERVER
            and host.state is HostState.LIVE
            and name in records
        }
        leaving = {n for n in live if records[n].phase in LEAVING_PHASES}
        serving = [n for n in live if records[n].phase is HostPhase.SERVING]
        data_centre_counts = {}
        for pool in configuration.pools_by_name.values():
            data_centre_counts[pool.name] = max(1, len(pool.hosts_by_data_centre))
        quotas = {
            (route.team, route.name): route.quota_cores / data_centre_counts[route.pool]
            for route in configuration.routes_by_name.values()
            if route.method == JOB_METHOD and route.quota_cores
        }
        return JobsView(
            now,
            dict(self._records_by_id),
            {
                name: Size(live[name].cores, live[name].memory_mb)
                for name in [*serving, *leaving]
            },
            {name: records[name].pool for name in serving},
            reports,
            quotas,
            self._lapse_times(now),
            leaving_hosts=frozenset(leaving),
        )

    def _lapse_times(self, now):
        """Returns when each host's task leases have surely lapsed, as time of day.

        Leases are measured on the steady clock: a step of the time of day must not
        make tasks that still run count as lapsed.
        """
        to_wall_s = now - self._timers.now()
        return {
            host: renewed_at + TASK_LEASE_TTL_S + LAPSE_MARGIN_S + to_wall_s
            for host, renewed_at in self._renewed_at_by_host.items()
        }

    async def _renew_leases(self):
        """Renews the task leases of the hosts that have tasks."""
        now = self._timers.now()
        if now - self._renewed_at < LEASE_RENEWAL_INTERVAL_S:
            return
        hosts = placed_hosts(
            record
            for record in self._records_by_id.values()
            if record.state is not JobState.LOST
        )
        if not hosts:
            return
        self._renewed_at = now
        # If the answer is lost, the leases may have been renewed nevertheless.
        self._renewed_at_by_host.update(dict.fromkeys(hosts, now))
        await self._platform.renew_tasks(sorted(hosts), TASK_LEASE_TTL_S)

    @singledispatchmethod
    async def carry_out(self, command):
        """Carries out one command; returns a ``Result``."""
        raise TypeError(f"unknown command {type(command).__name__}")

    @carry_out.register
    async def _(self, command: ChangeJobs):
        self._records_by_id.update(command.records_by_id)
        self._remove_ended()
        shards = {shard_of(job_id) for job_id in command.records_by_id}
        for shard in sorted(shards):
            written = await self._write_shard(shard)
            if isinstance(written, Failure):
                return written
        return Success(None)

    @carry_out.register
    async def _(self, command: StartTasks):
        tasks = []
        for job_id in command.job_ids:
            record = self._records_by_id[job_id]
            self._renewed_at_by_host[record.host] = self._timers.now()
            self._sent_at_by_task[record.task_id] = self._timers.now()
            size = record.reserved
            tasks.append(
                TaskStart(
                    record.task_id,
                    record.host,
                    size.cores,
                    size.memory_mb,
                    record.spec.payload,
                )
            )
        return await self._platform.start_tasks(self._data_centre, tasks)

    @carry_out.register
    async def _(self, command: StopTasks):
        return await self._command_tasks("stop", command.job_ids)

    @carry_out.register
    async def _(self, command: CheckpointTasks):
        return await self._command_tasks("checkpoint", command.job_ids)

    @carry_out.register
    async def _(self, command: ThrottleTasks):
        verb = "throttle" if command.throttled else "resume"
        return await self._command_tasks(verb, command.job_ids)

    async def _command_tasks(self, verb, job_ids):
        now = self._timers.now()
        task_ids = [self._records_by_id[job_id].task_id for job_id in job_ids]
        self._sent_at_by_task.update(dict.fromkeys(task_ids, now))
        return await self._platform.command_tasks(verb, task_ids)

    async def _resend_commands(self, view):
        """Sends commands again whose effect the platform does not report."""
        now = self._timers.now()
        repeats = {StartTasks: [], StopTasks: [], CheckpointTasks: []}
        for job_id, record in self._records_by_id.items():
            if record.state not in PLACED_STATES or record.state is JobState.LOST:
                continue
            sent_at = self._sent_at_by_task.setdefault(record.task_id, now)
            if now - sent_at < COMMAND_RETRY_S:
                continue
            listed = record.task_id in view.reports_by_task
            if record.state is JobState.STOPPING:
                repeats[StopTasks].append(job_id)
            elif record.state is JobState.CHECKPOINTING:
                repeats[CheckpointTasks].append(job_id)
            elif not listed and record.host in view.capacities_by_host:
                repeats[StartTasks].append(job_id)
        for command, job_ids in repeats.items():
            if job_ids:
                await self.carry_out(command(tuple(job_ids)))

    def _remove_ended(self):
        now = self._timers.wall_time()
        ended = [
            job_id
            for job_id, record in self._records_by_id.items()
            if record.state in FINAL_STATES
            and now - record.changed_at > ENDED_JOB_RETENTION_S
        ]
        for job_id in ended:
            record = self._records_by_id.pop(job_id)
            self._sent_at_by_task.pop(record.task_id, None)

    async def _write_shard(self, shard):
        records = [r for i, r in self._records_by_id.items() if shard_of(i) == shard]
        value = msgspec.msgpack.encode(RecordsShard(records))
        key = RECORDS_KEY.format(data_centre=self._data_centre, shard=shard)
        revision = self._revisions_by_shard.get(shard, ABSENT.revision)
        written = await self._platform.write(key, value, revision)
        if isinstance(written, Success):
            self._revisions_by_shard[shard] = written.unwrap()
        return written


assert RECORD_SHARDS <= 100, "a shard's number has two digits in its key"
