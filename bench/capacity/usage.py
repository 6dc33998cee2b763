"""Processor time and memory of a running process."""

import dataclasses
import time
from typing import Final

import psutil

MIB: Final = 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Usage:
    """Resource usage of a process at one moment.

    Attributes:
        at_s: Monotonic time of the reading, seconds.
        cpu_s: Processor seconds used so far, user and system.
        rss_bytes: Resident memory.
        threads: Operating-system threads.
    """

    at_s: float
    cpu_s: float
    rss_bytes: int
    threads: int


def read_usage(pid: int) -> Usage:
    """Read the usage of a process.

    Args:
        pid: Process id.

    Returns:
        Its current usage.
    """
    process = psutil.Process(pid)
    cpu = process.cpu_times()
    return Usage(
        at_s=time.monotonic(),
        cpu_s=cpu.user + cpu.system,
        rss_bytes=process.memory_info().rss,
        threads=process.num_threads(),
    )


def core_share(before: Usage, after: Usage) -> float:
    """Return the share of one core used between two readings."""
    return (after.cpu_s - before.cpu_s) / (after.at_s - before.at_s)


def core_share_over(pid: int, seconds: float) -> float:
    """Return the share of one core that a process uses over some seconds."""
    before = read_usage(pid)
    time.sleep(seconds)
    return core_share(before, read_usage(pid))
