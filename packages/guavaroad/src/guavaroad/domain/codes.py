"""Numeric result codes, one of which is part of every answer.

The first digit is the family: 1 success, 2 refused and not run, 3 failed,
4 outcome unknown, 5 configuration, 9 internal.  `docs/CODES.md` lists them.
"""

import dataclasses
import enum
import types
from typing import Final


class Ran(enum.Enum):
    """Whether any task of the submission may have started."""

    NO = 'no'
    YES = 'yes'
    MAYBE = 'maybe'


class ResultCode(enum.IntEnum):
    """Result code of an answer; the numbers never change between releases."""

    COMPLETE = 1000
    ACCEPTED = 1001
    PENDING = 1002
    IDS_MINTED = 1003
    CANCEL_TAKEN = 1004

    BAD_REQUEST = 2001
    BODY_TOO_LARGE = 2002
    TOO_MANY_TASKS = 2003
    UNKNOWN_JOB = 2004
    UNAUTHENTICATED = 2005
    FORBIDDEN = 2006
    BAD_SUBMISSION_ID = 2007
    OVERLOADED = 2008
    DEADLINE_PASSED = 2009
    CANCELLED = 2010
    DRAINING = 2011
    OVER_QUOTA = 2012
    NO_CONFIGURATION = 2013
    PLATFORM_AWAY = 2014
    JOB_SUSPENDED = 2015
    ID_REUSED = 2016
    CONFIGURATION_IN_DOUBT = 2017
    NOT_FOUND = 2018
    METHOD_NOT_ALLOWED = 2019
    REQUEST_TIMEOUT = 2020
    TOO_MANY_CONNECTIONS = 2021
    ISOLATED = 2030

    TASK_FAILED = 3001
    TASK_LOST = 3002
    DEADLINE_DURING_RUN = 3003
    CANCELLED_DURING_RUN = 3004

    OWNER_UNREACHABLE = 4001
    OWNER_GONE = 4002
    ID_EXPIRED = 4003
    NOT_HANDED_OVER = 4004
    IN_DOUBT = 4005
    END_NOT_RECORDED = 4006
    KEY_NOT_CHECKED = 4007

    CONFIGURATION = 5000
    PATCH_ACCEPTED = 5001
    PATCH_STALE = 5002
    PATCH_INVALID = 5003
    PATCH_UNCONFIRMED = 5004
    PATCH_UNKNOWN = 5005
    PATCH_BUSY = 5006

    INTERNAL = 9000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CodeInfo:
    """Description of a result code.

    Attributes:
        http_status: HTTP status of the answers with this code.
        ran: Whether any task may have started, as far as the code alone shows.
        meaning: Explanation for the caller, one sentence.
        action: What the caller or operator should do next.
    """

    http_status: int
    ran: Ran
    meaning: str
    action: str


def _not_run(http_status: int, meaning: str, action: str) -> CodeInfo:
    return CodeInfo(
        http_status=http_status, ran=Ran.NO, meaning=meaning, action=action
    )


def _maybe_run(http_status: int, meaning: str, action: str) -> CodeInfo:
    return CodeInfo(
        http_status=http_status, ran=Ran.MAYBE, meaning=meaning, action=action
    )


def _has_run(http_status: int, meaning: str, action: str) -> CodeInfo:
    return CodeInfo(
        http_status=http_status, ran=Ran.YES, meaning=meaning, action=action
    )


_RESUBMIT: Final = 'Submit again; a fresh submission is safe.'
_SAME_ID: Final = 'Ask again with the same submission id.'
_FIX_REQUEST: Final = 'Correct the request and submit again.'

