"""Stand-in for the platform: table service, object store, instance list.

Run as `python -m guavaroad_standins.platform --port=N`.
"""

import functools
import io
from collections.abc import Callable, Sequence
from typing import Any, Final

import msgspec
from absl import app, flags
from twisted.internet import defer
from twisted.web import http, resource, server

from guavaroad_standins import faults, gates, rows, web

_DEFAULT_PORT: Final = 7000
_PORT = flags.DEFINE_integer('port', _DEFAULT_PORT, 'Port to listen on.')
_HOST = flags.DEFINE_string('host', '127.0.0.1', 'IP number to listen on.')


class Platform:
    """State and request handlers of the stand-in."""

    def __init__(self) -> None:
        self.table = rows.Table()
        self.blobs: dict[str, bytes] = {}
        self.instances: bytes = b'{}'
        self.shown_instances: bytes = b'{}'
        self.faults = faults.PlatformFaults()
        self.gate = gates.Gate()

    def root(self) -> Any:
        """Return the resource tree."""
        root: Any = resource.Resource()
        pages = {
            b'table': self.serve_table,
            b'objects': self.serve_objects,
            b'instances': self.serve_instances,
        }
        for name, handler in pages.items():
            root.putChild(
                name, web.Leaf(functools.partial(self.apply_faults, handler))
            )
        root.putChild(b'admin', web.Leaf(self.serve_admin))
        return root

    def apply_faults(
        self,
        handler: Callable[[server.Request], web.Answer],
        request: server.Request,
    ) -> 'web.Answer | defer.Deferred[web.Answer]':
        """Call a handler subject to the current faults."""
        if self.faults.down:
            return web.DROPPED
        if request.method == b'POST' and self.should_hold():
            return defer.ensureDeferred(
                self.serve_held(handler, request, self.faults.hold)
            )
        answer = handler(request)
        if self.faults.slow_ms:
            return web.delay_answer(self.faults.slow_ms, answer)
        return answer

    def should_hold(self) -> bool:
        """Return whether to hold the current write, and count it."""
        if not self.faults.hold:
            return False
        if self.faults.hold_skip:
            self.faults.hold_skip -= 1
            return False
        self.faults.hold_count -= 1
        return self.faults.hold_count >= 0

    async def serve_held(
        self,
        handler: Callable[[server.Request], web.Answer],
        request: server.Request,
        where: str,
    ) -> web.Answer:
        """Serve a write that is held before it takes effect or is answered."""
        if where == 'request':
            content = io.BytesIO(web.body(request))
            await self.gate.wait()
            # Twisted closes the content when the client disconnects.
            request.content = content
            return handler(request)
        answer = handler(request)
        await self.gate.wait()
        return answer

    def serve_table(self, request: server.Request) -> web.Answer:
        """Serve rows, transactions and the outcomes of operations."""
        match (request.method, web.parts(request)):
            case (b'POST', ['transactions']):
                return self.transact(web.body(request))
            case (b'GET', ['rows', key]):
                row = self.table.read(key)
                status = http.OK if row.version else http.NOT_FOUND
                return web.json_answer(row, status)
            case (b'GET', ['rows']):
                prefix = request.args.get(b'prefix', [b''])[0].decode()
                return web.json_answer(self.table.scan(prefix))
            case (b'GET', ['operations', operation_id]):
                return self.read_back(operation_id)
        return web.Answer(status=http.NOT_FOUND)

    def transact(self, body: bytes) -> web.Answer:
        """Commit a transaction; drop the answer while `lost_answers` is set."""
        transaction = msgspec.json.decode(body, type=rows.Transaction)
        outcome = self.table.transact(transaction)
        if self.faults.lost_answers:
            self.faults.lost_answers -= 1
            return web.DROPPED
        return to_answer(outcome)

    def read_back(self, operation_id: str) -> web.Answer:
        """Return the recorded answer of a transaction."""
        outcome = self.table.operations.get(operation_id)
        if outcome is None:
            return web.Answer(status=http.NOT_FOUND)
        return to_answer(outcome)

    def serve_objects(self, request: server.Request) -> web.Answer:
        """Serve the object store."""
        key = web.parts(request)[0]
        if request.method == b'PUT':
            self.blobs[key] = web.body(request)
            return web.Answer()
        stored = self.blobs.get(key)
        if stored is None:
            return web.Answer(status=http.NOT_FOUND)
        return web.Answer(body=stored)

    def serve_instances(self, _: server.Request) -> web.Answer:
        """Serve the instance list, or the frozen copy of it."""
        self.table.counters.list_reads += 1
        if not self.faults.list_frozen:
            self.shown_instances = self.instances
        return web.Answer(body=self.shown_instances)

    def serve_admin(self, request: server.Request) -> web.Answer:
        """Serve the admin pages, which are not subject to faults."""
        match (request.method, web.parts(request)):
            case (b'PUT', ['faults']):
                self.faults = msgspec.json.decode(
                    web.body(request), type=faults.PlatformFaults
                )
                if not self.faults.hold:
                    self.gate.release()
                return web.json_answer(self.faults)
            case (b'PUT', ['instances']):
                self.instances = web.body(request)
                return web.Answer()
            case (b'GET', ['held']):
                return web.json_answer(len(self.gate.held))
            case (b'GET', ['counters']):
                return web.json_answer(self.table.counters)
        return web.Answer(status=http.NOT_FOUND)


def to_answer(outcome: rows.Outcome) -> web.Answer:
    """Return the HTTP answer of a transaction."""
    if outcome.conflicts:
        return web.json_answer(outcome.conflicts, http.CONFLICT)
    return web.json_answer({'committed': True})


def main(_: Sequence[str]) -> None:
    """Serve until the process is killed."""
    site = web.site(Platform().root())
    web.listen(site, _HOST.value, _PORT.value)
    web.run()


if __name__ == '__main__':
    app.run(main)
