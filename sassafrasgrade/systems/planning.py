"""One tick of a data centre's planner: computes commands from a ``FleetView``."""

from dataclasses import dataclass, field, replace

from sassafrasgrade.fleets import HostPhase, HostRecord
from sassafrasgrade.systems.budgets import select_within_budget
from sassafrasgrade.systems.host_failures import (
    FAIL_AFTER_S,
    choose_reconfigured,
    choose_replacements,
    configured_pools,
    frozen_pools,
    newly_failed,
)
from sassafrasgrade.systems.maintenance import (
    OUT_TIMEOUT_S,
    SKIP_S,
    choose_batch,
    is_drained,
    is_live,
    is_stuck,
    needs_release,
)

OUT_OF_SERVICE_PHASES = frozenset(
    {HostPhase.DRAINING, HostPhase.OUT, HostPhase.RETURNING, HostPhase.MOVING}
)


@dataclass(frozen=True)
class ReserveBudget:
    """Adds hosts to the planned part of a pool's budget use, if the budget allows."""

    pool: str
    names: tuple[str, ...]


@dataclass(frozen=True)
class CorrectBudgetUse:
    """Sets this data centre's part of a pool's budget use to match the host records."""

    pool: str
    planned: frozenset
    failed: frozenset


@dataclass(frozen=True)
class ChangeHosts:
    """Writes host records in one conditional write."""

    records: dict[str, HostRecord]
    removed: frozenset = frozenset()
    skipped_until: dict[str, float] = field(default_factory=dict)
    moves: int = 0


@dataclass(frozen=True)
class RebootHost:
    """Asks the platform to restart a host with a release."""

    name: str
    release: str


@dataclass(frozen=True)
class ProbeHost:
    """Probes whether a returning host serves requests."""

    name: str


Command = ReserveBudget | CorrectBudgetUse | ChangeHosts | RebootHost | ProbeHost


