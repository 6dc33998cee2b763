"""Stand-in for upstreams: simulates tasks and logs every start.

Run as `python -m guavaroad_standins.upstream --ports=N,M --slots=8`; each
port is one upstream.  A payload `{"run_ms": 50, "echo": X}` runs for 50 ms
and answers `{"echo": X, "upstream": PORT}`.
"""

import dataclasses
import types
from collections.abc import Mapping, Sequence
from typing import Any, Final

import msgspec
from absl import app, flags
from twisted.internet import defer
from twisted.web import http, resource, server

from guavaroad_standins import faults, gates, web

_PORTS = flags.DEFINE_list('ports', ['7100'], 'Ports, one per upstream.')
_SLOTS = flags.DEFINE_integer('slots', 8, 'Concurrent tasks per upstream.')
_HOST = flags.DEFINE_string('host', '127.0.0.1', 'IP number to listen on.')

NOT_STARTED: Final = types.MappingProxyType({'Guavaroad-Started': 'no'})
LEAVING: Final = types.MappingProxyType(
    {
        'Guavaroad-Started': 'no',
        'Guavaroad-Leaving': 'yes',
    }
)


class Payload(msgspec.Struct, kw_only=True):
    """Payload of a task for the stand-in.

    Attributes:
        run_ms: Run time, in milliseconds.
        fail: Whether the task fails after its run time.
        echo: Value to return in the answer.
    """

    run_ms: int = 0
    fail: bool = False
    echo: Any = None


@dataclasses.dataclass(slots=True, kw_only=True)
class Counters:
    """Task counters since the start of the stand-in."""

    started: int = 0
    finished: int = 0
    busy: int = 0
    most_running: int = 0


class Upstream:
    """An upstream with its slots and its log of started tasks."""

    def __init__(self, *, name: str, slots: int) -> None:
        self.name = name
        self.slots = slots
        self.running = 0
        self.starts: list[str] = []
        self.counters = Counters()
        self.faults = faults.UpstreamFaults()
        self.gate = gates.Gate()

    def root(self) -> Any:
        """Return the resource tree."""
        root: Any = resource.Resource()
        root.putChild(b'tasks', web.Leaf(self.serve_task))
        root.putChild(b'admin', web.Leaf(self.serve_admin))
        return root

    def serve_task(
        self, request: server.Request
    ) -> 'web.Answer | defer.Deferred[web.Answer]':
        """Run a task, or refuse or drop it according to the faults."""
        if self.faults.drop_before:
            return web.DROPPED
        if self.faults.leaving:
            return refusal(LEAVING)
        if self.faults.busy or self.running >= self.slots:
            self.counters.busy += 1
            return refusal(NOT_STARTED)
        payload = msgspec.json.decode(web.body(request), type=Payload)
        task_id = request.getHeader('guavaroad-task') or ''
        if self.faults.failing:
            self.log_start(task_id)
            return web.Answer(status=http.INTERNAL_SERVER_ERROR)
        return defer.ensureDeferred(self.run(payload, task_id))

    def log_start(self, task_id: str) -> None:
        """Log and count a started task."""
        self.starts.append(task_id)
        self.counters.started += 1

    async def run(self, payload: Payload, task_id: str) -> web.Answer:
        """Run a task, which occupies a slot for its run time."""
        if self.faults.hold == 'request':
            await self.gate.wait()
        self.log_start(task_id)
        self.running += 1
        self.counters.most_running = max(
            self.counters.most_running, self.running
        )
        run_ms = payload.run_ms + self.faults.slow_ms
        await web.sleep(run_ms)
        self.running -= 1
        self.counters.finished += 1
        if self.faults.hold == 'answer':
            await self.gate.wait()
        if self.faults.drop_after:
            return web.DROPPED
        if payload.fail:
            return web.Answer(status=http.INTERNAL_SERVER_ERROR)
        return web.json_answer({'echo': payload.echo, 'upstream': self.name})

    def serve_admin(self, request: server.Request) -> web.Answer:
        """Serve the admin pages."""
        match (request.method, web.parts(request)):
            case (b'PUT', ['faults']):
                self.faults = msgspec.json.decode(
                    web.body(request), type=faults.UpstreamFaults
                )
                if not self.faults.hold:
                    self.gate.release()
                return web.json_answer(self.faults)
            case (b'GET', ['held']):
                return web.json_answer(len(self.gate.held))
            case (b'GET', ['starts']):
                return web.json_answer(self.starts)
            case (b'GET', ['counters']):
                return web.json_answer(self.counters)
        return web.Answer(status=http.NOT_FOUND)


def refusal(headers: Mapping[str, str]) -> web.Answer:
    """Return the answer for a task that was not started."""
    return web.Answer(status=http.SERVICE_UNAVAILABLE, headers=headers)


def main(_: Sequence[str]) -> None:
    """Serve until the process is killed."""
    for port in _PORTS.value:
        upstream = Upstream(name=port, slots=_SLOTS.value)
        site = web.site(upstream.root())
        web.listen(site, _HOST.value, int(port))
    web.run()


if __name__ == '__main__':
    app.run(main)
