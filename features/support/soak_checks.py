"""Invariants of the soak, checked on what clients and workers observed."""

import collections
import dataclasses
import json

from support import platform_requests

# Clients wait 3 s; the rest allows for delays on a busy machine.
MAX_RESPONSE_S = 4
# Statuses that a client may get; 0 if there was no response, as from a process
# that was killed.
STATUSES = frozenset((0, 200, 404, 503, 504))
# Reason of the 503 of a process that serves no queue yet.
NO_CONFIGURATION = 'no configuration'
COMPLETED = 'completed'
FAILED = 'failed'
STATES = frozenset((COMPLETED, FAILED))
# Limits that the platform documents, in seconds.
GRACE_S = 6
CONTACT_S = 3
CONFIG_APPLY_S = 2
DOWNGRADE_S = 0.25
LOSS_SLACK_S = 0.2
DRAIN_S = 2
# Crashed workers after which a task may be given up, and after which it may be
# started only a few times more.
GIVE_UP_CRASHES = 2
MAX_CRASHES = 3
MAX_STARTS_AFTER_CRASHES = 2


@dataclasses.dataclass(slots=True, kw_only=True)
class Disruption:
    """A period of a fault or of a planned stop.

    Attributes:
        kind: Kind of the disruption.
        subject: Name of the affected process; empty for all of them.
        begun_s: When it began.
        ended_s: When it ended.
        is_lasting: Whether connections that were open when it began stay
            disrupted after its end.
    """

    kind: str
    subject: str
    begun_s: float
    ended_s: float = float('inf')
    is_lasting: bool = False

    def affects(self, process, begun_s, ended_s):
        """Return whether it affects a process within a period."""
        is_subject = self.subject in {process, ''}
        return is_subject and self.begun_s < ended_s and self.ended_s > begun_s


@dataclasses.dataclass(slots=True, kw_only=True)
class Observations:
    """Everything that was observed during a run.

    Attributes:
        answers: Responses that clients got.
        state: State of the workers, as the stand-in reports it.
        disruptions: Unplanned disruptions.
        stops: Planned stops.
        versions: When each configuration was acknowledged, by its queue.
    """

    answers: list
    state: dict
    disruptions: list
    stops: list
    versions: dict

    def is_undisturbed(self, process, begun_s, ended_s):
        """Return whether no unplanned disruption affected a process."""
        return not any(
            disruption.affects(process, begun_s, ended_s)
            for disruption in self.disruptions
        )

    def has_started(self, answer):
        """Return whether a task started before the job was sent again."""
        resent_s = min(
            (
                other.sent_s
                for other in self.answers
                if other.job_id == answer.job_id
                and other.sent_s > answer.sent_s
            ),
            default=float('inf'),
        )
        return any(
            answer.sent_s < started_s < resent_s
            for (name, _, _), started_s in zip(
                self.state['starts'], self.state['started_s'], strict=True
            )
            if job_of(name) == answer.job_id
        )

    def crash_counts(self):
        """Return how many workers have crashed while they ran each task."""
        return collections.Counter(name for name, _ in self.state['crashes'])

    def may_have_failed(self, job_id):
        """Return whether a task of a job has failed or crashed too often."""
        failures = self.state['failures']
        return any(
            failures.get(name, 0) >= platform_requests.MAX_ATTEMPTS
            or crashes >= GIVE_UP_CRASHES
            for name, crashes in (
                dict.fromkeys(failures, 0) | self.crash_counts()
            ).items()
            if job_of(name) == job_id
        )

    def suspended_s(self, answer):
        """Return how long a process was suspended during a request."""
        total_s = 0
        for pause in self.disruptions:
            if pause.kind == 'pause' and pause.subject == answer.process:
                begun_s = max(pause.begun_s, answer.sent_s)
                total_s += max(min(pause.ended_s, answer.ended_s) - begun_s, 0)
        return total_s


def job_of(task):
    """Return the id of a task's job."""
    return task.partition('.')[0]


def violations(observed):
    """Return the violations of all invariants."""
    started = {job_of(name) for name, _, _ in observed.state['starts']}
    found = list(observed.state['broken'])
    for answer in observed.answers:
        found.extend(response_violations(observed, answer, started))
    found.extend(starts_after_crashes(observed))
    return found + dropped_by_stops(observed) + late_starts(observed)


def response_violations(observed, answer, started):
    """Yield the violations of a single response."""
    label = f'{answer.job_id} at {answer.process}, attempt {answer.attempt},'
    if answer.status not in STATUSES:
        yield f'{label} got status {answer.status}: {answer.body}'
    if answer.status == 503 and answer.job_id in started:
        yield f'{label} ran but was reported as not run'
    if answer.status == 200:
        yield from state_violations(observed, answer, label)
    waited_s = answer.ended_s - answer.sent_s - observed.suspended_s(answer)
    if waited_s > MAX_RESPONSE_S and is_connected(observed, answer):
        yield f'{label} waited {waited_s:.1f} s'
    if answer.status == 404:
        yield from version_violations(observed, answer, label)


