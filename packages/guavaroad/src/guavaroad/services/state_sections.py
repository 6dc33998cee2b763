"""Typed sections of the state dump."""

import itertools
from typing import Final

import msgspec

from guavaroad.domain import identity
from guavaroad.services import configuration, drain, outcomes

SHOWN_SUBMISSIONS: Final = 200


class InstanceSection(msgspec.Struct, frozen=True, kw_only=True):
    """Who this process is and whether it takes work.

    Attributes:
        availability_zone: Zone it serves.
        address: Client address.
        epoch: Life of the process.
        phase: Phase of the planned stop.
        ready: Whether the balancer should send work here.
        why_not_ready: Reason, empty if it is ready.
        uptime_s: Seconds since its start.
    """

    availability_zone: str
    address: str
    epoch: str
    phase: drain.Phase
    ready: bool
    why_not_ready: str
    uptime_s: float


class ConfigurationSection(msgspec.Struct, frozen=True, kw_only=True):
    """The configuration in force.

    Attributes:
        version: Its number; none while no configuration is known.
        jobs: Jobs it names.
        teams: Teams it names.
    """

    version: int | None
    jobs: int = 0
    teams: int = 0


class SubmissionLine(msgspec.Struct, frozen=True, kw_only=True):
    """One submission that this incarnation owns.

    Attributes:
        submission_id: Its id.
        owner: Epoch of the owner.
        phase: Where it stands.
        waiting_clients: Requests that wait for its answer here.
    """

    submission_id: str
    owner: str
    phase: str
    waiting_clients: int


class SubmissionsSection(msgspec.Struct, frozen=True, kw_only=True):
    """Submissions of this owner.

    Attributes:
        open: Submissions that have not ended.
        kept: Outcomes that are kept.
        shown: The oldest open ones, `SHOWN_SUBMISSIONS` at most.
    """

    open: int
    kept: int
    shown: tuple[SubmissionLine, ...]


def describe_configuration(
    service: configuration.ConfigurationService,
) -> ConfigurationSection:
    """Return the section of the configuration."""
    known = service.in_force
    if known is None:
        return ConfigurationSection(version=None)
    return ConfigurationSection(
        version=known.version,
        jobs=len(known.document.jobs),
        teams=len(known.document.teams),
    )


def describe_submissions(
    book: outcomes.OutcomeCache, owner: identity.Incarnation
) -> SubmissionsSection:
    """Return the section of the submissions."""
    open_entries = (
        SubmissionLine(
            submission_id=submission_id,
            owner=owner.epoch,
            phase='running',
            waiting_clients=len(entry.waiters),
        )
        for submission_id, entry in book.entries.items()
        if entry.outcome is None
    )
    return SubmissionsSection(
        open=book.open_count(),
        kept=len(book.ended),
        shown=tuple(itertools.islice(open_entries, SHOWN_SUBMISSIONS)),
    )
