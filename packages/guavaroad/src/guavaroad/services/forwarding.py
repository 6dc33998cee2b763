"""Forwards a request to the owner of its submission id over HTTP."""

import dataclasses
from typing import Final
from urllib import parse as urls

from twisted.internet import defer

from guavaroad.adapters import http_client
from guavaroad.domain import codes, identity, names
from guavaroad.services import answers

FORWARDED_HEADER: Final = 'Guavaroad-Forwarded'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ForwardedRequest:
    """A submission on its way to its owner."""

    submission_id: names.SubmissionId
    job: names.JobName
    body: bytes
    authorization: str


class Forwarder:
    """Relays requests and answers between instances."""

    def __init__(
        self, *, client: http_client.HttpClient, timeout_s: float
    ) -> None:
        self.client = client
        self.timeout_s = timeout_s

    def submit(
        self, owner: identity.Incarnation, request: ForwardedRequest
    ) -> 'defer.Deferred[answers.Answer]':
        """Send a submission to its owner and relay the answer."""
        return defer.ensureDeferred(self.relay(owner, request))

    async def relay(
        self, owner: identity.Incarnation, request: ForwardedRequest
    ) -> answers.Answer:
        """Forward and read the exchange."""
        job = urls.quote(request.job, safe='')
        scheme = self.client.instance_scheme
        exchange = await self.client.exchange(
            http_client.Call(
                method='POST',
                url=f'{scheme}://{owner.address}/v1/jobs/{job}/submissions',
                headers={
                    FORWARDED_HEADER: 'yes',
                    'Authorization': request.authorization,
                    'Idempotency-Key': request.submission_id,
                    'Content-Type': 'application/json',
                },
                body=request.body,
                timeout_s=self.timeout_s,
            )
        )
        match exchange:
            case http_client.Reply():
                return answers.Answer(
                    status=exchange.status, body=exchange.body
                )
            case http_client.NotSent():
                return answers.plain(
                    codes.ResultCode.NOT_HANDED_OVER,
                    detail=exchange.detail,
                    submission_id=request.submission_id,
                )
            case http_client.NoReply():
                return answers.plain(
                    codes.ResultCode.OWNER_UNREACHABLE,
                    detail=exchange.detail,
                    submission_id=request.submission_id,
                )