def is_connected(observed, answer):
    """Return whether no fault affected the client's connection."""
    return not any(
        disruption.kind == 'connection'
        and disruption.affects(
            answer.process, used_since_s(answer, disruption), answer.ended_s
        )
        for disruption in observed.disruptions
    )


def used_since_s(answer, disruption):
    """Return since when a disruption of its connection affects a request."""
    return answer.opened_s if disruption.is_lasting else answer.sent_s


def state_violations(observed, answer, label):
    """Yield the violations of the job state that a client got."""
    state = json.loads(answer.body).get('State')
    if state not in STATES:
        yield f'{label} got state {state}'
    done = sum(
        name.startswith(f'{answer.job_id}.') for name in observed.state['done']
    )
    if state == COMPLETED and done < answer.tasks:
        yield f'{label} has {done} of {answer.tasks} tasks done'
    if state == FAILED and not observed.may_have_failed(answer.job_id):
        yield f'{label} got state failed without cause'


def version_violations(observed, answer, label):
    """Yield why a process should have served a queue."""
    queue = answer.path.split('/')[1]
    since_s = observed.versions.get(queue)
    if since_s is None:
        return
    begun_s = answer.sent_s - CONTACT_S
    is_late = answer.sent_s > since_s + CONFIG_APPLY_S
    if is_late and observed.is_undisturbed(
        answer.process, begun_s, answer.sent_s
    ):
        age_s = answer.sent_s - since_s
        yield (
            f'{label} did not serve {queue} {age_s:.1f} s after its '
            'configuration was acknowledged'
        )
    served = [
        other.ended_s
        for other in observed.answers
        if other.path.startswith(f'/{queue}/')
        and is_served_by_same_process(other, answer)
    ]
    if answer.sent_s > min(served, default=answer.sent_s) + DOWNGRADE_S:
        yield f'{label} no longer serves {queue}'


def is_served_by_same_process(other, answer):
    """Return whether the process that refused a request served another one."""
    is_same = (other.process, other.incarnation) == (
        answer.process,
        answer.incarnation,
    )
    is_refused = other.status in {0, 404} or had_no_configuration(other)
    return is_same and not is_refused


def had_no_configuration(answer):
    """Return whether a process answered that it has no configuration yet."""
    if answer.status != 503:
        return False
    try:
        body = json.loads(answer.body)
    except ValueError:
        return False
    return body == {'Reason': NO_CONFIGURATION}


def dropped_by_stops(observed):
    """Return the requests that a planned stop has dropped."""
    return [
        f'{answer.job_id} was dropped by the stop of {answer.process} after '
        f'{answer.ended_s - answer.sent_s:.2f} s'
        for answer in observed.answers
        if not answer.status and is_dropped_by_stop(observed, answer)
    ]


def is_dropped_by_stop(observed, answer):
    """Return whether nothing but a planned stop has dropped a request."""
    stop = next(
        (
            planned_stop
            for planned_stop in observed.stops
            if planned_stop.affects(
                answer.process, answer.sent_s, answer.ended_s
            )
        ),
        None,
    )
    if stop is None or answer.sent_s > stop.begun_s + GRACE_S:
        return False
    begun_s = answer.sent_s - CONTACT_S
    if not observed.is_undisturbed(answer.process, begun_s, answer.ended_s):
        return False
    # A job that still runs at the end of the grace period may be dropped.
    is_at_end = answer.ended_s > stop.begun_s + GRACE_S * 5 / 6
    was_early = answer.sent_s < stop.begun_s + CONTACT_S
    if observed.has_started(answer):
        return not (is_at_end and was_early)
    return answer.ended_s - answer.sent_s > LOSS_SLACK_S


def starts_after_crashes(observed):
    """Return the tasks that were started on although they crash workers."""
    starts = [name for name, _, _ in observed.state['starts']]
    begins = collections.defaultdict(list)
    for name, start_count in observed.state['crashes']:
        begins[name].append(start_count)
    found = []
    for name, start_counts in begins.items():
        if len(start_counts) >= MAX_CRASHES:
            count = starts[start_counts[MAX_CRASHES - 1] :].count(name)
            if count > MAX_STARTS_AFTER_CRASHES:
                found.append(
                    f'{name} was started {count} times after it had crashed '
                    f'{MAX_CRASHES} workers'
                )
    return found


def late_starts(observed):
    """Return the starts on workers that announced long before that they leave.

    The announcement may be late while the store or any process is disrupted.
    """
    return [
        f'{task} started on {worker} {at_s - since_s:.1f} s after it drained'
        for worker, task, since_s, at_s in observed.state['late_starts']
        if not any(
            disruption.begun_s < at_s
            and disruption.ended_s > since_s - CONTACT_S
            for disruption in observed.disruptions
        )
    ]
