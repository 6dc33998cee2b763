"""Upstreams over HTTP: one POST for one task.

An upstream that started nothing says so with the header `Guavaroad-Started:
no`; it adds `Guavaroad-Leaving: yes` when it takes no more work.
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
    """Hands tasks to upstreams over pooled connections."""

    def __init__(
        self, *, client: http_client.HttpClient, attempt_timeout_s: float
    ) -> None:
        self.client = client
        self.attempt_timeout_s = attempt_timeout_s

    def start(
        self, upstream: upstreams.Upstream, attempt: upstreams.Attempt
    ) -> 'defer.Deferred[attempts.AttemptOutcome]':
        """Hand a task over, once."""
        return defer.ensureDeferred(self.attempt(upstream, attempt))

    async def attempt(
        self, upstream: upstreams.Upstream, attempt: upstreams.Attempt
    ) -> attempts.AttemptOutcome:
        """Send the task and read the outcome from the answer."""
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
    """Read the outcome of an attempt from the upstream's answer.

    Args:
        reply: Whole HTTP answer.

    Returns:
        What became of the task.
    """
    leaving = reply.headers.get(LEAVING_HEADER) == 'yes'
    if reply.headers.get(STARTED_HEADER) == 'no':
        return attempts.NotStarted(
            reason=attempts.NotStartedReason.LEAVING
            if leaving
            else attempts.NotStartedReason.BUSY
        )
    if reply.status != http.OK:
        words = reply.body[:_DETAIL_CHARS].decode(errors='replace')
        return attempts.Failed(detail=f'status {reply.status}: {words}')
    return json_answer(reply.body, leaving=leaving)


def json_answer(
    body: bytes, *, leaving: bool = False
) -> attempts.AttemptOutcome:
    """Check that the answer is JSON.

    Args:
        body: Body of a 200 answer.
        leaving: Whether the upstream said that it leaves.

    Returns:
        The answer, or a failure if it is not JSON.
    """
    decoded = json_input.decode(body, object)
    match decoded:
        case json_input.Malformed():
            return attempts.Failed(
                detail=f'answer is not JSON: {decoded.reason}'
            )
    return attempts.Answered(body=msgspec.Raw(body), leaving=leaving)
