"""When an owner may report the end of a submission."""

import enum

from guavaroad.domain.submissions import holds, records, writer


class ReportTiming(enum.Enum):
    """When the owner may report the end of a submission to clients.

    `IMMEDIATE`: no other instance can own the submission, so the end is
    reported at once and recorded later.  `AFTER_COMMIT`: another instance may
    come to own it, so the end is reported once its row is committed, and the
    outcome is unknown until then.  `RELAY`: another instance owns it, and its
    answer is relayed.
    """

    IMMEDIATE = 'now'
    AFTER_COMMIT = 'after row'
    RELAY = 'relay'


def record_end(
    group: writer.GroupWriter,
    prefix: str,
    record: records.Record,
    hold: holds.Hold,
) -> ReportTiming:
    """Request the record of an end and decide when it may be reported.

    Args:
        group: Writer of this instance.
        prefix: Key prefix of the rows that may contain the submission.
        record: The end, in state `done`.
        hold: Hold of the submission.

    Returns:
        When the end may be reported.
    """
    if hold.state is holds.HoldState.MOVED:
        return ReportTiming.RELAY
    timing = (
        ReportTiming.IMMEDIATE if hold.release() else ReportTiming.AFTER_COMMIT
    )
    recorded = group.finish(
        record.submission_id, record.outcome, record.object_key
    )
    if not recorded:
        group.put(prefix, record, hold=hold)
    return timing
