"""Configuration state of one instance, and the jobs it may admit."""

import dataclasses
import enum
from typing import Final

from guavaroad.domain import names
from guavaroad.domain.configuration import document, record, timing

NO_ROW_VERSION: Final = -1


class Verdict(enum.Enum):
    """Whether new work of a job may be admitted."""

    SERVE = 'serve'
    NO_CONFIGURATION = 'no_configuration'
    UNCONFIRMED = 'in_doubt'
    BEHIND = 'behind'
    ISOLATED = 'isolated'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LastHeadRow:
    """Decoded head row.

    Attributes:
        row_version: Version of the row.
        body: Body of the row.
        in_force: Validated document in force.
        digest: Hash of the document in force.
        proposed: Validated document of the open proposal; None if there is
            no proposal or its document is invalid.
    """

    row_version: int
    body: record.Record
    in_force: document.Document
    digest: str
    proposed: document.Document | None = None


class Follower:
    """Tracks the newest head row, whichever source it comes from.

    All times are monotonic and in seconds.

    Attributes:
        last_head_row: Newest head row; None before the first one.
        last_confirmed_s: When the newest row was last confirmed as current.
        last_contact_s: When the platform or a zone peer last answered.
        newest_version: Highest row version reported by any source.
        behind_since_s: Since when a version above that of `last_head_row` has
            been reported.
        has_zone_peers: Whether the zone had other instances in the last view.
    """

    def __init__(self, *, now_s: float) -> None:
        self.last_head_row: LastHeadRow | None = None
        self.last_confirmed_s = now_s
        self.last_contact_s = now_s
        self.newest_version = NO_ROW_VERSION
        self.behind_since_s = now_s
        self.has_zone_peers = False

    def row_version(self) -> int:
        """Return the version of the newest row, or -1 if there is none."""
        return (
            self.last_head_row.row_version
            if self.last_head_row
            else NO_ROW_VERSION
        )

    def apply_row(
        self, row_version: int, body: record.Record, now_s: float
    ) -> bool:
        """Apply a head row, unless it is older than the present one.

        Args:
            row_version: Version of the row.
            body: Body of the row.
            now_s: Current monotonic time in seconds.

        Returns:
            Whether the row is valid and newer than the present one.
        """
        self.observe_version(row_version, now_s)
        if row_version < self.row_version():
            return False
        if row_version == self.row_version():
            self.last_confirmed_s = now_s
            return False
        result = document.check_document(body.document)
        match result:
            case document.Invalid():
                return False
        self.last_head_row = LastHeadRow(
            row_version=row_version,
            body=body,
            in_force=result,
            digest=record.digest_of(body.document),
            proposed=validate_proposal(body),
        )
        self.last_confirmed_s = now_s
        self.behind_since_s = now_s
        return True

    def observe_version(self, row_version: int, now_s: float) -> bool:
        """Record a row version reported by another instance or the platform.

        Args:
            row_version: Reported version.
            now_s: Current monotonic time in seconds.

        Returns:
            Whether it is newer than the present row.
        """
        if self.newest_version <= self.row_version():
            self.behind_since_s = now_s
        self.newest_version = max(self.newest_version, row_version)
        return row_version > self.row_version()

    def verdict(self, job: names.JobName, now_s: float) -> Verdict:
        """Return whether new work of a job may be admitted now."""
        head_row = self.last_head_row
        if head_row is None:
            return Verdict.NO_CONFIGURATION
        if self.is_isolated(now_s):
            return Verdict.ISOLATED
        if self.is_behind(now_s):
            return Verdict.BEHIND
        if self.is_unconfirmed(now_s) and not has_same_settings(head_row, job):
            return Verdict.UNCONFIRMED
        return Verdict.SERVE

    def is_unconfirmed(self, now_s: float) -> bool:
        """Return whether the open proposal may have been decided since."""
        if (
            self.last_head_row is None
            or self.last_head_row.body.proposal is None
        ):
            return False
        return now_s - self.last_confirmed_s > timing.UNCONFIRMED_TIMEOUT_S

    def is_behind(self, now_s: float) -> bool:
        """Return whether a newer row has been missing for too long."""
        if self.newest_version <= self.row_version():
            return False
        return now_s - self.behind_since_s > timing.BEHIND_TIMEOUT_S

    def is_isolated(self, now_s: float) -> bool:
        """Return whether neither platform nor zone peers are reachable."""
        since_contact_s = now_s - self.last_contact_s
        return self.has_zone_peers and since_contact_s > timing.LEASE_S


def validate_proposal(body: record.Record) -> document.Document | None:
    """Return the document of the open proposal, or None if it is invalid."""
    if body.proposal is None:
        return None
    result = document.check_document(body.proposed_document())
    match result:
        case document.Document():
            return result
    return None


def has_same_settings(head_row: LastHeadRow, job: names.JobName) -> bool:
    """Return whether a proposal leaves the settings of a job unchanged.

    Args:
        head_row: Row with an open proposal.
        job: Name of the job.

    Returns:
        Whether all settings that affect the job are the same in both
        documents.
    """
    if head_row.proposed is None:
        return False
    current = head_row.in_force.job_settings(job)
    return bool(current == head_row.proposed.job_settings(job))
