"""HTTP client of the upstreams: one POST per task.

An upstream that did not start the task answers with the header
`Guavaroad-Started: no`.  `Guavaroad-Leaving: yes` means that it accepts no
more tasks.
"""

from typing import Final

import msgspec
from twisted.internet import defer
from twisted.web import http

from guavaroad.adapters import http_client
from guavaroad.domain import attempts, json_input
from guavaroad.ports import upstreams

STARTED_HEADER: Final = 'guavaroad-started'
LEAVING_HEADER: Final = 'guavaroad-leaving'
TASK_HEADER: Final = 'Guavaroad-Task'
MAX_TASK_ANSWER_BYTES: Final = 1024 * 1024
_DETAIL_CHARS: Final = 200


class HttpUpstreams:
    """Sends tasks to upstreams over pooled connections."""

    def __init__(
        self, *, client: http_client.HttpClient, attempt_timeout_s: float
    ) -> None:
        self.client = client
        self.attempt_timeout_s = attempt_timeout_s

    def start(
        self, upstream: upstreams.Upstream, attempt: upstreams.Attempt
    ) -> 'defer.Deferred[attempts.AttemptOutcome]':
        """Send a task, without retry."""
        return defer.ensureDeferred(self.attempt(upstream, attempt))

    async def attempt(
        self, upstream: upstreams.Upstream, attempt: upstreams.Attempt
    ) -> attempts.AttemptOutcome:
        """Send a task and return the outcome of the attempt."""
        call = http_client.Call(
            method='POST',
            url=f'http://{upstream.address}/tasks/{attempt.job}',
            headers={
                TASK_HEADER: f'{attempt.submission_id}/{attempt.index}',
                'Content-Type': 'application/json',
            },
            body=attempt.payload,
            timeout_s=self.attempt_timeout_s,
            max_answer_bytes=MAX_TASK_ANSWER_BYTES,
        )
        exchange = await self.client.exchange(call)
        match exchange:
            case http_client.NotSent():
                return attempts.NotStarted(
                    reason=attempts.NotStartedReason.CONNECT_FAILED
                )
            case http_client.NoReply():
                return attempts.Lost(detail=exchange.detail)
            case http_client.Reply():
                return outcome_of(exchange)


def outcome_of(reply: http_client.Reply) -> attempts.AttemptOutcome:
    """Return the outcome of an attempt from the upstream's response.

    Args:
        reply: HTTP response.

    Returns:
        The outcome.
    """
    leaving = reply.headers.get(LEAVING_HEADER) == 'yes'
    if reply.headers.get(STARTED_HEADER) == 'no':
        return attempts.NotStarted(
            reason=attempts.NotStartedReason.LEAVING
            if leaving
            else attempts.NotStartedReason.BUSY
        )
    if reply.status != http.OK:
        body_text = reply.body[:_DETAIL_CHARS].decode(errors='replace')
        return attempts.Failed(detail=f'status {reply.status}: {body_text}')
    return json_answer(reply.body, leaving=leaving)


def json_answer(
    body: bytes, *, leaving: bool = False
) -> attempts.AttemptOutcome:
    """Return the outcome of a response with status 200.

    Args:
        body: Response body.
        leaving: Whether the upstream announced that it leaves.

    Returns:
        The answer, or a failure if the body is not JSON.
    """
    decoded = json_input.decode(body, object)
    match decoded:
        case json_input.Malformed():
            return attempts.Failed(
                detail=f'answer is not JSON: {decoded.reason}'
            )
    return attempts.Answered(body=msgspec.Raw(body), leaving=leaving)
