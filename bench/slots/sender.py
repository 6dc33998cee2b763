"""Open-loop load generator: sends each job at its planned time.

Run as `python -m bench.slots.sender PLAN RESULTS`; both are JSON files.
"""

import asyncio
import pathlib
import sys
import time
from typing import Any, Final

import msgspec
from twisted.internet import asyncioreactor
from twisted.internet import main as reactor_main

_REQUEST_TIMEOUT_S: Final = 40


class Job(msgspec.Struct, kw_only=True):
    """One request of the plan.

    Attributes:
        at_s: When it is sent, in seconds from the start of the run.
        url: URL.
        token: Bearer token.
        body: JSON body.
    """

    at_s: float
    url: str
    token: str
    body: str


class Outcome(msgspec.Struct, kw_only=True):
    """Outcome of one request.

    Attributes:
        seconds: Time from the planned sending to the complete response.
        late_s: Time from the planned to the actual sending.
        name: Name of the result code.
        ran: Field `ran` of the response.
    """

    seconds: float
    late_s: float
    name: str
    ran: str


class Answer(msgspec.Struct):
    """The fields of a response that are read."""

    name: str = 'NO_ANSWER'
    ran: str = 'maybe'


class Sender:
    """Sends the jobs and records their outcomes by number."""

    def __init__(self, *, reactor: Any, jobs: list[Job]) -> None:
        from guavaroad.adapters import http_client  # noqa: PLC0415

        self.http = http_client
        self.reactor = reactor
        self.jobs = jobs
        self.pending_count = len(jobs)
        self.outcomes: dict[int, Outcome] = {}
        self.client = http_client.HttpClient(
            reactor=reactor, connections_per_host=400, connect_timeout_s=5
        )
        self.start_s = time.monotonic() + 0.5

    def schedule_all(self) -> None:
        """Schedule every request."""
        for number, job in enumerate(self.jobs):
            delay_s = self.start_s + job.at_s - time.monotonic()
            self.reactor.callLater(max(0, delay_s), self.send, number, job)

    def send(self, number: int, job: Job) -> None:
        """Send one request."""
        from twisted.internet import defer  # noqa: PLC0415

        late_s = time.monotonic() - self.start_s - job.at_s
        call = self.http.Call(
            method='POST',
            url=job.url,
            headers={
                'Authorization': f'Bearer {job.token}',
                'Content-Type': 'application/json',
            },
            body=job.body.encode(),
            timeout_s=_REQUEST_TIMEOUT_S,
        )
        pending = defer.ensureDeferred(self.client.exchange(call))
        pending.addCallback(self.on_ended, number, job, late_s)

    def on_ended(
        self, exchange: Any, number: int, job: Job, late_s: float
    ) -> None:
        """Record an outcome; stop the reactor after the last one."""
        answer = Answer()
        match exchange:
            case self.http.Reply():
                answer = msgspec.json.decode(exchange.body, type=Answer)
        self.outcomes[number] = Outcome(
            seconds=time.monotonic() - self.start_s - job.at_s,
            late_s=late_s,
            name=answer.name,
            ran=answer.ran,
        )
        self.pending_count -= 1
        if not self.pending_count:
            self.reactor.stop()


def main() -> None:
    """Replay one plan."""
    plan, results = map(pathlib.Path, sys.argv[1:])
    loop = asyncio.new_event_loop()
    reactor = asyncioreactor.AsyncioSelectorReactor(loop)
    reactor_main.installReactor(reactor)
    jobs = msgspec.json.decode(plan.read_bytes(), type=list[Job])
    sender = Sender(reactor=reactor, jobs=jobs)
    sender.schedule_all()
    reactor.run()
    ordered = [sender.outcomes[number] for number in range(len(jobs))]
    results.write_bytes(msgspec.json.encode(ordered))


if __name__ == '__main__':
    main()
