"""Looks a submission up, or cancels it."""

from urllib import parse as urls

from guavaroadctl import answer_text, connection, replies, reports, session


async def find(
    means: session.Session, submission_id: str
) -> replies.Body | reports.Problem:
    """Return what any instance knows of a submission."""
    return await _ask(means, 'GET', submission_id)


async def show(means: session.Session, submission_id: str) -> reports.Result:
    """Show what is known of a submission.

    Args:
        means: What commands work with.
        submission_id: Its id, or the key that the client chose.

    Returns:
        Its state, and its answer while that is kept.
    """
    return _result(await _ask(means, 'GET', submission_id))


async def cancel(means: session.Session, submission_id: str) -> reports.Result:
    """Cancel a submission.

    Args:
        means: What commands work with.
        submission_id: Its id, or the key that the client chose.

    Returns:
        Which tasks had started.
    """
    return _result(await _ask(means, 'DELETE', submission_id))


async def _ask(
    means: session.Session, method: str, submission_id: str
) -> replies.Body | reports.Problem:
    quoted = urls.quote(submission_id, safe='')
    answered = await means.link.ask(
        connection.Request(method=method, path=f'/v1/submissions/{quoted}')
    )
    return replies.read(answered)


def _result(answer: replies.Body | reports.Problem) -> reports.Result:
    match answer:
        case replies.Body():
            return answer_text.report(answer)
    return answer
