"""A fake instance: answers from a script and keeps what it was asked."""

import dataclasses
import json
import threading
from collections.abc import Callable
from http import server
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Asked:
    """A request that came in."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Says:
    """Answer with a status and a body, once a condition is true."""

    status: int = 200
    body: Any
    after: Callable[[], bool] = lambda: True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Drops:
    """Read the request and close the connection."""


class Handler(server.BaseHTTPRequestHandler):
    """Serves one request from the script."""

    protocol_version = 'HTTP/1.1'

    def do_any(self):
        """Keep the request and answer as scripted."""
        length = int(self.headers.get('Content-Length') or 0)
        asked = Asked(
            method=self.command,
            path=self.path,
            headers=dict(self.headers),
            body=self.rfile.read(length),
        )
        step = self.server.fake.step_for(asked)
        match step:
            case Drops():
                self.close_connection = True
            case Says():
                self.say(step)

    def __getattr__(self, name):
        """Serve every method alike; the base class looks for `do_GET`."""
        if name.startswith('do_'):
            return self.do_any
        raise AttributeError(name)

    def say(self, step):
        """Wait for the condition and send the answer."""
        while not step.after():
            self.server.fake.changed.wait(0.05)
        body = step.body
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        self.send_response(step.status)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_):
        """Print nothing."""


def never():
    """Return false: the condition of an answer that never comes."""
    return False


class FakeInstance:
    """Listens on a free port."""

    def __init__(self):
        self.asked = []
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

    def on(self, method, path, *steps):
        """Script the answers of a page; the last one repeats."""
        self.steps[method, path] = list(steps)

    def step_for(self, asked):
        """Return the next step of a page."""
        self.asked.append(asked)
        steps = self.steps.get((asked.method, asked.path))
        if not steps:
            return Says(status=404, body=b'no such page in the script')
        return steps.pop(0) if len(steps) > 1 else steps[0]

    def requests(self, method, path):
        """Return what was asked of a page."""
        return [
            one
            for one in list(self.asked)
            if (one.method, one.path) == (method, path)
        ]

    def close(self):
        """End the listener."""
        self.listener.shutdown()
        self.listener.server_close()


def answer(name, **fields):
    """Return an answer body with the code of that name."""
    number = fields.pop('code')
    return {'code': number, 'name': name, 'ran': 'maybe', **fields}
