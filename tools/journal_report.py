"""Writes docs/scores: tables and plots of the journal entries of each site.

Run as `make report`, which installs the requirements.
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
SHORT_COMMIT_LENGTH: Final = 7
# Length of an ISO 8601 time up to the minutes.
MINUTE_LENGTH: Final = 16


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Day:
    """Result of one simulated day.

    Attributes:
        name: Name of the day.
        worth: Score of the day.
        broken: Number of violations by rule.
    """

    name: str
    worth: float
    broken: dict[str, int]

    def summary(self) -> str:
        """Return the text of the day for a table."""
        rules = itertools.starmap('{0} {1}'.format, self.broken.items())
        worth = format(self.worth, '.3f')
        return ' '.join((self.name, worth, *rules))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """Journal entry of one finished run.

    Attributes:
        entry_id: Id of the entry.
        command: Command that was run: `score` or `hunt`.
        site: Site that was simulated.
        ended: When the run ended, as an ISO 8601 time.
        commit: Commit that was measured.
        score: Score of the site; none for other commands than `score`.
        days: Results of the days.
    """

    entry_id: str
    command: str
    site: str
    ended: str
    commit: str
    score: float | None
    days: tuple[Day, ...]

    def worth_of(self, name: str) -> float | None:
        """Return the score of a day, or none if it was not run."""
        worths = (day.worth for day in self.days if day.name == name)
        return next(worths, None)

    def row(self, *cells: str) -> str:
        """Return a table row: end, id and commit, then the given cells."""
        ended = self.ended[:MINUTE_LENGTH].replace('T', ' ')
        joined = ' | '.join((ended, self.entry_id, self.commit, *cells))
        return f'| {joined} |\n'


def parse_entry(text: str) -> Entry | None:
    """Return the entry of a finished run, or none for an aborted run."""
    document: dict[str, Any] = json.loads(text)
    if not document['ok'] or not document['site']:
        return None
    return Entry(
        entry_id=document['id'],
        command=document['cmd'],
        site=document['site'],
        ended=document['at'][1],
        commit=document['head'][:SHORT_COMMIT_LENGTH],
        score=document['score'],
        days=tuple(map(parse_day, document['days'])),
    )


def parse_day(document: dict[str, Any]) -> Day:
    """Return the result of one day of an entry."""
    worth = document['G']
    return Day(name=document['name'], worth=worth, broken=document['rules'])


def read_entries() -> list[Entry]:
    """Return the entries of all finished runs, the oldest first."""
    paths = sorted(JOURNAL.glob('*.json'))
    parsed = (parse_entry(path.read_text()) for path in paths)
    return list(filter(None, parsed))


def score_rows(runs: Iterable[Entry]) -> str:
    """Return the table of `score` runs."""
    rows = [HEAD]
    for entry in runs:
        is_broken = any(day.broken for day in entry.days)
        gate = 'broken' if is_broken else 'kept'
        days = ', '.join(day.summary() for day in entry.days)
        rows.append(entry.row(format(entry.score, '.3f'), gate, days))
    return ''.join(rows)


def hunt_rows(runs: Iterable[Entry]) -> str:
    """Return the table of `hunt` runs."""
    rows = [HUNT_HEAD]
    for entry in runs:
        broken = [day.summary() for day in entry.days if day.broken]
        summary = ', '.join(broken) or 'none'
        rows.append(entry.row(str(len(entry.days)), summary))
    return ''.join(rows)


def plot(site: str, runs: list[Entry]) -> None:
    """Plot the score of each standard day over the `score` runs of a site."""
    figure, axes = pyplot.subplots(figsize=PLOT_SIZE_INCHES)
    standard = [day for day in runs[-1].days if 'fresh' not in day.name]
    for day in standard:
        ids, worths = series_of(day.name, runs)
        axes.plot(ids, worths, marker='o', label=day.name)
    axes.set_title(site)
    axes.set_ylabel('worth')
    axes.tick_params(axis='x', rotation=45)
    axes.legend(loc='center left', bbox_to_anchor=(1, 0.5))
    figure.savefig(FOLDER / f'{site}.png', bbox_inches='tight')
    pyplot.close(figure)


def series_of(
    name: str, runs: list[Entry]
) -> tuple[list[str], list[float | None]]:
    """Return the ids of the entries with a day, and its scores."""
    matching = [entry for entry in runs if entry.worth_of(name) is not None]
    ids = [entry.entry_id for entry in matching]
    return ids, [entry.worth_of(name) for entry in matching]


def site_section(site: str, runs: list[Entry]) -> str:
    """Return the section of one site, and save its plot."""
    scores = [entry for entry in runs if entry.command == 'score']
    hunts = [entry for entry in runs if entry.command == 'hunt']
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
    runs = read_entries()
    sites = sorted({entry.site for entry in runs})
    parts = [
        '# Scores and hunts\n\n'
        'Written by `make report` from the entries in `journal/`, also of\n'
        'trials and of runs on older code. A difference under 0.03 is noise.\n'
    ]
    parts.extend(
        site_section(site, [entry for entry in runs if entry.site == site])
        for site in sites
    )
    (FOLDER / 'README.md').write_text(''.join(parts))


if __name__ == '__main__':
    main()
