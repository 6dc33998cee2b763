"""Stand-in of the platform's metadata store: its rows and their feed."""

import asyncio
import base64
import json
import time

from standins import http_server

OK = 200
BAD_REQUEST = 400
FORBIDDEN = 403
CONFLICT = 412
MS_PER_S = 1000
READ_S = 0.004
WRITE_S = 0.006
MAX_ROWS = 500
# Tables that only the platform writes to.
RESERVED = frozenset(('op', 'servers'))


class Row:
    """A row, or the mark of one that was dropped.

    Attributes:
        name: Table, part and key.
        text: Value in base64.
        version: Number of the transaction that wrote it.
        removed: Whether the row was dropped.
    """

    def __init__(self, *, name, text, version, removed=False):
        self.name = name
        self.text = text
        self.version = version
        self.removed = removed

    def document(self):
        """Return the row as it is sent."""
        table, part, key = self.name
        shown = {
            'TableName': table,
            'part': part,
            'Key': key,
            'ApiVersion': self.version,
        }
        if self.removed:
            return shown | {'Removed': True}
        return shown | {'Value': self.text}


class Store:
    """The store; loses nothing, and answers every call.

    Attributes:
        rows: Rows by table, part and key, those that were dropped included.
        version: Number of the newest transaction.
        changed: Set at each transaction, and replaced.
    """

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.changed = asyncio.Event()
        self.server = http_server.HttpServer(handler=self.answer)

    def put(self, *rows):
        """Write rows in one transaction: name and value in bytes, or none."""
        self.version += 1
        for name, body in rows:
            text = '' if body is None else base64.b64encode(body).decode()
            self.rows[name] = Row(
                name=name,
                text=text,
                version=self.version,
                removed=body is None,
            )
        self.changed.set()
        self.changed = asyncio.Event()

    def put_json(self, table, key, document):
        """Write a row of the platform whose value is JSON."""
        body = json.dumps(document).encode()
        self.put(((table, '', key), body))

    def drop(self, table, key):
        """Drop a row of the platform."""
        self.put(((table, '', key), None))

    async def answer(self, call):
        """Answer a call."""
        match call.path:
            case '/guavaroad/rows-get':
                await asyncio.sleep(READ_S)
                return OK, self.read(call.query)
            case '/guavaroad/rows-feed':
                return OK, await self.follow(call.query)
            case '/guavaroad/rows-tx':
                await asyncio.sleep(WRITE_S)
                return self.write(call.fields)
        return BAD_REQUEST, {}

    def page(self, found, *, has_more=False):
        """Return a response about rows."""
        return {
            'rows': [row.document() for row in found],
            'HasMore': has_more,
            'ApiVersion': self.version,
            'NowMs': int(time.monotonic() * MS_PER_S),
        }

    def read(self, query):
        """Return the rows of a range of one part, by key."""
        place = (query['TableName'], query.get('part', ''))
        first = query.get('From', '')
        last = query.get('To', '')
        most = min(int(query.get('MaxItems', MAX_ROWS)), MAX_ROWS)
        names = sorted(
            (name for name in self.rows if name[:2] == place),
            key=lambda name: name[2].encode(),
        )
        found = []
        for name in names:
            row = self.rows[name]
            is_below = not last or name[2] < last
            if first <= name[2] and is_below and not row.removed:
                found.append(row)
        return self.page(found[:most], has_more=len(found) > most)

    async def follow(self, query):
        """Return the changes of a table after a version, or wait for one."""
        wait_s = int(query.get('WaitMs', 0)) / MS_PER_S
        end_s = time.monotonic() + wait_s
        found = self.changes(query['TableName'], int(query['After']))
        while not found and time.monotonic() < end_s:
            await self.wait_for_change(end_s - time.monotonic())
            found = self.changes(query['TableName'], int(query['After']))
        return self.page(found)

    def changes(self, table, after):
        """Return the rows of a table that have changed after a version."""
        found = [
            row
            for row in self.rows.values()
            if row.name[0] == table and row.version > after
        ]
        return sorted(found, key=lambda row: row.version)

    async def wait_for_change(self, limit_s):
        """Wait until a transaction is made, or the time is over."""
        changed = self.changed
        waiting = asyncio.ensure_future(changed.wait())
        await asyncio.wait((waiting,), timeout=limit_s)
        waiting.cancel()

    def write(self, fields):
        """Apply a transaction if its preconditions hold."""
        wanted = fields.get('Precondition', [])
        puts = fields.get('Put', [])
        drops = fields.get('Remove', [])
        if any(row['TableName'] in RESERVED for row in puts + drops):
            return FORBIDDEN, {}
        if any(self.version_of(row) != row['ApiVersion'] for row in wanted):
            present = [self.rows.get(name_of(row)) for row in wanted]
            return CONFLICT, self.page([row for row in present if row])
        written = [(name_of(row), None) for row in drops]
        for row in puts:
            written.append((name_of(row), base64.b64decode(row['Value'])))
        self.put(*written)
        return OK, {'ApiVersion': self.version, 'NowMs': 0}

    def version_of(self, wanted):
        """Return the version of a row; 0 if it does not exist."""
        row = self.rows.get(name_of(wanted))
        return 0 if row is None or row.removed else row.version


def name_of(fields):
    """Return table, part and key of a row in a call."""
    return (fields['TableName'], fields.get('part', ''), fields['Key'])
