"""The record of a run: what was sent, answered and started, with times."""

import pathlib
import time


class Record:
    """Lines with the time since the start of the run.

    Attributes:
        began_s: Start of the run, on the monotonic clock.
        lines: The lines so far.
    """

    def __init__(self) -> None:
        self.began_s = time.monotonic()
        self.lines: list[str] = []

    def now_s(self) -> float:
        """Return the time since the start of the run, in seconds."""
        return time.monotonic() - self.began_s

    def add(self, event: str, **fields: object) -> None:
        """Add a line."""
        at_s = format(self.now_s(), '8.3f')
        words = [at_s, event]
        words.extend(f'{name}={field}' for name, field in fields.items())
        self.lines.append(' '.join(words))

    def write(self, folder: pathlib.Path) -> None:
        """Write the lines to `record.txt` in a folder."""
        text = '\n'.join(self.lines)
        folder.joinpath('record.txt').write_text(f'{text}\n')
