"""Steps for forwarding a request to its owner."""

import types

import behave
from twisted.internet import task

from guavaroad.adapters import http_client, reactor_timers
from guavaroad.domain import identity, names
from guavaroad.services import forwarding

VERDICTS = types.MappingProxyType(
    {True: 'alive', False: 'dead', None: 'unknown'}
)


class RecordingClient:
    """HTTP client that records calls and gets no answer."""

    instance_scheme = 'http'

    def __init__(self):
        self.calls = []

    async def exchange(self, call):
        """Record a call."""
        self.calls.append(call)
        return http_client.NoReply(detail='cut')


def owner_at(address):
    return identity.Incarnation(
        availability_zone=names.AvailabilityZone('zone-a'),
        address=names.ClientAddress(address),
        epoch=names.Epoch('c0ffee'),
    )


@behave.given('a forwarder with the known instance "{address}"')
def given_forwarder(context, address):
    context.client = RecordingClient()
    context.forwarder = forwarding.Forwarder(
        client=context.client,
        timer_service=reactor_timers.ReactorTimers(clock=task.Clock()),
        timeout_s=5,
        is_known_address=lambda candidate: candidate == address,
    )


@behave.when('a request is forwarded to an owner at "{address}"')
def when_forwarded(context, address):
    request = forwarding.ForwardedRequest(
        method=forwarding.Method.SHOW,
        submission_id=names.SubmissionId('any'),
        authorization='Bearer secret',
    )
    context.results = []
    pending = context.forwarder.send(owner_at(address), request)
    pending.addCallback(context.results.append)


@behave.then('nothing was sent and the owner was not reached')
def then_nothing_sent(context):
    assert not context.client.calls, context.client.calls
    assert len(context.results) == 1, context.results
    assert not context.results[0].sent, context.results


@behave.then('the request was sent to "{address}"')
def then_sent(context, address):
    assert address in context.client.calls[0].url, context.client.calls


@behave.when('a probe for epoch "{epoch}" is answered with {body}')
def when_probed(context, epoch, body):
    reply = http_client.Reply(status=200, headers={}, body=body.encode())
    context.alive = forwarding.is_alive(owner_at('127.0.0.1:1'), reply)


@behave.then('the owner is {verdict}')
def then_verdict(context, verdict):
    assert VERDICTS[context.alive] == verdict, context.alive
