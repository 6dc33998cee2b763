"""Typed sections of the state dump."""

import itertools
from typing import Final

import msgspec

from guavaroad.domain import identity
from guavaroad.services import configuration, drain, outcomes

MAX_SHOWN_SUBMISSIONS: Final = 200


class InstanceSection(msgspec.Struct, frozen=True, kw_only=True):
    """Identity of this process, and whether it accepts work.

    Attributes:
        availability_zone: Its zone.
        address: Client address.
        epoch: Epoch of this incarnation.
        phase: Phase of the planned stop.
        ready: Whether the balancer should send work here.
        why_not_ready: Reason; empty if it is ready.
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
        version: Version number; none while no configuration is known.
        jobs: Number of its jobs.
        teams: Number of its teams.
    """

    version: int | None
    jobs: int = 0
    teams: int = 0


class SubmissionEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One submission that this incarnation owns.

    Attributes:
        submission_id: Its id.
        owner: Epoch of the owner.
        phase: Progress.
        waiting_clients: Number of requests that wait for its answer here.
    """

    submission_id: str
    owner: str
    phase: str
    waiting_clients: int


class SubmissionsSection(msgspec.Struct, frozen=True, kw_only=True):
    """Submissions of this owner.

    Attributes:
        open: Number of submissions that have not ended.
        kept: Number of outcomes that are kept.
        shown: The oldest open ones, `MAX_SHOWN_SUBMISSIONS` at most.
    """

    open: int
    kept: int
    shown: tuple[SubmissionEntry, ...]


def describe_configuration(
    service: configuration.ConfigurationService,
) -> ConfigurationSection:
    """Return the section of the configuration."""
    in_force = service.in_force
    if in_force is None:
        return ConfigurationSection(version=None)
    return ConfigurationSection(
        version=in_force.version,
        jobs=len(in_force.document.jobs),
        teams=len(in_force.document.teams),
    )


def describe_submissions(
    outcome_cache: outcomes.OutcomeCache, owner: identity.Incarnation
) -> SubmissionsSection:
    """Return the section of the submissions."""
    open_entries = (
        SubmissionEntry(
            submission_id=submission_id,
            owner=owner.epoch,
            phase='running',
            waiting_clients=len(entry.waiters),
        )
        for submission_id, entry in outcome_cache.entries.items()
        if entry.outcome is None
    )
    return SubmissionsSection(
        open=outcome_cache.open_count(),
        kept=len(outcome_cache.ended),
        shown=tuple(itertools.islice(open_entries, MAX_SHOWN_SUBMISSIONS)),
    )
