"""Runs every feature, passes over the known failures, prints the tally.

The features run in a few behave processes, one for each folder below
`features/`, and the results are read from behave's JSON report.
"""

import dataclasses
import json
import pathlib
import subprocess
import sys
from collections.abc import Callable
from concurrent import futures
from typing import Final

ROOT: Final = pathlib.Path(__file__).resolve().parent.parent
FEATURES: Final = ROOT / 'features'
REPORTS: Final = ROOT / 'build' / 'scenarios'
KNOWN_RED: Final = ROOT / 'KNOWN-RED.txt'
PARALLEL_RUNS: Final = 3
FOLDER_TIMEOUT_S: Final = 900


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ScenarioResult:
    """Outcome of one scenario."""

    name: str
    status: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FolderRun:
    """Outcome of the behave process of one folder."""

    folder: str
    exit_code: int
    output: str
    scenarios: tuple[ScenarioResult, ...]


Predicate = Callable[[ScenarioResult], bool]


def known_red() -> frozenset[str]:
    """Return the scenario names that KNOWN-RED.txt lists."""
    lines = KNOWN_RED.read_text().splitlines()
    entries = [line for line in lines if line and not line.startswith('#')]
    return frozenset(line.split('|')[0].strip() for line in entries)


def run_folder(folder: pathlib.Path) -> FolderRun:
    """Run the features of one folder.

    Args:
        folder: Folder below `features/`.

    Returns:
        What behave reported.
    """
    report = REPORTS / f'{folder.name}.json'
    report.unlink(missing_ok=True)
    command = [
        sys.executable, '-m', 'behave', str(folder),
        '--format', 'json', '--outfile', str(report),
        '--format', 'progress3', '--outfile', '/dev/stdout',
        '--no-skipped',
    ]  # fmt: skip
    done = subprocess.run(
        command,
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=FOLDER_TIMEOUT_S,
        check=False,
    )
    return FolderRun(
        folder=folder.name,
        exit_code=done.returncode,
        output=done.stdout + done.stderr,
        scenarios=read_report(report),
    )


def read_report(report: pathlib.Path) -> tuple[ScenarioResult, ...]:
    """Read the scenarios of a behave JSON report.

    Args:
        report: Path of the report; a missing one has no scenarios.

    Returns:
        One result for each scenario.
    """
    if not report.exists():
        return ()
    features = json.loads(report.read_text() or '[]')
    elements = [
        (feature['name'], element)
        for feature in features
        for element in feature.get('elements', [])
        if element['type'] == 'scenario'
    ]
    return tuple(
        ScenarioResult(
            name=f'{feature}: {element["name"]}', status=element['status']
        )
        for feature, element in elements
    )


def split(
    scenarios: list[ScenarioResult], matches: Predicate
) -> tuple[list[ScenarioResult], list[ScenarioResult]]:
    """Divide scenarios by a predicate.

    Args:
        scenarios: Results to divide.
        matches: Tells which go first.

    Returns:
        Those that match and those that do not.
    """
    chosen = [one for one in scenarios if matches(one)]
    return chosen, [one for one in scenarios if one not in chosen]


def judge(runs: list[FolderRun]) -> bool:
    """Print the tally of all runs.

    Args:
        runs: Runs of every folder.

    Returns:
        Whether nothing failed but the known failures.
    """
    listed = known_red()
    scenarios = [one for run in runs for one in run.scenarios]
    passed, others = split(scenarios, lambda one: one.status == 'passed')
    red, failed = split(others, lambda one: one.name in listed)
    broken = [run for run in runs if run.exit_code and not run.scenarios]
    print_failures(runs, red, failed, broken)
    total_failed = len(failed) + len(broken)
    skipped = f', {len(red)} skipped' if red else ''
    print(f'scenarios: {len(passed)} passed, {total_failed} failed{skipped}')
    return bool(passed) and not total_failed


def print_failures(
    runs: list[FolderRun],
    red: list[ScenarioResult],
    failed: list[ScenarioResult],
    broken: list[FolderRun],
) -> None:
    """Print what did not pass.

    Args:
        runs: Runs of every folder.
        red: Failures that KNOWN-RED.txt lists.
        failed: All other failures.
        broken: Runs that reported no scenario at all.
    """
    for run in runs:
        if run in broken or set(run.scenarios) & set(failed):
            print(run.output)
    for known in red:
        print(f'known red: {known.name}: {known.status}')
    for new in failed:
        print(f'FAILED: {new.name}: {new.status}')
    for run in broken:
        print(f'BROKEN: {run.folder}: behave ended with {run.exit_code}')


def main() -> None:
    """Run all folders and exit non-zero if anything failed."""
    REPORTS.mkdir(parents=True, exist_ok=True)
    folders = sorted(
        path for path in FEATURES.iterdir() if any(path.glob('*.feature'))
    )
    with futures.ThreadPoolExecutor(PARALLEL_RUNS) as pool:
        runs = list(pool.map(run_folder, folders))
    sys.exit(0 if judge(runs) else 1)


if __name__ == '__main__':
    main()
