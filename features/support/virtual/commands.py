"""Plays many seeds: ``python -m features.support.virtual.commands --first 1``."""

import argparse
import functools
import multiprocessing
import os
import random
import sys
import time

from features.support.virtual.cases import CASES
from features.support.virtual.schedules import draw_schedule, draw_wide_schedule
from features.support.virtual.worlds import Size, World

SHOWN_LINES = 45
GENERAL = ("leadership", "take-over", "jobs loaded", "worker re", "worker l", "suspect")


def size_of(seed):
    """Returns the ``Size`` of a seed's site."""
    source = random.Random(f"{seed}/size")
    return Size(
        nodes=source.choice((2, 3, 3)),
        workers=source.choice((3, 4, 5)),
        seconds=source.choice((35.0, 45.0)),
        job_period_s=source.choice((0.3, 0.5, 0.8)),
    )


def draw_of(seed, is_wide):
    """Returns the schedule of a seed: random faults, or a wide schedule."""
    draw = draw_wide_schedule if is_wide else draw_schedule
    return draw(seed, size_of(seed).seconds)


def play(seed, faults):
    """Plays a schedule on the site of a seed; returns the world."""
    world = World(seed, size_of(seed))
    world.run(faults)
    return world


def play_case(name, seed):
    """Plays a directed case with a seed; returns the world and its faults."""
    case = CASES[name]
    faults = case.draw(random.Random(f"{seed}/{name}"))
    world = World(seed, case.size)
    world.run(faults)
    return world, faults


def shrink(seed, faults, rule):
    """Drops faults one by one while the same rule is still broken."""
    faults = tuple(faults)
    for fault in list(faults):
        fewer = tuple(other for other in faults if other is not fault)
        if any(found.rule == rule for found in play(seed, fewer).checker.violations):
            faults = fewer
    return faults


def describe(world, violation, shown=SHOWN_LINES):
    """Returns the lines of a report on a broken rule."""
    lines = [f"  {violation.rule}: task {violation.task} at {violation.at:.3f}"]
    lines += [f"    {run}" for run in violation.runs]
    text = " ".join(violation.runs)
    job_id = violation.task.partition(".")[0]

    def is_shown(line):
        if line.at > violation.at + 0.5:
            return False
        if line.task or line.job:
            return line.task == violation.task or (not line.task and line.job == job_id)
        if line.kind in ("node", "fault"):
            return True
        is_involved = line.worker and f"{line.worker}@" in text
        return is_involved or any(word in line.text for word in GENERAL)

    found = [line for line in world.lines if is_shown(line)]
    lines += [f"    {line.at:8.3f} {line.text}" for line in found[-shown:]]
    return lines


def _play_counted(is_wide, seed):
    began = time.process_time()
    world = play(seed, draw_of(seed, is_wide))
    return {
        "seed": seed,
        "spent_s": time.process_time() - began,
        "violations": list(world.checker.violations),
        "errors": world.errors[:3],
        "starts": world.checker.starts,
        "acknowledged": world.checker.acknowledged,
        "accepted": world.jobs.accepted,
        "completed": world.checker.completed,
        "takeovers": world.takeovers,
        "report": [
            line
            for found in world.checker.violations[:1]
            for line in describe(world, found)
        ],
    }


def _play_case_counted(name, seed):
    world, faults = play_case(name, seed)
    violations = list(world.checker.violations)
    return {
        "seed": seed,
        "faults": faults,
        "violations": violations,
        "errors": world.errors[:2],
        "report": describe(world, violations[0]) if violations else [],
    }


def run_seeds(play_counted, seeds, processes):
    """Yields the results of ``play_counted`` for seeds, in the order of the seeds."""
    if processes == 1:
        yield from map(play_counted, seeds)
        return
    with multiprocessing.Pool(processes, maxtasksperchild=100) as pool:
        yield from pool.imap(play_counted, seeds)


def main():
    """Plays the seeds that the command line names; exit code 1 if any fails."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--processes", type=int, default=1)
    parser.add_argument("--shrink", action="store_true")
    parser.add_argument("--brief", action="store_true")
    schedules = parser.add_mutually_exclusive_group()
    schedules.add_argument("--case", default="", choices=("", *CASES))
    schedules.add_argument("--wide", action="store_true")
    options = parser.parse_args()
    if "PYTHONHASHSEED" not in os.environ:
        # The order of sets of texts must be the same in each run of a seed.
        os.environ["PYTHONHASHSEED"] = "0"
        module = "features.support.virtual.commands"
        os.execv(sys.executable, [sys.executable, "-m", module, *sys.argv[1:]])
    seeds = range(options.first, options.first + options.seeds)
    if options.case:
        sys.exit(_run_case(options, seeds))
    failing, totals, spent_s = [], {}, 0.0
    play_counted = functools.partial(_play_counted, options.wide)
    for result in run_seeds(play_counted, seeds, options.processes):
        spent_s += result["spent_s"]
        for name in ("starts", "acknowledged", "accepted", "completed", "takeovers"):
            totals[name] = totals.get(name, 0) + result[name]
        for error in result["errors"]:
            print(f"seed {result['seed']}: error {error}", flush=True)
        if result["violations"]:
            failing.append(result["seed"])
            _print_failure(result, options)
    print(f"{len(failing)} of {options.seeds} seeds failed: {sorted(failing)}")
    print(f"{totals}, {spent_s:.1f} s of processor time")
    sys.exit(1 if failing else 0)


def _run_case(options, seeds):
    """Plays a case with each seed; prints the first report; returns the exit code."""
    failing = {}
    play_counted = functools.partial(_play_case_counted, options.case)
    for result in run_seeds(play_counted, seeds, options.processes):
        for error in result["errors"]:
            print(f"seed {result['seed']}: error {error}")
        if result["violations"] and not failing and not options.brief:
            print("\n".join([f"  {fault}" for fault in result["faults"]]))
            print("\n".join(result["report"]), flush=True)
        if result["violations"]:
            rules = {violation.rule for violation in result["violations"]}
            failing[result["seed"]] = sorted(rules)
    print(f"{options.case}: {len(failing)} of {len(seeds)} seeds failed: {failing}")
    return 1 if failing else 0


def _print_failure(result, options):
    seed, first = result["seed"], result["violations"][0]
    print(f"seed {seed}: {len(result['violations'])} broken, first {first.rule}")
    faults = draw_of(seed, options.wide)
    if options.shrink:
        faults = shrink(seed, faults, first.rule)
        world = play(seed, faults)
        found = [v for v in world.checker.violations if v.rule == first.rule][0]
        result["report"] = describe(world, found)
    for fault in faults:
        print(f"  {fault}")
    if not options.brief:
        print("\n".join(result["report"]))
    sys.stdout.flush()


if __name__ == "__main__":
    main()
