"""Run times of tasks: length of each kind of work, speed of each worker.

Handles workers of uneven speed and estimates that are off. A task on a slow
worker misses its latency objective where the same task on a faster one would
not. The estimates only order the choices: a wrong one costs time.
"""

import dataclasses
import math
from typing import Final, NewType

from guavaroad.domain.pool import values, work, worker

# Kind of work: urgency and power of two of the estimate in milliseconds.
Kind = NewType('Kind', tuple[int, int])
SpeedClass = NewType('SpeedClass', int)

# Steps are clipped to this logarithm, so that a run that takes many times as
# long as the others moves an estimate no further than one that is 1.6 times as
# long.
MAX_STEP: Final = 0.5
# Least weight of the newest run. The first runs are explained by the length of
# their kind until the speeds are known, and must be forgotten.
MIN_KIND_WEIGHT: Final = 0.02
MIN_LABEL_WEIGHT: Final = 0.02
# The usual speed is that of the mean run over some time.
MIN_USUAL_WEIGHT: Final = 0.002
MIN_WORKER_WEIGHT: Final = 0.1
# Runs that the speed of its label counts for in that of a worker.
LABEL_RUNS: Final = 8
# Time in which a worker's difference from its label fades, in seconds, so that
# a worker that was slow for a time is tried again.
FADE_S: Final = 4.0
# Part of a run's time that does not depend on the worker, in seconds: the start
# order and the report of the end.
OVERHEAD_S: Final = 0.1
# Share of runs that take no longer than the cautious run time: a job of several
# tasks is late if one of them is.
CAUTIOUS_SHARE: Final = 0.95
# Step and bound of the cautious run time by the usual one, as logarithms.
MARGIN_STEP: Final = 0.02
MAX_RATIO: Final = 2
MAX_MARGIN: Final = math.log(MAX_RATIO)
# Cautious run time by the usual one before it is observed: estimates may be off
# by 40 %.
FIRST_RATIO: Final = 1.4
FIRST_MARGIN: Final = math.log(FIRST_RATIO)
# Speeds of two adjacent classes differ by this factor.
CLASS_RATIO: Final = 1.5
CLASS_STEP: Final = math.log(CLASS_RATIO)
# A worker changes its class when it is further from it than this share of a
# step, which is more than half so that it does not alternate.
CLASS_REACH: Final = 0.7
# Slowest and fastest class, relative to the usual speed. Bounds the number of
# classes, with which the cost of a choice grows.
MAX_CLASS: Final = 4
# Least estimate, in seconds.
MIN_ESTIMATE_S: Final = 0.001
_LOWEST_URGENCY: Final = 9
_MS_PER_S: Final = 1000


@dataclasses.dataclass(slots=True, kw_only=True)
class Level:
    """A smoothed logarithm.

    Attributes:
        log: The logarithm.
        runs: Runs that it is learned from, by weight.
        spread: Smoothed distance of the runs from it.
    """

    log: float = 0
    runs: float = 0
    spread: float = 0

    def learn(self, error: float, weight: float, min_weight: float) -> None:
        """Follow a run.

        Args:
            error: Distance of the run, as a logarithm, clipped.
            weight: Weight of the run, up to 1.
            min_weight: Least weight of a run in the level.
        """
        self.runs += weight
        share = weight * max(1 / (1 + self.runs), min_weight)
        self.log += share * error
        self.spread += share * (abs(error) - self.spread)


@dataclasses.dataclass(slots=True, kw_only=True)
class KindOfWork:
    """Run times of one kind of work.

    Attributes:
        length: Usual run time by the estimate.
        margin: Cautious run time by the usual one, as a logarithm.
    """

    length: Level = dataclasses.field(default_factory=Level)
    margin: float = FIRST_MARGIN


@dataclasses.dataclass(slots=True, kw_only=True)
class Speed:
    """Speed of one worker.

    Attributes:
        own: Its difference from the speed of its label.
        learned_s: Time of its last run, in seconds.
        speed_class: Its class as last read.
    """

    own: Level = dataclasses.field(default_factory=Level)
    learned_s: float = 0
    speed_class: SpeedClass = SpeedClass(0)


