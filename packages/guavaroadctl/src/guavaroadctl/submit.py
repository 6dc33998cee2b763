"""Implements the `submit` command.

The submission id is obtained first, so that the request can be repeated safely
after a lost connection.
"""

import dataclasses
from typing import Any, Final

import msgspec
from twisted.internet import defer

from guavaroad.ports import timers
from guavaroadctl import (
    answer_text,
    exit_codes,
    failover_client,
    replies,
    reports,
    session,
    sources,
    submissions,
)

_PROGRESS_PERIOD_S: Final = 2
_RETRY_DELAY_S: Final = 0.5
_POLL_PERIOD_S: Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Submission:
    """An encoded submission.

    Attributes:
        job: Name of the job.
        submission_id: Submission id, sent as the idempotency key.
        body: Encoded request body.
    """

    job: str
    submission_id: str
    body: bytes

    def to_request(
        self, timeout_s: float, *, detach: bool
    ) -> failover_client.Request:
        """Return the request, which may be sent repeatedly."""
        headers = {
            'Idempotency-Key': self.submission_id,
            'Content-Type': 'application/json',
        }
        if detach:
            headers['Prefer'] = 'respond-async'
        return failover_client.Request(
            method='POST',
            path=f'/v1/jobs/{self.job}/submissions',
            body=self.body,
            headers=headers,
            timeout_s=timeout_s,
        )


class ProgressPoller:
    """Prints the progress of a submission until its answer arrives."""

    def __init__(self, *, ctx: session.Session, submission_id: str) -> None:
        self.ctx = ctx
        self.submission_id = submission_id
        self.last_printed = ''
        self.subscription: timers.Timer | None = None

    def start(self) -> None:
        """Start to poll the submission."""
        self.subscription = self.ctx.timers.subscribe(
            _PROGRESS_PERIOD_S, self.poll
        )

    def stop(self) -> None:
        """Stop polling."""
        if self.subscription is not None:
            self.subscription.cancel()
            self.subscription = None

    def poll(self) -> Any:
        """Poll the submission once."""
        return defer.ensureDeferred(self.fetch_and_print())

    async def fetch_and_print(self) -> None:
        """Fetch the submission and print its progress if it changed."""
        reply = await submissions.fetch(self.ctx, self.submission_id)
        match reply:
            case replies.DecodedAnswer() if not reply.is_final():
                text = answer_text.format_progress(reply.answer.extra)
                self.print_change(text or reply.answer.detail)

    def print_change(self, text: str) -> None:
        """Print progress unless it is unchanged or polling has stopped."""
        if self.subscription is None or text == self.last_printed:
            return
        self.last_printed = text
        session.print_notice(text)


async def run(ctx: session.Session, job: str, path: str) -> reports.Result:
    """Submit the tasks of a file and wait for the answer.

    Args:
        ctx: Command context.
        job: Name of the job.
        path: File with the tasks, or `-` for standard input.

    Returns:
        The answer, or the reason for the failure.
    """
    body = read_body(path, ctx.options.deadline_ms)
    match body:
        case reports.Problem():
            return body
    submission_id = await choose_id(ctx)
    match submission_id:
        case reports.Problem() | reports.Report():
            return submission_id
    session.print_notice(f'submission {submission_id}')
    submission = Submission(job=job, submission_id=submission_id, body=body)
    progress = ProgressPoller(ctx=ctx, submission_id=submission_id)
    progress.start()
    reply = await send_until_answered(ctx, submission)
    progress.stop()
    return to_result(reply, submission)


def read_body(path: str, deadline_ms: int) -> bytes | reports.Problem:
    """Return the encoded request body of the tasks in a file."""
    payloads = sources.read_payloads(path)
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
    ctx: session.Session,
) -> str | reports.Problem | reports.Report:
    """Return the id given by the flag, or a new one from an instance."""
    if ctx.options.submission_id:
        return ctx.options.submission_id
    response = await ctx.client.send(
        failover_client.Request(
            method='POST', path='/v1/submission-ids', body=b'{"count":1}'
        )
    )
    id_reply = replies.decode(response)
    match id_reply:
        case reports.Problem():
            return id_reply
    ids = id_reply.extra('submission_ids')
    return str(ids[0]) if ids else answer_text.report(id_reply)


async def send_until_answered(
    ctx: session.Session, submission: Submission
) -> replies.DecodedAnswer | reports.Problem:
    """Send a submission until it is answered or the timeout expires.

    Args:
        ctx: Command context.
        submission: The submission.

    Returns:
        The last answer, or the reason for the failure.
    """
    start_s = ctx.timers.now()
    sent = False
    while True:
        response = await ctx.client.send(
            submission.to_request(
                ctx.remaining_s(start_s) or _RETRY_DELAY_S,
                detach=ctx.options.detach,
            )
        )
        match response:
            case failover_client.Response():
                return await poll_until_final(
                    ctx, submission, replies.decode(response)
                )
        sent = sent or response.sent
        if ctx.remaining_s(start_s) < _RETRY_DELAY_S:
            return dataclasses.replace(response, sent=sent).problem()
        session.print_notice(f'retrying: {response.details[0]}')
        await ctx.sleep(_RETRY_DELAY_S)


async def poll_until_final(
    ctx: session.Session,
    submission: Submission,
    answer: replies.DecodedAnswer | reports.Problem,
) -> replies.DecodedAnswer | reports.Problem:
    """Poll a submission that was only accepted until it has ended."""
    start_s = ctx.timers.now()
    latest = answer
    while isinstance(latest, replies.DecodedAnswer) and not latest.is_final():
        if ctx.options.detach or not ctx.remaining_s(start_s):
            return latest
        await ctx.sleep(_POLL_PERIOD_S)
        latest = await submissions.fetch(ctx, submission.submission_id)
    return latest


def to_result(
    reply: replies.DecodedAnswer | reports.Problem, submission: Submission
) -> reports.Result:
    """Return the answer, or the problem with a hint how to resume."""
    match reply:
        case replies.DecodedAnswer():
            return answer_text.report(reply)
    if reply.exit_code is exit_codes.ExitCode.UNREACHED:
        return reply
    return reports.Problem(
        exit_code=reply.exit_code,
        message=f'{reply.message}\n{resume_hint(submission.submission_id)}',
    )


def resume_hint(submission_id: str) -> str:
    """Return the hint how to resume a submission."""
    return (
        'guavaroadctl: the outcome is unknown; resume with '
        f'--submission_id={submission_id}'
    )
