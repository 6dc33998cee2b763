"""Reads answers of an instance."""

import dataclasses
from http import HTTPStatus
from typing import Any

import msgspec

from guavaroad.domain import codes
from guavaroad.services import answers
from guavaroadctl import connection, exit_codes, reports


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Body:
    """An answer with the result code.

    Attributes:
        answer: The decoded body.
        raw: The same as plain values, for printing as JSON.
    """

    answer: answers.AnswerBody
    raw: Any

    def exit_code(self) -> exit_codes.ExitCode:
        """Return the exit code of its result code."""
        return exit_codes.of_result(self.answer.code)

    def ended(self) -> bool:
        """Return whether it tells more than that the job still runs."""
        return self.answer.code not in {
            codes.ResultCode.ACCEPTED,
            codes.ResultCode.PENDING,
        }

    def extra(self, name: str) -> Any:
        """Return a value of the extra part, none if it is missing."""
        extra = self.answer.extra
        return extra.get(name) if isinstance(extra, dict) else None


def read(
    answered: connection.Answered | connection.Unanswered,
) -> Body | reports.Problem:
    """Read an answer that carries a result code.

    Args:
        answered: What came of a request.

    Returns:
        The answer, or why there is none.
    """
    match answered:
        case connection.Unanswered():
            return answered.problem()
    text = answered.reply.body
    try:
        answer = msgspec.json.decode(text, type=answers.AnswerBody)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return foreign(answered)
    return Body(answer=answer, raw=msgspec.json.decode(text))


def read_page(
    answered: connection.Answered | connection.Unanswered,
) -> Any:
    """Read a page without a result code, such as the state dump.

    Args:
        answered: What came of a request.

    Returns:
        The decoded page, the `Body` of a refusal, or a `Problem`.
    """
    match answered:
        case connection.Answered() if answered.reply.status == HTTPStatus.OK:
            try:
                return msgspec.json.decode(answered.reply.body)
            except (msgspec.DecodeError, UnicodeDecodeError):
                return foreign(answered)
    return read(answered)


def foreign(answered: connection.Answered) -> reports.Problem:
    """Return that something other than an instance answered."""
    address = answered.endpoint.address
    status = answered.reply.status
    return reports.Problem(
        exit_code=exit_codes.ExitCode.UNKNOWN,
        message=f'{address}: HTTP {status}, not an answer of guavaroad',
    )
