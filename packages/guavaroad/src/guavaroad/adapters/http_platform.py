"""HTTP clients of the platform's table, object store and instance list."""

import base64
from typing import TypeVar
from urllib import parse as urls

import msgspec
from twisted.internet import defer
from twisted.web import http

from guavaroad.adapters import (
    base64_text,
    http_client,
    metered,
    platform_wire,
)
from guavaroad.domain import json_input, names
from guavaroad.ports import platform, upstreams

Body = TypeVar('Body')


class PlatformLink:
    """Sends requests to the platform."""

    def __init__(
        self, *, client: metered.Exchanger, url: str, timeout_s: float
    ) -> None:
        self.client = client
        self.url = url.rstrip('/')
        self.timeout_s = timeout_s

    async def call(
        self, method: str, path: str, body: bytes = b''
    ) -> http_client.Exchange:
        """Send one request to the platform."""
        return await self.client.exchange(
            http_client.Call(
                method=method,
                url=f'{self.url}{path}',
                body=body,
                timeout_s=self.timeout_s,
            )
        )


class HttpTable:
    """Client of the table service."""

    def __init__(self, *, link: PlatformLink) -> None:
        self.link = link

    def transact(
        self, operation_id: str, writes: tuple[platform.RowWrite, ...]
    ) -> 'defer.Deferred[platform.WriteOutcome]':
        """Write all rows atomically."""
        return defer.ensureDeferred(self.write(operation_id, writes))

    def read(self, key: str) -> 'defer.Deferred[platform.Row | platform.Away]':
        """Read one row."""
        return defer.ensureDeferred(self.read_row(key))

    def scan(
        self, prefix: str
    ) -> 'defer.Deferred[tuple[platform.Row, ...] | platform.Away]':
        """Read the rows whose keys begin with the prefix."""
        return defer.ensureDeferred(self.scan_rows(prefix))

    def outcome_of(
        self, operation_id: str
    ) -> 'defer.Deferred[platform.WriteOutcome | platform.Absent]':
        """Read the outcome of an earlier transaction."""
        return defer.ensureDeferred(self.fetch_outcome(operation_id))

    async def write(
        self, operation_id: str, writes: tuple[platform.RowWrite, ...]
    ) -> platform.WriteOutcome:
        """Post a transaction."""
        body = platform_wire.Transaction(
            operation_id=operation_id,
            writes=[
                platform_wire.Write(
                    key=write.key,
                    expected_version=write.expected_version,
                    body=base64_text.encode(write.body),
                )
                for write in writes
            ],
        )
        return write_outcome(
            await self.link.call(
                'POST', '/table/transactions', msgspec.json.encode(body)
            )
        )

    async def read_row(self, key: str) -> platform.Row | platform.Away:
        """Get a row; a missing one has version 0."""
        exchange = await self.link.call('GET', f'/table/rows/{quote(key)}')
        match exchange:
            case http_client.Reply(status=http.OK):
                row = body_of(exchange, platform_wire.Row)
                return row if isinstance(row, platform.Away) else row_of(row)
            case http_client.Reply(status=http.NOT_FOUND):
                return platform.Row(key=key, version=0)
        return unavailable(exchange)

    async def scan_rows(
        self, prefix: str
    ) -> tuple[platform.Row, ...] | platform.Away:
        """Get the rows whose keys begin with a prefix."""
        path = f'/table/rows?prefix={quote(prefix)}'
        exchange = await self.link.call('GET', path)
        match exchange:
            case http_client.Reply(status=http.OK):
                rows = body_of(exchange, list[platform_wire.Row])
                if isinstance(rows, platform.Away):
                    return rows
                return tuple(row_of(row) for row in rows)
        return unavailable(exchange)

    async def fetch_outcome(
        self, operation_id: str
    ) -> platform.WriteOutcome | platform.Absent:
        """Get the outcome of a transaction."""
        path = f'/table/operations/{quote(operation_id)}'
        exchange = await self.link.call('GET', path)
        match exchange:
            case http_client.Reply(status=http.NOT_FOUND):
                return platform.Absent()
            case http_client.NotSent() | http_client.NoReply():
                return platform.Away(detail=exchange.detail)
        return write_outcome(exchange)