class RunTimes:
    """Learns the run times of one pool.

    Attributes:
        kinds: Run times of each kind of work.
        labels: Speed of the workers with a label.
        speeds: Speed of each worker.
        usual: Speed of the worker that runs a usual task.
    """

    def __init__(self) -> None:
        self.kinds: dict[Kind, KindOfWork] = {}
        self.labels: dict[str, Level] = {}
        self.speeds: dict[values.WorkerId, Speed] = {}
        self.usual = Level()

    def expected_s(self, task: work.Task) -> float:
        """Return the run time of a task on a usual worker, in seconds."""
        kind = self.kinds.get(kind_of(task))
        length = kind.length.log if kind else 0
        return task.estimate_s * math.exp(length - self.usual.log)

    def expected_on_s(
        self, task: work.Task, worker_state: worker.Worker, now_s: float
    ) -> float:
        """Return the run time of a task on a worker, in seconds."""
        kind = self.kinds.get(kind_of(task))
        length = kind.length.log if kind else 0
        speed = self.speed_log(worker_state, now_s)
        return task.estimate_s * math.exp(length - speed)

    def cautious_on_s(
        self, task: work.Task, worker_state: worker.Worker, now_s: float
    ) -> float:
        """Return the run time that nearly all runs on a worker stay below.

        In seconds.
        """
        kind = self.kinds.get(kind_of(task))
        margin = kind.margin if kind else FIRST_MARGIN
        expected_s = self.expected_on_s(task, worker_state, now_s)
        return expected_s * math.exp(margin)

    def record(
        self,
        task: work.Task,
        worker_state: worker.Worker,
        elapsed_s: float,
        now_s: float,
    ) -> None:
        """Learn from a run that has succeeded.

        Args:
            task: Its task.
            worker_state: Its worker.
            elapsed_s: Time from the start order to the report of its end, in
                seconds. The caller leaves out runs whose start is unknown.
            now_s: Current time, in seconds.
        """
        if elapsed_s <= 0:
            return
        estimate_s = max(task.estimate_s, MIN_ESTIMATE_S)
        weight = (estimate_s / (estimate_s + OVERHEAD_S)) ** 2
        kind = self.kinds.setdefault(kind_of(task), KindOfWork())
        ratio = math.log(elapsed_s / estimate_s)
        speed = self.speed_log(worker_state, now_s)
        self.learn_margin(kind, ratio - kind.length.log + speed)
        # The length goes first: on even workers it explains all.
        error = _clipped(ratio - kind.length.log + speed)
        kind.length.learn(error, 1, MIN_KIND_WEIGHT)
        error = _clipped(kind.length.log - ratio - speed)
        self.learn_speed(worker_state, error, weight, now_s)

    def learn_margin(self, kind: KindOfWork, error: float) -> None:
        """Follow the run time that a share of the runs stays below."""
        if error > kind.margin:
            kind.margin += MARGIN_STEP * CAUTIOUS_SHARE
        else:
            kind.margin -= MARGIN_STEP * (1 - CAUTIOUS_SHARE)
        kind.margin = max(0, min(MAX_MARGIN, kind.margin))

    def learn_speed(
        self,
        worker_state: worker.Worker,
        error: float,
        weight: float,
        now_s: float,
    ) -> None:
        """Follow a run in the speeds of its worker and of its labels."""
        prior = self.label_log(worker_state)
        speed = self.speeds.setdefault(
            worker_state.worker_info.worker_id, Speed()
        )
        own = self.own_log(speed, now_s)
        for name in worker_state.worker_info.labels:
            label = self.labels.setdefault(name, Level())
            label.learn(
                _clipped(error + own + prior - label.log),
                weight,
                MIN_LABEL_WEIGHT,
            )
        rest = _clipped(error + prior - self.label_log(worker_state))
        if not speed.own.runs:
            speed.own.runs = LABEL_RUNS
        speed.own.log = own
        speed.own.learn(rest, weight, MIN_WORKER_WEIGHT)
        speed.learned_s = now_s
        gap = self.speed_log(worker_state, now_s) - self.usual.log
        self.usual.learn(gap, weight, MIN_USUAL_WEIGHT)

    def label_log(self, worker_state: worker.Worker) -> float:
        """Return the speed of a worker's label, as a logarithm.

        Of its labels, that of the kind of worker differs least from run to run;
        a label on workers of several speeds says little.
        """
        known = [
            label
            for name in worker_state.worker_info.labels
            if (label := self.labels.get(name)) and label.runs >= LABEL_RUNS
        ]
        if not known:
            return self.usual.log
        return min(known, key=_spread).log

    def own_log(self, speed: Speed, now_s: float) -> float:
        """Return a worker's difference from its label, as a logarithm."""
        idle_s = max(now_s - speed.learned_s, 0)
        return speed.own.log * math.exp(-idle_s / FADE_S)

    def speed_log(self, worker_state: worker.Worker, now_s: float) -> float:
        """Return the speed of a worker, as a logarithm."""
        speed = self.speeds.get(worker_state.worker_info.worker_id)
        own = self.own_log(speed, now_s) if speed else 0
        return self.label_log(worker_state) + own

    def class_of(self, worker_state: worker.Worker, now_s: float) -> SpeedClass:
        """Return the speed class of a worker; 0 is the usual one."""
        relative = self.speed_log(worker_state, now_s) - self.usual.log
        steps = relative / CLASS_STEP
        speed = self.speeds.get(worker_state.worker_info.worker_id)
        if speed is None:
            return _nearest(steps)
        if abs(steps - speed.speed_class) > CLASS_REACH:
            speed.speed_class = _nearest(steps)
        return speed.speed_class

    def is_slowed(self, worker_state: worker.Worker, now_s: float) -> bool:
        """Return whether a worker is far slower than its label."""
        speed = self.speeds.get(worker_state.worker_info.worker_id)
        return speed is not None and self.own_log(speed, now_s) < -CLASS_STEP

    def forget(self, worker_id: values.WorkerId) -> None:
        """Forget a worker that was removed."""
        self.speeds.pop(worker_id, None)


def kind_of(task: work.Task) -> Kind:
    """Return the kind of work of a task."""
    estimate_ms = max(task.estimate_s, MIN_ESTIMATE_S) * _MS_PER_S
    urgency = min(max(task.job.urgency, 0), _LOWEST_URGENCY)
    return Kind((urgency, round(math.log2(estimate_ms))))


def _clipped(error: float) -> float:
    return max(-MAX_STEP, min(MAX_STEP, error))


def _nearest(steps: float) -> SpeedClass:
    return SpeedClass(max(-MAX_CLASS, min(MAX_CLASS, round(steps))))


def _spread(level: Level) -> float:
    return level.spread
