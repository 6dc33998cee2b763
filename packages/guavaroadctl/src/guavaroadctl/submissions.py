"""Implements the `submission show` and `submission cancel` commands."""

from urllib import parse as urls

from guavaroadctl import answer_text, failover_client, replies, reports, session


async def fetch(
    ctx: session.Session, submission_id: str
) -> replies.DecodedAnswer | reports.Problem:
    """Return the state of a submission from any instance."""
    return await _send(ctx, 'GET', submission_id)


async def show(ctx: session.Session, submission_id: str) -> reports.Result:
    """Show the state of a submission.

    Args:
        ctx: Command context.
        submission_id: Submission id, or idempotency key of the client.

    Returns:
        Its state, and its answer while the instances retain it.
    """
    return _to_result(await _send(ctx, 'GET', submission_id))


async def cancel(ctx: session.Session, submission_id: str) -> reports.Result:
    """Cancel a submission.

    Args:
        ctx: Command context.
        submission_id: Submission id, or idempotency key of the client.

    Returns:
        The answer, which names the tasks that had started.
    """
    return _to_result(await _send(ctx, 'DELETE', submission_id))


async def _send(
    ctx: session.Session, method: str, submission_id: str
) -> replies.DecodedAnswer | reports.Problem:
    quoted = urls.quote(submission_id, safe='')
    response = await ctx.client.send(
        failover_client.Request(method=method, path=f'/v1/submissions/{quoted}')
    )
    return replies.decode(response)


def _to_result(
    answer: replies.DecodedAnswer | reports.Problem,
) -> reports.Result:
    match answer:
        case replies.DecodedAnswer():
            return answer_text.report(answer)
    return answer
