"""Promises of the soak, checked on what clients and workers saw."""

import dataclasses
import json

# Clients wait 3 s; an answer that takes longer at a process that runs is
# beyond every promise, a busy machine's second allowed.
LONGEST_HELD_S = 4
# Answers that a client may be given, or none where its process was killed.
STATUSES = frozenset((0, 200, 404, 503, 504))
COMPLETED = 'completed'
STATES = frozenset((COMPLETED, 'failed'))
# Bounds of the platform's pages, in seconds.
GRACE_S = 6
CONTACT_S = 3
CONFIG_APPLY_S = 2
DOWNGRADE_S = 0.25
LOSS_SLACK_S = 0.2
DRAIN_S = 2


@dataclasses.dataclass(slots=True, kw_only=True)
class Disruption:
    """A time in which something was wrong.

    Attributes:
        kind: What was done.
        subject: Process that it was done to; empty for all of them.
        begun_s: When it began.
        ended_s: When it was over.
    """

    kind: str
    subject: str
    begun_s: float
    ended_s: float = float('inf')

    def touches(self, process, begun_s, ended_s):
        """Return whether it concerns a process within a time."""
        is_its_own = self.subject in {process, ''}
        return is_its_own and self.begun_s < ended_s and self.ended_s > begun_s


@dataclasses.dataclass(slots=True, kw_only=True)
class Seen:
    """All that a run has seen.

    Attributes:
        answers: What clients were told.
        state: What the stand-in says of workers.
        disruptions: What was unplanned.
        stops: Planned stops.
        versions: When each configuration was acknowledged, by its queue.
    """

    answers: list
    state: dict
    disruptions: list
    stops: list
    versions: dict

    def is_calm(self, process, begun_s, ended_s):
        """Return whether nothing unplanned concerned a process."""
        return not any(
            one.touches(process, begun_s, ended_s) for one in self.disruptions
        )

    def stood_s(self, answer):
        """Return how long a process stood still while a request was there."""
        total_s = 0
        for one in self.disruptions:
            if one.kind == 'pause' and one.subject == answer.process:
                begun_s = max(one.begun_s, answer.sent_s)
                total_s += max(min(one.ended_s, answer.ended_s) - begun_s, 0)
        return total_s


def broken(seen):
    """Return which promises were broken."""
    started = {name.split('.')[0] for name, _, _ in seen.state['starts']}
    found = list(seen.state['broken'])
    for answer in seen.answers:
        found.extend(broken_by_answer(seen, answer, started))
    return found + cut_by_stops(seen, started) + late_starts(seen)


def broken_by_answer(seen, answer, started):
    """Yield what is wrong with one answer by itself."""
    label = f'{answer.job_id} at {answer.process}'
    if answer.status not in STATUSES:
        yield f'{label} got status {answer.status}: {answer.body}'
    if answer.status == 503 and answer.job_id in started:
        yield f'{label} ran and was said not to'
    if answer.status == 200:
        yield from broken_by_state(seen, answer, label)
    held_s = answer.ended_s - answer.sent_s - seen.stood_s(answer)
    if held_s > LONGEST_HELD_S and is_reached(seen, answer):
        yield f'{label} waited {held_s:.1f} s'
    if answer.status == 404:
        yield from broken_by_version(seen, answer, label)


def is_reached(seen, answer):
    """Return whether the line between client and process was whole."""
    return not any(
        one.kind == 'cut'
        and one.touches(answer.process, answer.sent_s, answer.ended_s)
        for one in seen.disruptions
    )


def broken_by_state(seen, answer, label):
    """Yield what is wrong with the state that a client was told."""
    state = json.loads(answer.body).get('State')
    if state not in STATES:
        yield f'{label} was told {state}'
    done = sum(
        name.startswith(f'{answer.job_id}.') for name in seen.state['done']
    )
    if state == COMPLETED and done < answer.tasks:
        yield f'{label} has {done} of {answer.tasks} tasks done'


def broken_by_version(seen, answer, label):
    """Yield why a queue should have been known there."""
    queue = answer.path.split('/')[1]
    since_s = seen.versions.get(queue)
    if since_s is None:
        return
    begun_s = answer.sent_s - CONTACT_S
    is_late = answer.sent_s > since_s + CONFIG_APPLY_S
    if is_late and seen.is_calm(answer.process, begun_s, answer.sent_s):
        age_s = answer.sent_s - since_s
        yield f'{label} did not know {queue} after {age_s:.1f} s'
    known = [
        other.ended_s
        for other in seen.answers
        if other.path.startswith(f'/{queue}/') and is_known_there(other, answer)
    ]
    if answer.sent_s > min(known, default=answer.sent_s) + DOWNGRADE_S:
        yield f'{label} has forgotten {queue}'


def is_known_there(other, answer):
    """Return whether a request was taken by the process that refused another."""
    is_same = (other.process, other.incarnation) == (
        answer.process,
        answer.incarnation,
    )
    return is_same and other.status not in {0, 404}


def cut_by_stops(seen, started):
    """Return the requests that a planned stop has cut."""
    return [
        f'{answer.job_id} was cut by the stop of {answer.process} after '
        f'{answer.ended_s - answer.sent_s:.2f} s'
        for answer in seen.answers
        if not answer.status and is_cut_by_stop(seen, answer, started)
    ]


def is_cut_by_stop(seen, answer, started):
    """Return whether a planned stop alone has cut a request."""
    stop = next(
        (
            one
            for one in seen.stops
            if one.touches(answer.process, answer.sent_s, answer.ended_s)
        ),
        None,
    )
    if stop is None or answer.sent_s > stop.begun_s + GRACE_S:
        return False
    begun_s = answer.sent_s - CONTACT_S
    if not seen.is_calm(answer.process, begun_s, answer.ended_s):
        return False
    # At work to the end of the grace, a request may be cut.
    is_at_end = answer.ended_s > stop.begun_s + GRACE_S * 5 / 6
    was_early = answer.sent_s < stop.begun_s + CONTACT_S
    if answer.job_id in started:
        return not (is_at_end and was_early)
    return answer.ended_s - answer.sent_s > LOSS_SLACK_S


def late_starts(seen):
    """Return the starts on workers that had told long before that they leave.

    The word of it may be late while the store or any process is disrupted.
    """
    return [
        f'{task} started on {worker} {at_s - since_s:.1f} s after it drained'
        for worker, task, since_s, at_s in seen.state['late_starts']
        if not any(
            one.begun_s < at_s and one.ended_s > since_s - CONTACT_S
            for one in seen.disruptions
        )
    ]
