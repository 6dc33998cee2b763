"""When an owner may say how a submission ended."""

import enum

from guavaroad.domain.submissions import holds, records, writer


class Saying(enum.Enum):
    """What the owner does with the end of a submission.

    `NOW`: nobody else can own it, so it is said at once and recorded behind.
    `AFTER_ROW`: another instance may come to own it; the end is said once
    the row has it, and is unknown until then.  `RELAY`: another instance
    owns it, and its answer is the answer.
    """

    NOW = 'now'
    AFTER_ROW = 'after row'
    RELAY = 'relay'


def record_end(
    group: writer.GroupWriter,
    prefix: str,
    record: records.Record,
    hold: holds.Hold,
) -> Saying:
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
        return Saying.RELAY
    saying = Saying.NOW if hold.release() else Saying.AFTER_ROW
    recorded = group.finish(
        record.submission_id, record.outcome, record.object_key
    )
    if not recorded:
        group.put(prefix, record, hold=hold)
    return saying