CODE_INFO: Final = types.MappingProxyType(
    {
        ResultCode.COMPLETE: _has_run(
            200, 'Every task succeeded; the answer is whole.', 'None.'
        ),
        ResultCode.ACCEPTED: _maybe_run(
            202, 'The submission is recorded.', 'Look it up by its id.'
        ),
        ResultCode.PENDING: _maybe_run(
            200, 'The submission has not ended.', _SAME_ID
        ),
        ResultCode.IDS_MINTED: _not_run(
            200, 'Fresh submission ids.', 'Send one as Idempotency-Key.'
        ),
        ResultCode.CANCEL_TAKEN: _maybe_run(
            202, 'Tasks not started are dropped.', 'Look the submission up.'
        ),
        ResultCode.BAD_REQUEST: _not_run(
            400, 'The request is not well formed.', _FIX_REQUEST
        ),
        ResultCode.BODY_TOO_LARGE: _not_run(
            413, 'The body is over the size limit.', 'Split the job.'
        ),
        ResultCode.TOO_MANY_TASKS: _not_run(
            413, 'The job has more tasks than allowed.', 'Split the job.'
        ),
        ResultCode.UNKNOWN_JOB: _not_run(
            404, 'The configuration has no such job.', 'Check the job name.'
        ),
        ResultCode.UNAUTHENTICATED: _not_run(
            401, 'The bearer token is missing or unknown.', 'Check the token.'
        ),
        ResultCode.FORBIDDEN: _not_run(
            403, 'The token may not do this.', 'Use a token of the right team.'
        ),
        ResultCode.BAD_SUBMISSION_ID: _not_run(
            400, 'The submission id was not minted for this.', 'Get a fresh id.'
        ),
        ResultCode.OVERLOADED: _not_run(
            503, 'The queue is full or the wait too long.', _RESUBMIT
        ),
        ResultCode.DEADLINE_PASSED: _not_run(
            504, 'The deadline passed before any start.', _RESUBMIT
        ),
        ResultCode.CANCELLED: _not_run(
            409, 'The submission was cancelled before any start.', 'None.'
        ),
        ResultCode.DRAINING: _not_run(
            503, 'The instance is stopping.', 'Submit to another instance.'
        ),
        ResultCode.OVER_QUOTA: _not_run(
            429, 'The team is over its quota.', 'Wait for Retry-After.'
        ),
        ResultCode.NO_CONFIGURATION: _not_run(
            503, 'The instance knows no configuration yet.', _RESUBMIT
        ),
        ResultCode.PLATFORM_AWAY: _not_run(
            503, 'The platform is away and the request needs it.', _RESUBMIT
        ),
        ResultCode.JOB_SUSPENDED: _not_run(
            503, 'The job fails on every upstream.', 'Correct the job.'
        ),
        ResultCode.ID_REUSED: _not_run(
            409, 'The id was used for a different body.', 'Use a fresh id.'
        ),
        ResultCode.CONFIGURATION_IN_DOUBT: _not_run(
            503, 'A patch may have changed this job.', _RESUBMIT
        ),
        ResultCode.NOT_FOUND: _not_run(
            404, 'There is no such page.', _FIX_REQUEST
        ),
        ResultCode.METHOD_NOT_ALLOWED: _not_run(
            405, 'The page does not take this method.', _FIX_REQUEST
        ),
        ResultCode.REQUEST_TIMEOUT: _not_run(
            408, 'The request did not arrive whole in time.', _RESUBMIT
        ),
        ResultCode.TOO_MANY_CONNECTIONS: _not_run(
            503, 'The instance has too many connections.', _RESUBMIT
        ),
        ResultCode.ISOLATED: _not_run(
            503,
            'The instance reaches neither the platform nor its zone.',
            'Submit to another instance.',
        ),
        ResultCode.TASK_FAILED: _has_run(
            502, 'A task ran and failed.', 'See the tasks of the answer.'
        ),
        ResultCode.TASK_LOST: _maybe_run(
            502, 'A task may have run; its answer is lost.', 'See the tasks.'
        ),
        ResultCode.DEADLINE_DURING_RUN: _maybe_run(
            504, 'The deadline passed while tasks ran.', 'See the tasks.'
        ),
        ResultCode.CANCELLED_DURING_RUN: _maybe_run(
            409,
            'The submission was cancelled while tasks ran.',
            'See the tasks.',
        ),
        ResultCode.OWNER_UNREACHABLE: _maybe_run(
            503, 'The owner of the submission does not answer.', _SAME_ID
        ),
        ResultCode.OWNER_GONE: _maybe_run(
            410, 'The owner is gone and left no answer.', 'Treat as unknown.'
        ),
        ResultCode.ID_EXPIRED: _maybe_run(
            410, 'The outcome is no longer kept.', 'Treat as unknown.'
        ),
        ResultCode.NOT_HANDED_OVER: _maybe_run(
            503,
            'The request was not handed to the owner of the id.',
            'A client that never sent this id before may use a fresh one.',
        ),
        ResultCode.IN_DOUBT: _maybe_run(
            503, 'The owner may have started it; nobody else will.', _SAME_ID
        ),
        ResultCode.END_NOT_RECORDED: _maybe_run(
            503, 'Its end is not in the table yet.', _SAME_ID
        ),
        ResultCode.KEY_NOT_CHECKED: _maybe_run(
            503,
            'The platform is away; this request started nothing.',
            'A client that never sent this key before may send it again.',
        ),
        ResultCode.CONFIGURATION: _not_run(
            200, 'The configuration in force.', 'None.'
        ),
        ResultCode.PATCH_ACCEPTED: _not_run(
            200, 'The patch is committed.', 'None.'
        ),
        ResultCode.PATCH_STALE: _not_run(
            412,
            'The patch names an older version.',
            'Read, merge, patch again.',
        ),
        ResultCode.PATCH_INVALID: _not_run(
            422,
            'The patched document is not valid.',
            'Correct the named field.',
        ),
        ResultCode.PATCH_UNCONFIRMED: _not_run(
            503, 'An instance did not confirm the patch.', 'See which one.'
        ),
        ResultCode.PATCH_UNKNOWN: _maybe_run(
            503, 'The outcome of the patch is not known yet.', 'Send it again.'
        ),
        ResultCode.PATCH_BUSY: _not_run(
            409, 'Another patch is in progress.', 'Patch again shortly.'
        ),
        ResultCode.INTERNAL: _maybe_run(
            500, 'The instance met an internal error.', 'Report the log line.'
        ),
    }
)


def info_of(code: ResultCode) -> CodeInfo:
    """Return the description of a result code."""
    return CODE_INFO[code]
