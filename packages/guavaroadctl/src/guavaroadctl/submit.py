"""Submits a job under an id, so that a broken line can be resumed."""

import dataclasses
from typing import Any, Final

import msgspec
from twisted.internet import defer

from guavaroad.ports import timers
from guavaroadctl import (
    answer_text,
    connection,
    exit_codes,
    lookup,
    replies,
    reports,
    session,
    sources,
)

_PROGRESS_PERIOD_S: Final = 2
_RETRY_PAUSE_S: Final = 0.5
_POLL_PAUSE_S: Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """A job that is ready to be sent.

    Attributes:
        job: Name of the job.
        submission_id: Id to send it under.
        body: Encoded request body.
    """

    job: str
    submission_id: str
    body: bytes

    def request(self, timeout_s: float, *, detach: bool) -> connection.Request:
        """Return the request; sending it again under its id is safe."""
        headers = {
            'Idempotency-Key': self.submission_id,
            'Content-Type': 'application/json',
        }
        if detach:
            headers['Prefer'] = 'respond-async'
        return connection.Request(
            method='POST',
            path=f'/v1/jobs/{self.job}/submissions',
            body=self.body,
            headers=headers,
            timeout_s=timeout_s,
        )


class Progress:
    """Shows how far a submission is, while its answer is awaited."""

    def __init__(self, *, means: session.Session, submission_id: str) -> None:
        self.means = means
        self.submission_id = submission_id
        self.shown = ''
        self.subscription: timers.Timer | None = None

    def start(self) -> None:
        """Begin to look the submission up."""
        self.subscription = self.means.timers.subscribe(
            _PROGRESS_PERIOD_S, self.look
        )

    def stop(self) -> None:
        """Look no more."""
        if self.subscription is not None:
            self.subscription.cancel()
            self.subscription = None

    def look(self) -> Any:
        """Look once."""
        return defer.ensureDeferred(self.show())

    async def show(self) -> None:
        """Look the submission up and tell what changed."""
        found = await lookup.find(self.means, self.submission_id)
        match found:
            case replies.Body() if not found.ended():
                told = answer_text.progress(found.answer.extra)
                self.tell(told or found.answer.detail)

    def tell(self, told: str) -> None:
        """Tell progress, unless it ended or stands still."""
        if self.subscription is None or told == self.shown:
            return
        self.shown = told
        session.note(told)


async def run(means: session.Session, job: str, path: str) -> reports.Result:
    """Submit the tasks of a file and wait for the answer.

    Args:
        means: What commands work with.
        job: Name of the job.
        path: File with the tasks, or `-`.

    Returns:
        The answer, or why there is none.
    """
    body = read_body(path, means.options.deadline_ms)
    match body:
        case reports.Problem():
            return body
    submission_id = await choose_id(means)
    match submission_id:
        case reports.Problem() | reports.Report():
            return submission_id
    session.note(f'submission {submission_id}')
    plan = Plan(job=job, submission_id=submission_id, body=body)
    progress = Progress(means=means, submission_id=submission_id)
    progress.start()
    ended = await follow(means, plan)
    progress.stop()
    return conclude(ended, plan)


def read_body(path: str, deadline_ms: int) -> bytes | reports.Problem:
    """Return the encoded request body of the tasks in a file."""
    payloads = sources.payloads(path)
    match payloads:
        case reports.Problem():
            return payloads
    body: dict[str, Any] = {
        'tasks': [{'payload': payload} for payload in payloads]
    }
    if deadline_ms:
        body['deadline_ms'] = deadline_ms
    return msgspec.json.encode(body)


async def choose_id(
    means: session.Session,
) -> str | reports.Problem | reports.Report:
    """Return the id to resume, or a fresh one."""
    if means.options.submission_id:
        return means.options.submission_id
    answered = await means.link.ask(
        connection.Request(
            method='POST', path='/v1/submission-ids', body=b'{"count":1}'
        )
    )
    minted = replies.read(answered)
    match minted:
        case reports.Problem():
            return minted
    ids = minted.extra('submission_ids')
    return str(ids[0]) if ids else answer_text.report(minted)


async def follow(
    means: session.Session, plan: Plan
) -> replies.Body | reports.Problem:
    """Send a job until it is answered or the wait is over.

    Args:
        means: What commands work with.
        plan: The job.

    Returns:
        The last answer, or why there is none.
    """
    began_s = means.timers.now()
    sent = False
    while True:
        answered = await means.link.ask(
            plan.request(
                means.remaining_s(began_s) or _RETRY_PAUSE_S,
                detach=means.options.detach,
            )
        )
        match answered:
            case connection.Answered():
                return await settle(means, plan, replies.read(answered))
        sent = sent or answered.sent
        if means.remaining_s(began_s) < _RETRY_PAUSE_S:
            return dataclasses.replace(answered, sent=sent).problem()
        session.note(f'trying again: {answered.details[0]}')
        await means.pause(_RETRY_PAUSE_S)


async def settle(
    means: session.Session,
    plan: Plan,
    answer: replies.Body | reports.Problem,
) -> replies.Body | reports.Problem:
    """Wait for the end of a submission that was only recorded."""
    began_s = means.timers.now()
    last = answer
    while isinstance(last, replies.Body) and not last.ended():
        if means.options.detach or not means.remaining_s(began_s):
            return last
        await means.pause(_POLL_PAUSE_S)
        last = await lookup.find(means, plan.submission_id)
    return last


def conclude(
    ended: replies.Body | reports.Problem, plan: Plan
) -> reports.Result:
    """Return the answer, or how to come back to it."""
    match ended:
        case replies.Body():
            return answer_text.report(ended)
    if ended.exit_code is exit_codes.ExitCode.UNREACHED:
        return ended
    return reports.Problem(
        exit_code=ended.exit_code,
        message=f'{ended.message}\n{resume_hint(plan.submission_id)}',
    )


def resume_hint(submission_id: str) -> str:
    """Return how to come back to a submission."""
    return (
        'guavaroadctl: the outcome is unknown; ask again with '
        f'--submission_id={submission_id}'
    )