class HttpObjects:
    """Client of the object store."""

    def __init__(self, *, link: PlatformLink) -> None:
        self.link = link

    def put(
        self, key: str, body: bytes
    ) -> 'defer.Deferred[platform.Committed | platform.Unknown]':
        """Store an object."""
        return defer.ensureDeferred(self.put_object(key, body))

    def fetch(
        self, key: str
    ) -> 'defer.Deferred[bytes | platform.Absent | platform.Away]':
        """Read an object."""
        return defer.ensureDeferred(self.fetch_object(key))

    async def put_object(
        self, key: str, body: bytes
    ) -> platform.Committed | platform.Unknown:
        """Put an object."""
        exchange = await self.link.call('PUT', f'/objects/{quote(key)}', body)
        match exchange:
            case http_client.Reply(status=http.OK):
                return platform.Committed()
        return platform.Unknown(detail=unavailable(exchange).detail)

    async def fetch_object(
        self, key: str
    ) -> bytes | platform.Absent | platform.Away:
        """Get an object."""
        exchange = await self.link.call('GET', f'/objects/{quote(key)}')
        match exchange:
            case http_client.Reply(status=http.OK):
                return exchange.body
            case http_client.Reply(status=http.NOT_FOUND):
                return platform.Absent()
        return unavailable(exchange)


class HttpDirectory:
    """Client of the instance list."""

    def __init__(self, *, link: PlatformLink) -> None:
        self.link = link

    def list_instances(
        self,
    ) -> 'defer.Deferred[platform.InstanceList | platform.Away]':
        """Read the instance list."""
        return defer.ensureDeferred(self.read_list())

    async def read_list(self) -> platform.InstanceList | platform.Away:
        """Get the instance list."""
        exchange = await self.link.call('GET', '/instances')
        match exchange:
            case http_client.Reply(status=http.OK):
                listed = body_of(exchange, platform_wire.InstanceList)
                if isinstance(listed, platform.Away):
                    return listed
                return instance_list_of(listed)
        return unavailable(exchange)


def write_outcome(exchange: http_client.Exchange) -> platform.WriteOutcome:
    """Return the outcome of a transaction.

    Args:
        exchange: Exchange of the transaction, or of reading its outcome.

    Returns:
        The outcome, `Unknown` if the exchange does not determine it.
    """
    match exchange:
        case http_client.Reply(status=http.OK):
            return platform.Committed()
        case http_client.Reply(status=http.CONFLICT):
            rows = body_of(exchange, list[platform_wire.Row])
            if isinstance(rows, platform.Away):
                return platform.Unknown(detail=rows.detail)
            return platform.Conflict(rows=tuple(row_of(row) for row in rows))
        case http_client.NotSent():
            return platform.Away(detail=exchange.detail)
        case http_client.NoReply():
            return platform.Unknown(detail=exchange.detail)
    return platform.Unknown(detail=f'status {exchange.status}')


def body_of(reply: http_client.Reply, kind: type[Body]) -> Body | platform.Away:
    """Return the body of a response, or a failure if it is malformed."""
    body = json_input.decode(reply.body, kind)
    if isinstance(body, json_input.Malformed):
        return platform.Away(detail=f'malformed response: {body.reason}')
    return body


def unavailable(exchange: http_client.Exchange) -> platform.Away:
    """Return the failure of a read."""
    match exchange:
        case http_client.Reply():
            return platform.Away(detail=f'status {exchange.status}')
    return platform.Away(detail=exchange.detail)


def quote(text: str) -> str:
    """Escape text for a URL path."""
    return urls.quote(text, safe='')


def row_of(row: platform_wire.Row) -> platform.Row:
    """Convert a row from its wire structure."""
    return platform.Row(
        key=row.key, version=row.version, body=base64.b64decode(row.body)
    )


def instance_list_of(
    wire_list: platform_wire.InstanceList,
) -> platform.InstanceList:
    """Convert the instance list from its wire structure."""
    return platform.InstanceList(
        entries=tuple(
            platform.ListedInstance(
                availability_zone=names.AvailabilityZone(
                    entry.availability_zone
                ),
                address=names.ClientAddress(entry.address),
                peer_address=names.PeerAddress(entry.peer_address),
                leaving=entry.leaving,
            )
            for entry in wire_list.entries
        ),
        upstreams=tuple(
            upstreams.Upstream(
                name=names.UpstreamName(upstream.name),
                availability_zone=names.AvailabilityZone(
                    upstream.availability_zone
                ),
                pool=names.PoolName(upstream.pool),
                address=upstream.address,
                slots=upstream.slots,
                leaving=upstream.leaving,
            )
            for upstream in wire_list.upstreams
        ),
    )
