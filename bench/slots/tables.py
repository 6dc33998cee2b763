"""Rows of the result tables."""

import dataclasses
import math
from typing import Any, Final

from bench.slots import plans, runs
from hdrh import histogram

# Histograms count integers: numbers are stored in thousandths.
_SCALE: Final = 1000
WARM_UP_S: Final = 1
_HIGHEST_SCALED: Final = 10_000_000
_SIGNIFICANT_DIGITS: Final = 3
_COMPLETE: Final = 'COMPLETE'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """Result of one run.

    Attributes:
        way: Name of the slot policy.
        load: Share of the slots that the plan needs.
        seed: Seed of the plan.
        jobs: Jobs sent.
        failed: Jobs not answered with COMPLETE.
        median: Median ratio of the response time to the ideal; jobs of the
            first second are left out.
        p99: 99th percentile of that ratio.
        starts: Tasks started.
        messages: Slot reports and slot orders per task start.
        wasted: Refusals by busy upstreams and empty slot orders per task start.
        core_percent: Mean processor usage of an instance, percent of a core.
        late_p99_ms: 99th percentile of the delay with which the load generator
            sent, milliseconds.
    """

    way: str
    load: float
    seed: int
    jobs: int
    failed: int
    median: float
    p99: float
    starts: int
    messages: float
    wasted: float
    core_percent: float
    late_p99_ms: float


def build_histogram(numbers: list[float]) -> Any:
    """Return a histogram of numbers in thousandths."""
    result = histogram.HdrHistogram(1, _HIGHEST_SCALED, _SIGNIFICANT_DIGITS)
    for number in numbers:
        result.record_value(max(1, round(number * _SCALE)))
    return result


def percentile(numbers: list[float], percent: float) -> float:
    """Return a percentile of numbers."""
    if not numbers:
        return math.nan
    return (
        float(build_histogram(numbers).get_value_at_percentile(percent))
        / _SCALE
    )


def row_of(policy: str, load: float, seed: int, run: runs.Run) -> Row:
    """Return the row of one run."""
    ratios = [
        outcome.seconds / plans.ideal_s(arrival, load)
        for arrival, outcome in zip(run.planned, run.outcomes, strict=True)
        if outcome.name == _COMPLETE and arrival.at_s > WARM_UP_S
    ]
    failed = [
        job_outcome
        for job_outcome in run.outcomes
        if job_outcome.name != _COMPLETE
    ]
    starts = max(1, run.after.starts - run.before.starts)
    busy = run.after.busy - run.before.busy
    empty = run.after.empty - run.before.empty
    seconds = max(
        arrival.at_s + outcome.seconds
        for arrival, outcome in zip(run.planned, run.outcomes, strict=True)
    )
    cpu_s = (run.after.cpu_s - run.before.cpu_s) / plans.INSTANCES
    late = [
        outcome.late_s
        for arrival, outcome in zip(run.planned, run.outcomes, strict=True)
        if arrival.at_s > WARM_UP_S
    ]
    return Row(
        way=policy,
        load=load,
        seed=seed,
        jobs=len(run.planned),
        failed=len(failed),
        median=percentile(ratios, 50),
        p99=percentile(ratios, 99),
        starts=starts,
        messages=(run.after.messages - run.before.messages) / starts,
        wasted=(busy + empty) / starts,
        core_percent=100 * cpu_s / seconds,
        late_p99_ms=percentile(late, 99) * _SCALE,
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """Service that one group of jobs got in a run.

    Attributes:
        case: Name of the flood case.
        group: Name of the group.
        jobs: Jobs sent.
        completed: Jobs answered with COMPLETE.
        refused: Jobs refused and not run.
        task_s: Slot-seconds of the completed jobs.
        p50_s: Median response time, seconds.
        p99_s: 99th percentile of the response time, seconds.
    """

    case: str
    group: str
    jobs: int
    completed: int
    refused: int
    task_s: float
    p50_s: float
    p99_s: float


def service_of(case: str, group: str, run: runs.Run) -> Service:
    """Return the service that one group got."""
    pairs = [
        (arrival, outcome)
        for arrival, outcome in zip(run.planned, run.outcomes, strict=True)
        if arrival.group == group
    ]
    done = [pair for pair in pairs if pair[1].name == _COMPLETE]
    refused = [pair for pair in pairs if pair[1].ran == 'no']
    seconds = [outcome.seconds for _, outcome in done]
    return Service(
        case=case,
        group=group,
        jobs=len(pairs),
        completed=len(done),
        refused=len(refused),
        task_s=sum(sum(arrival.tasks_ms) for arrival, _ in done) / _SCALE,
        p50_s=percentile(seconds, 50),
        p99_s=percentile(seconds, 99),
    )


def format_row(cells: tuple[Any, ...]) -> str:
    """Return the cells as a row of a Markdown table."""
    texts = [
        format(cell, '.3g') if isinstance(cell, float) else str(cell)
        for cell in cells
    ]
    joined = ' | '.join(texts)
    return f'| {joined} |'
