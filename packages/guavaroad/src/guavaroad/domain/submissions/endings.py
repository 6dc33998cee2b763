"""When an owner may say how a submission ended."""

import enum

from guavaroad.domain.submissions import holds, records, writer


class ReportTiming(enum.Enum):
    """What the owner does with the end of a submission.

    `IMMEDIATE`: nobody else can own it, so it is said at once and recorded
    behind.
    `AFTER_COMMIT`: another instance may come to own it; the end is said once
    the row has it, and is unknown until then.  `RELAY`: another instance
    owns it, and its answer is the answer.
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
    """Ask for the record of an end and decide when it may be said.

    Args:
        group: Writer of this instance.
        prefix: Key prefix of the rows that may hold the submission.
        record: The end, in state `done`.
        hold: Guard of the submission.

    Returns:
        When the end may be said.
    """
    if hold.state is holds.HoldState.MOVED:
        return ReportTiming.RELAY
    saying = (
        ReportTiming.IMMEDIATE if hold.release() else ReportTiming.AFTER_COMMIT
    )
    recorded = group.finish(
        record.submission_id, record.outcome, record.object_key
    )
    if not recorded:
        group.put(prefix, record, hold=hold)
    return saying
