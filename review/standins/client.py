"""Clients that hand in jobs, and send them again as the page says."""

import asyncio
import contextlib
import json
import random

from standins import http_server

HOST_NAME = 'nony24.example'
PREFIX = '/lohu930/'
RESEND_S = 1.3
NO_ANSWER = 0
RESENT = frozenset((NO_ANSWER, 502, 504))
MS_PER_S = 1000
ID_BITS = 64


async def request(address, method, path, *, document=None, limit_ms=1500):
    """Send a request on a new connection; return status and body text.

    The status is 0 if there is no complete response in time.
    """
    try:
        return await asyncio.wait_for(
            exchange(address, method, path, document, limit_ms),
            limit_ms / MS_PER_S,
        )
    except (OSError, asyncio.IncompleteReadError):
        return NO_ANSWER, ''


async def exchange(address, method, path, document, limit_ms):
    """Send a request, and read the response."""
    reader, writer = await asyncio.open_connection(*address)
    body = b'' if document is None else json.dumps(document).encode()
    lines = (
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST_NAME}',
        'Content-Type: application/json',
        f'Deadline-Ms: {limit_ms}',
        f'Content-Length: {len(body)}',
    )
    head = '\r\n'.join(lines)
    with contextlib.closing(writer):
        writer.write(f'{head}\r\n\r\n'.encode() + body)
        return await read_answer(reader)


async def read_answer(reader):
    """Read a response; return status and body text."""
    received = await reader.readuntil(b'\r\n\r\n')
    lines = received.decode('latin-1').split('\r\n')
    headers = http_server.read_headers(lines[1:])
    text = await reader.readexactly(int(headers['content-length']))
    status = lines[0].split(' ')[1]
    return int(status), text.decode()


class Clients:
    """Clients of the nodes.

    Attributes:
        fronts: Addresses of the nodes.
        record: Receives what is sent and answered.
        open: Jobs that are under way.
    """

    def __init__(self, *, fronts, record, seed=0):
        self.fronts = fronts
        self.record = record
        self.random = random.Random(seed)
        self.open = set()

    def submit(self, steps, *, work_ms, limit_ms=1500, tries=3):
        """Hand in a job; return its id and the task that waits for it."""
        job = format(self.random.getrandbits(ID_BITS), '016x')
        document = {
            'TaskSpec': str(work_ms),
            'BestEffort': True,
            'Steps': steps,
        }
        sending = asyncio.ensure_future(
            self.send(job, document, limit_ms=limit_ms, tries=tries)
        )
        self.open.add(sending)
        sending.add_done_callback(self.open.discard)
        return job, sending

    async def send(self, job, document, *, limit_ms, tries):
        """Send a job until it has an answer; return the last status."""
        status = NO_ANSWER
        for attempt in range(1, tries + 1):
            node = self.random.choice(self.fronts)
            self.record.note(
                'post', job=job, attempt=attempt, node=node[0], steps=document
            )
            status, text = await request(
                node,
                'POST',
                PREFIX + job,
                document=document,
                limit_ms=limit_ms,
            )
            self.record.note('answer', job=job, status=status, text=text)
            if status not in RESENT:
                break
            await asyncio.sleep(RESEND_S)
        return status

    async def cancel(self, job):
        """Cancel a job at any node; return the status."""
        node = self.random.choice(self.fronts)
        self.record.note('delete', job=job, node=node[0])
        status, text = await request(node, 'DELETE', PREFIX + job)
        self.record.note('deleted', job=job, status=status, text=text)
        return status

    async def load(self, steps, *, work_ms, per_s, for_s):
        """Hand in jobs at a constant rate."""
        for _ in range(int(per_s * for_s)):
            self.submit(steps, work_ms=work_ms)
            await asyncio.sleep(1 / per_s)

    async def finish(self, load):
        """Wait for the end of a load, and for the answers to all jobs."""
        await load
        await self.wait()

    async def wait(self):
        """Wait for the answers to all jobs."""
        if self.open:
            await asyncio.wait(tuple(self.open))
