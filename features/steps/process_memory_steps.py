"""Steps about the memory of processes of the platform program."""

import contextlib
import os
import pathlib
import socket
import struct
import time

import behave

from guavaroad.adapters import pool_wire
from guavaroad.domain import names
from guavaroad.domain.pool import peer_messages, values

PEER_PORT = 21003
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
PERCENT = 100
SETTLE_S = 3
# Closes a socket with a reset.
LINGER = struct.pack('ii', 1, 0)
FRAME_HEAD = struct.Struct('!I')
TIMEOUT_S = 5


def poll_frame(process):
    """Return the frame of an election poll."""
    message = peer_messages.Poll(
        token=values.Token(0),
        candidate=peer_messages.Instance(
            name=values.InstanceName('candidate'),
            address=f'{process.ip}:{PEER_PORT}',
            zone=names.AvailabilityZone('a'),
        ),
    )
    frame = next(pool_wire.encode_batch([message]))
    return FRAME_HEAD.pack(len(frame)) + frame


def memory_bytes(process):
    """Return the resident memory of a process."""
    fields = pathlib.Path(f'/proc/{process.child.pid}/statm').read_text()
    return int(fields.split()[1]) * PAGE_BYTES


def descriptor_count(process):
    """Return the number of open descriptors of a process."""
    return len(os.listdir(f'/proc/{process.child.pid}/fd'))


@behave.when('{count:d} links to a process are made, used and reset')
def when_linked(context, count):
    process = context.fleet.processes[0]
    frame = poll_frame(process)
    for _ in range(count):
        link = socket.create_connection((process.ip, PEER_PORT), TIMEOUT_S)
        with contextlib.closing(link):
            link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
            link.sendall(frame)
            assert link.recv(1), 'the poll was not answered'
    time.sleep(SETTLE_S)


@behave.when('its memory and descriptors are measured')
def when_measured(context):
    process = context.fleet.processes[0]
    context.measured = memory_bytes(process), descriptor_count(process)


@behave.then('its memory has grown by at most {percent:d} %')
def then_memory(context, percent):
    before = context.measured[0]
    after = memory_bytes(context.fleet.processes[0])
    assert after * PERCENT <= before * (PERCENT + percent), (before, after)


@behave.then('it has at most {count:d} more descriptors')
def then_descriptors(context, count):
    before = context.measured[1]
    after = descriptor_count(context.fleet.processes[0])
    assert after <= before + count, (before, after)
