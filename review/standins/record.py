"""The record of a case: what was sent, answered and run."""

import json
import pathlib
import time


class Record:
    """Lines with a time, in memory and in a file.

    Attributes:
        lines: Lines so far.
    """

    def __init__(self, *, folder):
        self.begun_s = time.monotonic()
        self.lines = []
        self.path = pathlib.Path(folder, 'record.txt')
        self.path.write_text('')

    def now(self):
        """Return the time since the begin of the case, in seconds."""
        return time.monotonic() - self.begun_s

    def note(self, event, **fields):
        """Add a line."""
        line = {'at_s': round(self.now(), 3), 'event': event, **fields}
        self.lines.append(line)
        with self.path.open('a') as output:
            output.write(f'{json.dumps(line)}\n')

    def find(self, event, **fields):
        """Return the lines of an event with these fields."""
        wanted = {'event': event, **fields}.items()
        return [line for line in self.lines if wanted <= line.items()]
