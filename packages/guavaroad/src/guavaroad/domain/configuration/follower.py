"""What one instance knows of the configuration, and what it may serve."""

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
    """The newest head row that this instance has seen.

    Attributes:
        row_version: Version of the row.
        body: The row itself.
        in_force: The document in force, checked.
        digest: Hash of the document in force.
        proposed: The document of the open proposal, checked.
    """

    row_version: int
    body: record.Record
    in_force: document.Document
    digest: str
    proposed: document.Document | None = None


class Follower:
    """Takes head rows from anywhere; an older one never replaces a newer.

    Attributes:
        last_head_row: The newest head row.
        last_confirmed_s: When the newest row was last known to be current.
        last_contact_s: When the platform or a zone peer was last heard.
        newest_heard: Highest row version that anybody spoke of.
        behind_since_s: Since when a higher one than the known is spoken of.
        has_zone_peers: Whether the zone had other instances in the last view.
    """

    def __init__(self, *, now_s: float) -> None:
        self.last_head_row: LastHeadRow | None = None
        self.last_confirmed_s = now_s
        self.last_contact_s = now_s
        self.newest_heard = NO_ROW_VERSION
        self.behind_since_s = now_s
        self.has_zone_peers = False

    def row_version(self) -> int:
        """Return the version of the known row, -1 if none is known."""
        return (
            self.last_head_row.row_version
            if self.last_head_row
            else NO_ROW_VERSION
        )

    def apply_row(
        self, row_version: int, body: record.Record, now_s: float
    ) -> bool:
        """Take a head row.

        Args:
            row_version: Its version.
            body: Its body.
            now_s: Present time, seconds.

        Returns:
            Whether it is newer than what was known.
        """
        self.observe_version(row_version, now_s)
        if row_version < self.row_version():
            return False
        if row_version == self.row_version():
            self.last_confirmed_s = now_s
            return False
        checked = document.check_document(body.document)
        match checked:
            case document.Invalid():
                return False
        self.last_head_row = LastHeadRow(
            row_version=row_version,
            body=body,
            in_force=checked,
            digest=record.digest_of(body.document),
            proposed=checked_proposal(body),
        )
        self.last_confirmed_s = now_s
        self.behind_since_s = now_s
        return True

    def observe_version(self, row_version: int, now_s: float) -> bool:
        """Take note of a row version that somebody has.

        Args:
            row_version: The version.
            now_s: Present time, seconds.

        Returns:
            Whether it is newer than the known row.
        """
        if self.newest_heard <= self.row_version():
            self.behind_since_s = now_s
        self.newest_heard = max(self.newest_heard, row_version)
        return row_version > self.row_version()

    def verdict(self, job: names.JobName, now_s: float) -> Verdict:
        """Return whether new work of a job may be admitted now."""
        known = self.last_head_row
        if known is None:
            return Verdict.NO_CONFIGURATION
        if self.is_isolated(now_s):
            return Verdict.ISOLATED
        if self.is_behind(now_s):
            return Verdict.BEHIND
        if self.is_unconfirmed(now_s) and not treated_alike(known, job):
            return Verdict.UNCONFIRMED
        return Verdict.SERVE

    def is_unconfirmed(self, now_s: float) -> bool:
        """Return whether an open proposal may have been decided unheard."""
        if (
            self.last_head_row is None
            or self.last_head_row.body.proposal is None
        ):
            return False
        return now_s - self.last_confirmed_s > timing.DOUBT_S

    def is_behind(self, now_s: float) -> bool:
        """Return whether a newer row has been spoken of for too long."""
        if self.newest_heard <= self.row_version():
            return False
        return now_s - self.behind_since_s > timing.BEHIND_S

    def is_isolated(self, now_s: float) -> bool:
        """Return whether neither platform nor zone peers are heard."""
        silence_s = now_s - self.last_contact_s
        return self.has_zone_peers and silence_s > timing.LEASE_S


def checked_proposal(body: record.Record) -> document.Document | None:
    """Return the document of the open proposal, if it is valid."""
    if body.proposal is None:
        return None
    checked = document.check_document(body.proposed_document())
    match checked:
        case document.Document():
            return checked
    return None


def treated_alike(known: LastHeadRow, job: names.JobName) -> bool:
    """Return whether both versions treat a job alike.

    Args:
        known: Known row with an open proposal.
        job: Name of the job.

    Returns:
        Whether its entry, its teams and the classes are the same in both.
    """
    if known.proposed is None:
        return False
    before = known.in_force.facts_of_job(job)
    return bool(before == known.proposed.facts_of_job(job))
