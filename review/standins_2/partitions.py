"""A partition between zones, for connections on the loopback interface.

Every connection comes from the same address, so its process is found by the
socket's inode, which `/proc` lists for each process of the run.
"""

import asyncio
import os
import pathlib

LOOPBACK_HEX = '0100007F'
TCP_TABLE = pathlib.Path('/proc/net/tcp')
# Positions in a line of the table.
ENDS = slice(1, 3)
INODE_FIELD = 9


class Partition:
    """Which zone is cut off, and which process is in which zone.

    Attributes:
        zones: Zone of each process, by its id.
        cut_zone: Zone that is cut off from the others; empty for none.
        ends: Inode of each socket, by both its addresses.
        inodes: Process of each socket at the last look.
        healed: Set when the partition ends.
    """

    def __init__(self) -> None:
        self.zones: dict[int, str] = {}
        self.cut_zone = ''
        self.ends: dict[str, str] = {}
        self.inodes: dict[str, int] = {}
        self.healed = asyncio.Event()

    def cut(self, zone: str) -> None:
        """Cut a zone off."""
        self.ends = inodes_by_ends()
        self.inodes = sockets_of(self.zones)
        self.cut_zone = zone
        self.healed.clear()

    def heal(self) -> None:
        """End the partition."""
        self.cut_zone = ''
        self.healed.set()

    async def wait_healed(self) -> None:
        """Wait until the partition ends."""
        await self.healed.wait()

    def zone_of(self, client_port: int, server_port: int) -> str:
        """Return the zone of a client's process; empty if unknown."""
        ends = ' '.join(map(address_of, (client_port, server_port)))
        if ends not in self.ends:
            self.ends = inodes_by_ends()
        inode = self.ends.get(ends, '')
        if inode not in self.inodes:
            self.inodes = sockets_of(self.zones)
        return self.zones.get(self.inodes.get(inode, 0), '')

    def separates(self, source: str, target: str) -> bool:
        """Return whether a zone can't reach another one.

        Args:
            source: Zone of the client; empty if its process is gone.
            target: Zone of the server.
        """
        is_inside = source == self.cut_zone
        return not source or is_inside != (target == self.cut_zone)


def inodes_by_ends() -> dict[str, str]:
    """Return the inode of each socket, by both its addresses."""
    found = {}
    for line in TCP_TABLE.read_text().splitlines():
        fields = line.split()
        ends = ' '.join(fields[ENDS])
        found[ends] = fields[INODE_FIELD]
    return found


def address_of(port: int) -> str:
    """Return an address as the table of sockets has it."""
    port_hex = format(port, '04X')
    return f'{LOOPBACK_HEX}:{port_hex}'


def sockets_of(processes: dict[int, str]) -> dict[str, int]:
    """Return the process of each socket, by inode."""
    found = {}
    for process in processes:
        for target in open_files(process):
            if target.startswith('socket:['):
                found[target[len('socket:[') : -1]] = process
    return found


def open_files(process: int) -> list[str]:
    """Return the names of the open files of a process."""
    folder = f'/proc/{process}/fd'
    try:
        descriptors = os.listdir(folder)
    except OSError:
        return []
    return [target_of(f'{folder}/{number}') for number in descriptors]


def target_of(descriptor: str) -> str:
    """Return the name of an open file; empty if it was closed meanwhile."""
    try:
        return os.readlink(descriptor)
    except OSError:
        return ''
