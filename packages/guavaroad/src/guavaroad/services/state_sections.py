"""Typed sections of the state dump."""

import itertools
from collections.abc import Iterable
from typing import Final

import msgspec

from guavaroad.domain import identity
from guavaroad.services import configuration, dispatch, drain, outcomes

SHOWN_SUBMISSIONS: Final = 200
_LISTED_LEAVING: Final = "the platform's list says it is leaving"


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


class SlotLine(msgspec.Struct, frozen=True, kw_only=True):
    """Slots of one upstream that this instance may fill.

    Attributes:
        upstream: Name of the upstream.
        held: Slots it may fill.
        running: Tasks that run there.
    """

    upstream: str
    held: int
    running: int


class UpstreamLine(msgspec.Struct, frozen=True, kw_only=True):
    """One upstream as this instance sees it.

    Attributes:
        name: Its name.
        availability_zone: Its zone.
        pool: Its pool.
        address: Where it takes tasks.
        slots: Tasks it runs at once.
        running: Tasks of this instance that run there.
        state: Whether it gets new work from here.
        reason: Why it gets none, empty if it does.
    """

    name: str
    availability_zone: str
    pool: str
    address: str
    slots: int
    running: int
    state: str
    reason: str


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
    book: outcomes.OutcomeBook, owner: identity.Incarnation
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


def describe_slots(dispatcher: dispatch.Dispatcher) -> tuple[SlotLine, ...]:
    """Return the slots that this instance may fill."""
    return tuple(
        SlotLine(
            upstream=use.upstream.name, held=use.share, running=use.running
        )
        for use in dispatcher.uses.values()
    )


def describe_upstreams(
    uses: Iterable[dispatch.UpstreamUse],
) -> tuple[UpstreamLine, ...]:
    """Return the upstreams as this instance sees them."""
    return tuple(
        UpstreamLine(
            name=use.upstream.name,
            availability_zone=use.upstream.availability_zone,
            pool=use.upstream.pool,
            address=use.upstream.address,
            slots=use.upstream.slots,
            running=use.running,
            state='leaving' if use.upstream.leaving else 'serving',
            reason=_LISTED_LEAVING if use.upstream.leaving else '',
        )
        for use in uses
    )
