"""Writes docs/scores: tables and plots of the bench's journal, a site each.

Run as `make report`, which installs what it needs.
"""

import dataclasses
import itertools
import json
import pathlib
from collections.abc import Iterable
from typing import Any, Final

from matplotlib import pyplot

ROOT: Final = pathlib.Path(__file__).resolve().parent.parent
JOURNAL: Final = ROOT / 'journal'
FOLDER: Final = ROOT / 'docs/scores'
HEAD: Final = (
    '| Ended | Entry | Commit | Score | Gate | Worth of each day |\n'
    '|---|---|---|---|---|---|\n'
)
HUNT_HEAD: Final = (
    '| Ended | Entry | Commit | Days | Days with a broken rule |\n'
    '|---|---|---|---|---|\n'
)
PLOT_SIZE_INCHES: Final = (8, 4)
SHORT_COMMIT: Final = 7
MINUTE: Final = 16


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Day:
    """One day of an entry.

    Attributes:
        name: Its name.
        worth: What it was worth.
        broken: Broken rules and how often.
    """

    name: str
    worth: float
    broken: dict[str, int]

    def told(self) -> str:
        """Return the day as the table has it."""
        rules = itertools.starmap('{0} {1}'.format, self.broken.items())
        worth = format(self.worth, '.3f')
        return ' '.join((self.name, worth, *rules))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """One finished run of the bench.

    Attributes:
        entry_id: Its id.
        command: What was run.
        site: Where.
        ended: When it ended.
        commit: Commit that was measured.
        score: Score of the site; none for other commands.
        days: Its days.
    """

    entry_id: str
    command: str
    site: str
    ended: str
    commit: str
    score: float | None
    days: tuple[Day, ...]

    def worth_of(self, name: str) -> float | None:
        """Return what a day was worth, if it was played."""
        worths = (day.worth for day in self.days if day.name == name)
        return next(worths, None)

    def row(self, *cells: str) -> str:
        """Return a row of a table: when, which, and the given cells."""
        ended = self.ended[:MINUTE].replace('T', ' ')
        every = ' | '.join((ended, self.entry_id, self.commit, *cells))
        return f'| {every} |\n'


def entry_of(text: str) -> Entry | None:
    """Return a finished run, or none for one that was given up."""
    read: dict[str, Any] = json.loads(text)
    if not read['ok'] or not read['site']:
        return None
    return Entry(
        entry_id=read['id'],
        command=read['cmd'],
        site=read['site'],
        ended=read['at'][1],
        commit=read['head'][:SHORT_COMMIT],
        score=read['score'],
        days=tuple(map(day_of, read['days'])),
    )


def day_of(read: dict[str, Any]) -> Day:
    """Return one day of an entry."""
    worth = read['G']
    return Day(name=read['name'], worth=worth, broken=read['rules'])


def entries() -> list[Entry]:
    """Return every finished run, the oldest first."""
    paths = sorted(JOURNAL.glob('*.json'))
    found = (entry_of(path.read_text()) for path in paths)
    return list(filter(None, found))


def score_rows(runs: Iterable[Entry]) -> str:
    """Return the table of scores."""
    rows = [HEAD]
    for one in runs:
        is_broken = any(day.broken for day in one.days)
        gate = 'broken' if is_broken else 'kept'
        days = ', '.join(day.told() for day in one.days)
        rows.append(one.row(format(one.score, '.3f'), gate, days))
    return ''.join(rows)


def hunt_rows(runs: Iterable[Entry]) -> str:
    """Return the table of hunts."""
    rows = [HUNT_HEAD]
    for one in runs:
        broken = [day.told() for day in one.days if day.broken]
        told = ', '.join(broken) or 'none'
        rows.append(one.row(str(len(one.days)), told))
    return ''.join(rows)


def plot(site: str, runs: list[Entry]) -> None:
    """Draw the worth of each standard day over the scores of a site."""
    figure, axes = pyplot.subplots(figsize=PLOT_SIZE_INCHES)
    standard = [day for day in runs[-1].days if 'fresh' not in day.name]
    for day in standard:
        ids, worths = line_of(day.name, runs)
        axes.plot(ids, worths, marker='o', label=day.name)
    axes.set_title(site)
    axes.set_ylabel('worth')
    axes.tick_params(axis='x', rotation=45)
    axes.legend(loc='center left', bbox_to_anchor=(1, 0.5))
    figure.savefig(FOLDER / f'{site}.png', bbox_inches='tight')
    pyplot.close(figure)


def line_of(
    name: str, runs: list[Entry]
) -> tuple[list[str], list[float | None]]:
    """Return the entries that played a day, and what it was worth."""
    played = [one for one in runs if one.worth_of(name) is not None]
    ids = [one.entry_id for one in played]
    return ids, [one.worth_of(name) for one in played]


def page(site: str, found: list[Entry]) -> str:
    """Return the part of the page about one site, and draw its plot."""
    scores = [one for one in found if one.command == 'score']
    hunts = [one for one in found if one.command == 'hunt']
    parts = [f'\n## {site}\n\n']
    if scores:
        plot(site, scores)
        parts.append(f'![worth of each day]({site}.png)\n\n')
        parts.append(score_rows(scores))
    if hunts:
        parts.append(f'\n{hunt_rows(hunts)}')
    return ''.join(parts)


def main() -> None:
    """Write the page and the plots."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    found = entries()
    sites = sorted({one.site for one in found})
    parts = [
        '# Scores and hunts\n\n'
        'Written by `make report` from the entries in `journal/`, also of\n'
        'trials and of runs on older code. A difference under 0.03 is noise.\n'
    ]
    parts.extend(
        page(site, [one for one in found if one.site == site]) for site in sites
    )
    (FOLDER / 'README.md').write_text(''.join(parts))


if __name__ == '__main__':
    main()
