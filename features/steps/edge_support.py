"""An entry instance in this process, on memory sockets and a fake clock."""

# Overridden methods have the names of the library.
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
    """Return the settings of an instance with the given limits."""
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
    """Upstream port whose attempts end when a test fires their Deferreds."""

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


class MemoryConnection(testing.StringTransport):
    """A client's connection to the instance, in memory."""

    def __init__(self, site):
        super().__init__()
        self.channel = site.buildProtocol(None)
        self.gone = False
        self.channel.makeConnection(self)

    def send(self, data):
        """Deliver bytes to the instance."""
        self.channel.dataReceived(data)

    def disconnect(self):
        """Close the connection from the client's side."""
        if not self.gone:
            self.gone = True
            self.channel.connectionLost(failure.Failure(error.ConnectionDone()))

    def loseConnection(self):
        """Close the connection from the instance's side."""
        self.disconnect()

    def abortConnection(self):
        """Abort the connection from the instance's side."""
        self.disconnect()

    def text(self):
        """Return the data that the instance wrote, as text."""
        return self.value().decode('latin-1')


class Instance:
    """An application on a `MemoryReactorClock`."""

    def __init__(self, **limits):
        self.reactor = testing.MemoryReactorClock()
        instance_settings = settings.check_settings(
            'memory', raw_settings(**limits)
        )
        self.app = app.Application(
            reactor=self.reactor, instance_settings=instance_settings
        )
        self.app.open_client_port()
        self.site = self.reactor.tcpServers[0][1]
        self.upstreams = FakeUpstreams()
        self.app.dispatcher.port.inner = self.upstreams
        self.app.configuration.apply_row(
            1, record.Record(version=1, document=document())
        )
        for callback in self.app.directory.on_change:
            callback(platform.InstanceList(entries=(), upstreams=(UPSTREAM,)))

        self.drain_result = None
        self.app.drain.ended.addCallback(self.drained)

    def drained(self, _):
        """Record the result of the drain."""
        self.drain_result = self.app.drain.result

    def pass_time(self, seconds):
        """Advance the clock in small steps."""
        steps = round(seconds / STEP_S)
        self.reactor.pump([STEP_S for _ in range(steps)])

    def connect(self):
        """Open a client's connection."""
        return MemoryConnection(self.site)

    def ask(self, data):
        """Send a request on a new connection and return the response."""
        connection = self.connect()
        connection.send(data)
        return connection.text()


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
