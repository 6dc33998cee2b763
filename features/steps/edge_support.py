"""An entry instance in this process: memory sockets and a fake clock."""

# Methods overridden here have the names of the library.
# ruff: noqa: N802

import dataclasses

from twisted.internet import defer, error, testing
from twisted.python import failure

from guavaroad import app, settings
from guavaroad.domain import names
from guavaroad.domain.configuration import record
from guavaroad.ports import platform, upstreams

STEP_S = 0.05
ADDRESS = '127.0.0.1:8080'


def document():
    """Return a small configuration document."""
    return {
        'teams': {'office': {}, 'rival': {}},
        'jobs': {'render': {'teams': ['office']}},
    }


def raw_settings(**limits):
    """Return settings of one instance with some limits."""
    return {
        'instance': {
            'availability_zone': 'zone-a',
            'client_address': ADDRESS,
            'peer_address': '127.0.0.1:9080',
        },
        'platform': {'url': 'http://127.0.0.1:7000'},
        'tokens': [
            {'token': 'office-secret', 'team': 'office'},
            {'token': 'rival-secret', 'team': 'rival'},
            {'token': 'operator-secret', 'operator': True},
        ],
        'limits': limits,
        'drain_s': 30,
    }


@dataclasses.dataclass
class FakeUpstreams:
    """Upstream port that leaves every attempt open."""

    attempts: list = dataclasses.field(default_factory=list)

    def start(self, _, attempt):
        """Record an attempt."""
        pending = defer.Deferred()
        self.attempts.append((attempt, pending))
        return pending


UPSTREAM = upstreams.Upstream(
    name=names.UpstreamName('up-0'),
    availability_zone=names.AvailabilityZone('zone-a'),
    pool=names.PoolName('main'),
    address='127.0.0.1:7100',
    slots=8,
)


class Line(testing.StringTransport):
    """A client's connection in memory."""

    def __init__(self, site):
        super().__init__()
        self.channel = site.buildProtocol(None)
        self.gone = False
        self.channel.makeConnection(self)

    def send(self, sent):
        """Deliver bytes to the instance."""
        self.channel.dataReceived(sent)

    def hang_up(self):
        """End the connection."""
        if not self.gone:
            self.gone = True
            self.channel.connectionLost(failure.Failure(error.ConnectionDone()))

    def loseConnection(self):
        """Take the instance's close."""
        self.hang_up()

    def abortConnection(self):
        """Take the instance's abort."""
        self.hang_up()

    def text(self):
        """Return what the instance wrote, as text."""
        return self.value().decode('latin-1')


class Instance:
    """An application on a memory reactor."""

    def __init__(self, **limits):
        self.reactor = testing.MemoryReactorClock()
        chosen = settings.check_settings('memory', raw_settings(**limits))
        self.app = app.Application(reactor=self.reactor, chosen=chosen)
        self.app.open_client_port()
        self.site = self.reactor.tcpServers[0][1]
        self.upstreams = FakeUpstreams()
        self.app.dispatcher.port.inner = self.upstreams
        self.app.configuration.apply_row(
            1, record.Record(version=1, document=document())
        )
        for changed in self.app.directory.on_change:
            changed(platform.InstanceList(entries=(), upstreams=(UPSTREAM,)))

        self.drain_result = None
        self.app.drain.ended.addCallback(self.drained)

    def drained(self, _):
        """Keep the result of the planned stop."""
        self.drain_result = self.app.drain.result

    def pass_time(self, seconds):
        """Let time pass in small steps."""
        steps = round(seconds / STEP_S)
        self.reactor.pump([STEP_S for _ in range(steps)])

    def connect(self):
        """Open a client's connection."""
        return Line(self.site)

    def ask(self, sent):
        """Send one request on a connection of its own."""
        line = self.connect()
        line.send(sent)
        return line.text()


def request(
    method='POST',
    path='/v1/jobs/render/submissions',
    body=b'',
    token='office-secret',
    **headers,
):
    """Return the bytes of one request."""
    lines = [f'{method} {path} HTTP/1.1', 'Host: here']
    lines.append(f'Authorization: Bearer {token}')
    lines.append(f'Content-Length: {len(body)}')
    lines += [
        f'{name.replace("_", "-")}: {text}' for name, text in headers.items()
    ]
    head = '\r\n'.join([*lines, '', ''])
    return head.encode('latin-1') + body
