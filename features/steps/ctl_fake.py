"""A fake instance that sends scripted responses and records requests."""

import dataclasses
import json
import threading
from collections.abc import Callable
from http import server
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReceivedRequest:
    """A received request."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ScriptedResponse:
    """A step that sends a response once a condition is true."""

    status: int = 200
    body: Any
    condition: Callable[[], bool] = lambda: True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionDrop:
    """A step that closes the connection after reading the request."""


class Handler(server.BaseHTTPRequestHandler):
    """Handles requests according to the script of a fake instance."""

    protocol_version = 'HTTP/1.1'

    def do_any(self):
        """Record the request and perform its scripted step."""
        length = int(self.headers.get('Content-Length') or 0)
        received = ReceivedRequest(
            method=self.command,
            path=self.path,
            headers=dict(self.headers),
            body=self.rfile.read(length),
        )
        step = self.server.fake.next_step(received)
        match step:
            case ConnectionDrop():
                self.close_connection = True
            case ScriptedResponse():
                self.send_scripted(step)

    def __getattr__(self, name):
        """Handle every HTTP method; the base class calls `do_<METHOD>`."""
        if name.startswith('do_'):
            return self.do_any
        raise AttributeError(name)

    def send_scripted(self, step):
        """Wait for the condition and send the response."""
        while not step.condition():
            self.server.fake.changed.wait(0.05)
        body = step.body
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        self.send_response(step.status)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_):
        """Discard the access log."""


def never():
    """Return false, the condition of a response that is never sent."""
    return False


class FakeInstance:
    """A fake instance on a free port."""

    def __init__(self):
        self.received = []
        self.steps = {}
        self.changed = threading.Event()
        self.listener = server.ThreadingHTTPServer(('127.0.0.1', 0), Handler)
        self.listener.fake = self
        self.listener.daemon_threads = True
        port = self.listener.server_port
        self.address = f'127.0.0.1:{port}'
        threading.Thread(
            target=self.listener.serve_forever, daemon=True
        ).start()

    def script(self, method, path, *steps):
        """Script the steps of a path; the last one repeats."""
        self.steps[method, path] = list(steps)

    def next_step(self, request):
        """Record a request and return the next step of its path."""
        self.received.append(request)
        steps = self.steps.get((request.method, request.path))
        if not steps:
            return ScriptedResponse(
                status=404, body=b'no such page in the script'
            )
        return steps.pop(0) if len(steps) > 1 else steps[0]

    def requests(self, method, path):
        """Return the requests received for a path."""
        return [
            request
            for request in list(self.received)
            if (request.method, request.path) == (method, path)
        ]

    def close(self):
        """Stop listening."""
        self.listener.shutdown()
        self.listener.server_close()


def answer(name, **fields):
    """Return an answer body with a result code and its name."""
    number = fields.pop('code')
    return {'code': number, 'name': name, 'ran': 'maybe', **fields}