class TickPlan:
    """Computes the commands of one tick.

    Args:
        view: ``FleetView``.
        max_hosts_of_pool: Function that returns the maximum number of hosts of a
            pool to take out at once, or None for the budget; for baselines.
    """

    def __init__(self, view, max_hosts_of_pool=None):
        self._view = view
        self._max_hosts_by_pool = max_hosts_of_pool or (lambda pool: None)
        self._frozen = frozen_pools(view)
        self._targets = self._move_targets()
        self._changed = {}
        self._removed = set()
        self._skipped = {}
        self._moves = 0
        self._host_commands = []
        self._budget_commands = []

    def commands(self):
        """Returns the commands of this tick in order of execution."""
        self._sync_records()
        self._record_failures()
        for record in self._view.membership.records_by_name.values():
            if record.name not in self._changed:
                self._advance(record)
        self._start_reserved()
        self._correct_budget_uses()
        self._reserve()
        commands = list(self._budget_commands)
        if self._changed or self._removed:
            change = ChangeHosts(
                self._changed, frozenset(self._removed), self._skipped, self._moves
            )
            commands.append(change)
        return commands + self._host_commands

    def _change(self, record, phase, **fields):
        self._changed[record.name] = replace(
            record, phase=phase, since=self._view.now, **fields
        )

    def _sync_records(self):
        """Adds records for hosts that are new in the pools table."""
        view = self._view
        known = view.membership.records_by_name
        first = not known
        for name, pool in configured_pools(view).items():
            if name in known:
                continue
            phase = HostPhase.SERVING if first else HostPhase.RETURNING
            self._changed[name] = HostRecord(
                name, pool, 1, phase, view.now, configured=pool
            )

    def _record_failures(self):
        for name in newly_failed(self._view, self._frozen):
            record = self._view.membership.records_by_name[name]
            self._change(record, HostPhase.FAILED)

    def _advance(self, record):
        steps = {
            HostPhase.DRAINING: self._advance_draining,
            HostPhase.MOVING: self._advance_moving,
            HostPhase.OUT: self._advance_out,
            HostPhase.RETURNING: self._advance_returning,
            HostPhase.FAILED: self._advance_failed,
        }
        step = steps.get(record.phase)
        if step is not None:
            step(record)

    def _is_missing_too_long(self, record):
        """Whether a host that should be live has been missing for too long."""
        view = self._view
        missing_s = view.now - view.missing_since.get(record.name, view.now)
        return not is_live(view, record.name) and missing_s >= FAIL_AFTER_S

    def _abandon_drain(self, record):
        self._change(record, HostPhase.SERVING, target="")
        self._skipped[record.name] = self._view.now + SKIP_S

    def _advance_draining(self, record):
        pool = self._view.pools_by_name.get(record.pool)
        if self._is_missing_too_long(record):
            self._change(record, HostPhase.FAILED)
        elif record.pool in self._frozen or pool is None:
            return
        elif is_drained(self._view, record):
            self._change(record, HostPhase.OUT)
        elif is_stuck(self._view, record):
            self._abandon_drain(record)

    def _advance_moving(self, record):
        if self._is_missing_too_long(record):
            self._change(record, HostPhase.FAILED, target="")
        elif record.pool in self._frozen:
            return
        elif is_drained(self._view, record):
            self._complete_move(record)
        elif is_stuck(self._view, record):
            self._abandon_drain(record)

    def _complete_move(self, record):
        """Moves a drained host into its new pool.

        It goes back to service if there is no failed host left to replace.
        """
        wanted = configured_pools(self._view).get(record.name, "")
        if wanted != record.configured:
            self._reassign(record, wanted)
            self._moves += 1
            return
        failed = sorted(
            other.name
            for other in self._view.membership.of_pool(record.target)
            if other.phase is HostPhase.FAILED and other.name not in self._changed
        )
        if not failed:
            self._change(record, HostPhase.SERVING, target="")
            return
        replaced = self._view.membership.records_by_name[failed[0]]
        self._changed[replaced.name] = replace(
            replaced, pool=record.pool, epoch=replaced.epoch + 1
        )
        self._change(
            record,
            HostPhase.RETURNING,
            pool=record.target,
            epoch=record.epoch + 1,
            target="",
        )
        self._moves += 1

    def _reassign(self, record, wanted):
        """Moves a drained or failed host to its configured pool, or removes it."""
        if not wanted:
            self._removed.add(record.name)
            return
        self._change(
            record,
            HostPhase.RETURNING,
            pool=wanted,
            epoch=record.epoch + 1,
            configured=wanted,
            target="",
        )

    def _advance_out(self, record):
        view = self._view
        pool = view.pools_by_name.get(record.pool)
        host = view.hosts_by_name.get(record.name)
        if pool is None or view.now - record.since > OUT_TIMEOUT_S:
            self._change(record, HostPhase.FAILED)
        elif is_live(view, record.name):
            if host.release == pool.release:
                self._change(record, HostPhase.RETURNING)
            else:
                self._host_commands.append(RebootHost(record.name, pool.release))

    def _advance_returning(self, record):
        view = self._view
        if record.name in view.probed and is_live(view, record.name):
            self._change(record, HostPhase.SERVING)
        elif (
            self._is_missing_too_long(record) or view.now - record.since > OUT_TIMEOUT_S
        ):
            self._change(record, HostPhase.FAILED)
        elif is_live(view, record.name):
            self._host_commands.append(ProbeHost(record.name))

    def _advance_failed(self, record):
        if is_live(self._view, record.name):
            self._change(record, HostPhase.RETURNING)

    def _start_reserved(self):
        """Starts to drain or move serving hosts whose budget use is granted."""
        targets = self._targets
        for record in self._view.membership.records_by_name.values():
            budget_use = self._view.budget_use(record.pool)
            reserved = record.name in budget_use.planned_in(self._view.data_centre)
            if record.phase is not HostPhase.SERVING or not reserved:
                continue
            if record.name in self._changed or record.pool in self._frozen:
                continue
            pool = self._view.pools_by_name.get(record.pool)
            if budget_use.total() > (pool.out_at_most if pool else 0):
                continue
            if record.name in targets:
                target = targets[record.name]
                self._change(record, HostPhase.MOVING, target=target)
            elif pool is not None and needs_release(self._view, record, pool):
                self._change(record, HostPhase.DRAINING)

    def _move_targets(self):
        """Returns the target pool by name of the hosts that should move."""
        records = self._view.membership.records_by_name
        targets = {
            spare: records[failed].pool
            for spare, failed in choose_replacements(self._view)
        }
        targets.update(choose_reconfigured(self._view))
        return targets

    def _correct_budget_uses(self):
        """Corrects this data centre's part of the budget uses to match the records."""
        view = self._view
        for pool in view.pools_by_name.values():
            budget_use = view.budget_use(pool.name)
            records = {r.name: r for r in view.membership.of_pool(pool.name)}
            planned = {
                name
                for name in budget_use.planned_in(view.data_centre)
                if name in records and self._stays_planned(records[name], pool)
            }
            failed = {
                name
                for name, record in records.items()
                if record.phase is HostPhase.FAILED
                or (record.phase in OUT_OF_SERVICE_PHASES and name not in planned)
            }
            wrong_planned = planned != budget_use.planned_in(view.data_centre)
            wrong_failed = failed != budget_use.failed_in(view.data_centre)
            if wrong_planned or wrong_failed:
                self._budget_commands.append(
                    CorrectBudgetUse(pool.name, frozenset(planned), frozenset(failed))
                )

    def _stays_planned(self, record, pool):
        if record.phase in OUT_OF_SERVICE_PHASES:
            return True
        if record.phase is not HostPhase.SERVING:
            return False
        return record.name in self._changed or (
            record.name in self._hosts_to_take_out(pool)
            and pool.name not in self._frozen
        )

    def _hosts_to_take_out(self, pool):
        """Returns the serving hosts of a pool that should be taken out."""
        names = set(self._targets)
        for record in self._view.membership.of_pool(pool.name):
            if needs_release(self._view, record, pool):
                names.add(record.name)
        if pool.name in self._view.burning_pools:
            names &= set(self._targets)
        return names

    def _reserve(self):
        """Requests budget for the hosts to take out next: moves before maintenance."""
        view = self._view
        records = view.membership.records_by_name
        moving = self._targets
        for pool in view.pools_by_name.values():
            if pool.name in self._frozen:
                continue
            movers = [
                name
                for name in sorted(moving)
                if records[name].pool == pool.name
                and records[name].phase is HostPhase.SERVING
            ]
            names = select_within_budget(view, pool, movers)
            if not names:
                names = choose_batch(view, pool, self._max_hosts_by_pool(pool))
            reserved = view.budget_use(pool.name).planned_in(view.data_centre)
            names = [name for name in names if name not in reserved]
            if names:
                self._budget_commands.append(ReserveBudget(pool.name, tuple(names)))
        for name, wanted in choose_reconfigured(view):
            record = records[name]
            if record.phase is HostPhase.FAILED and name not in self._changed:
                self._reassign(record, wanted)


def plan_tick(view, max_hosts_of_pool=None):
    """Returns the commands of one tick of a data centre's planner.

    Args:
        view: ``FleetView``.
        max_hosts_of_pool: See ``TickPlan``.
    """
    return TickPlan(view, max_hosts_of_pool).commands()
