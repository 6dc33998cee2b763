"""Runs every feature and prints a summary; tolerates known failures.

One behave process runs for each folder below `features/`, a few of them in
parallel. The results are read from behave's JSON reports.
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
MAX_PARALLEL_RUNS: Final = 3
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


def known_failures() -> frozenset[str]:
    """Return the scenario names that KNOWN-RED.txt lists."""
    lines = KNOWN_RED.read_text().splitlines()
    entries = [line for line in lines if line and not line.startswith('#')]
    return frozenset(line.split('|')[0].strip() for line in entries)


def run_folder(folder: pathlib.Path) -> FolderRun:
    """Run the features of one folder.

    Args:
        folder: Folder below `features/`.

    Returns:
        The exit code, the output and the results of the scenarios.
    """
    report = REPORTS / f'{folder.name}.json'
    report.unlink(missing_ok=True)
    command = [
        sys.executable, '-m', 'behave', str(folder),
        '--format', 'json', '--outfile', str(report),
        '--format', 'progress3', '--outfile', '/dev/stdout',
        '--no-skipped',
    ]  # fmt: skip
    completed = subprocess.run(
        command,
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=FOLDER_TIMEOUT_S,
        check=False,
    )
    return FolderRun(
        folder=folder.name,
        exit_code=completed.returncode,
        output=completed.stdout + completed.stderr,
        scenarios=read_report(report),
    )


def read_report(report: pathlib.Path) -> tuple[ScenarioResult, ...]:
    """Read the scenarios of a behave JSON report.

    Args:
        report: Path of the report; a missing file counts as empty.

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
            # Names of outlines end with a space if their examples have none.
            name=f'{feature}: {element["name"]}'.rstrip(),
            status=element['status'],
        )
        for feature, element in elements
    )


def partition(
    scenarios: list[ScenarioResult], matches: Predicate
) -> tuple[list[ScenarioResult], list[ScenarioResult]]:
    """Partition scenarios by a predicate.

    Args:
        scenarios: Results to partition.
        matches: The predicate.

    Returns:
        Those that match and those that do not.
    """
    matching = [result for result in scenarios if matches(result)]
    return matching, [result for result in scenarios if result not in matching]


def report_results(runs: list[FolderRun]) -> bool:
    """Print a summary of all runs.

    Args:
        runs: Runs of every folder.

    Returns:
        Whether scenarios passed and none failed but the known failures.
    """
    listed = known_failures()
    scenarios = [result for run in runs for result in run.scenarios]
    passed, others = partition(
        scenarios, lambda result: result.status == 'passed'
    )
    known, failed = partition(others, lambda result: result.name in listed)
    crashed = [run for run in runs if run.exit_code and not run.scenarios]
    print_failures(runs, known, failed, crashed)
    total_failed = len(failed) + len(crashed)
    skipped = f', {len(known)} skipped' if known else ''
    print(f'scenarios: {len(passed)} passed, {total_failed} failed{skipped}')
    return bool(passed) and not total_failed


def print_failures(
    runs: list[FolderRun],
    known: list[ScenarioResult],
    failed: list[ScenarioResult],
    crashed: list[FolderRun],
) -> None:
    """Print the scenarios and runs that did not pass.

    Args:
        runs: Runs of every folder.
        known: Failures that KNOWN-RED.txt lists.
        failed: All other failures.
        crashed: Runs that failed without reporting a scenario.
    """
    for run in runs:
        if run in crashed or set(run.scenarios) & set(failed):
            print(run.output)
    for known_failure in known:
        print(f'known red: {known_failure.name}: {known_failure.status}')
    for failure in failed:
        print(f'FAILED: {failure.name}: {failure.status}')
    for run in crashed:
        print(f'BROKEN: {run.folder}: behave exited with {run.exit_code}')


def main() -> None:
    """Run all folders and exit non-zero if anything failed."""
    REPORTS.mkdir(parents=True, exist_ok=True)
    folders = sorted(
        path for path in FEATURES.iterdir() if any(path.glob('*.feature'))
    )
    with futures.ThreadPoolExecutor(MAX_PARALLEL_RUNS) as pool:
        runs = list(pool.map(run_folder, folders))
    sys.exit(0 if report_results(runs) else 1)


if __name__ == '__main__':
    main()
