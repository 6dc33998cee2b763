"""The platform's store: rows, transactions and a feed of changes."""

import asyncio
import base64
import contextlib
import json
import time
from urllib import parse as urls

from standins_2 import wire

# Time that a call takes, in seconds.
CALL_S = 0.004
MS_PER_S = 1000
PRECONDITION_FAILED = 412

Name = tuple[str, str, str]


class Store:
    """Rows by table, part and key.

    Attributes:
        rows: Value and version of each row.
        version: Version of the last transaction.
        changed: Set with each change, and replaced.
    """

    def __init__(self) -> None:
        self.rows: dict[Name, tuple[str, int]] = {}
        self.version = 0
        self.changed = asyncio.Event()

    def put(self, name: Name, text: str) -> None:
        """Write a row."""
        self.version += 1
        self.rows[name] = (text, self.version)
        self.changed.set()
        self.changed = asyncio.Event()

    def put_document(self, table: str, key: str, document: dict) -> None:
        """Write a row whose value is JSON."""
        text = base64.b64encode(json.dumps(document).encode()).decode()
        self.put((table, '', key), text)

    def holder(self) -> str:
        """Return the node that the system's own row names as allocator."""
        for name, row in self.rows.items():
            if name[1:] == ('allocation', 'holder'):
                return json.loads(base64.b64decode(row[0]))['holder']
        return ''

    async def serve_call(
        self, channel: wire.Channel, request: wire.Request
    ) -> None:
        """Handle a request."""
        await asyncio.sleep(CALL_S)
        path, _, query = request.target.partition('?')
        fields = dict(urls.parse_qsl(query, keep_blank_values=True))
        match path.rpartition('/')[2]:
            case 'rows-get':
                await self.respond(channel, self.selected(fields))
            case 'rows-feed':
                await self.respond(channel, await self.changes(fields))
            case 'rows-tx':
                await self.transact(channel, request.document())

    async def respond(self, channel: wire.Channel, names: list[Name]) -> None:
        """Send rows."""
        await channel.respond(
            wire.OK,
            {
                'rows': [self.encoded(name) for name in names],
                'HasMore': False,
                'ApiVersion': self.version,
                'NowMs': int(time.monotonic() * MS_PER_S),
            },
        )

    def encoded(self, name: Name) -> dict:
        """Return a row in the wire format."""
        text, version = self.rows[name]
        return {
            'TableName': name[0],
            'part': name[1],
            'Key': name[2],
            'Value': text,
            'ApiVersion': version,
        }

    def selected(self, fields: dict[str, str]) -> list[Name]:
        """Return the names of a range of rows."""
        part = (fields['TableName'], fields.get('part', ''))
        first = fields.get('From', '')
        names = [name for name in self.rows if name[:2] == part]
        return sorted(name for name in names if name[2] >= first)

    async def changes(self, fields: dict[str, str]) -> list[Name]:
        """Return the names of the changed rows, at once or after a wait."""
        after = int(fields['After'])
        ends_s = time.monotonic() + int(fields['WaitMs']) / MS_PER_S
        while True:
            names = self.changed_since(fields['TableName'], after)
            left_s = ends_s - time.monotonic()
            if names or left_s <= 0:
                return names
            await wait_for(self.changed, left_s)

    def changed_since(self, table: str, version: int) -> list[Name]:
        """Return the names of the rows of a table after a version, in order."""
        ordered = sorted(self.rows, key=self.version_of)
        return [
            name
            for name in ordered
            if name[0] == table and self.version_of(name) > version
        ]

    def version_of(self, name: Name) -> int:
        """Return the version of a row; 0 if there is none."""
        return self.rows.get(name, ('', 0))[1]

    async def transact(self, channel: wire.Channel, document: dict) -> None:
        """Carry out a transaction, if its conditions hold."""
        for row in document.get('Precondition', ()):
            if self.version_of(name_of(row)) != row['ApiVersion']:
                await channel.respond(PRECONDITION_FAILED, {'rows': []})
                return
        for row in document.get('Put', ()):
            self.put(name_of(row), row['Value'])
        await self.respond(channel, [])


def name_of(row: dict) -> Name:
    """Return the name of a row in the wire format."""
    return row['TableName'], row['part'], row['Key']


async def wait_for(event: asyncio.Event, timeout_s: float) -> None:
    """Wait for an event or a time-out."""
    with contextlib.suppress(asyncio.TimeoutError):
        await asyncio.wait_for(event.wait(), timeout_s)
