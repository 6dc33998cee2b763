"""Decodes HTTP responses of instances."""

import dataclasses
from http import HTTPStatus
from typing import Any

import msgspec

from guavaroad.domain import codes
from guavaroad.services import answers
from guavaroadctl import exit_codes, failover_client, reports


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DecodedAnswer:
    """A decoded response body with a result code.

    Attributes:
        answer: The decoded body.
        raw: The body as builtin types, for printing as JSON.
    """

    answer: answers.AnswerBody
    raw: Any

    def exit_code(self) -> exit_codes.ExitCode:
        """Return the exit code for the result code."""
        return exit_codes.from_result_code(self.answer.code)

    def is_final(self) -> bool:
        """Return whether it is other than accepted or pending."""
        return self.answer.code not in {
            codes.ResultCode.ACCEPTED,
            codes.ResultCode.PENDING,
        }

    def extra(self, name: str) -> Any:
        """Return a value of `extra`, or None if it is missing."""
        extra = self.answer.extra
        return extra.get(name) if isinstance(extra, dict) else None


def decode(
    response: failover_client.Response | failover_client.Unanswered,
) -> DecodedAnswer | reports.Problem:
    """Decode a response with a result code.

    Args:
        response: Response to a request, or the lack of one.

    Returns:
        The decoded answer, or the reason for the failure.
    """
    match response:
        case failover_client.Unanswered():
            return response.problem()
    text = response.reply.body
    try:
        answer = msgspec.json.decode(text, type=answers.AnswerBody)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return unrecognized_response(response)
    return DecodedAnswer(answer=answer, raw=msgspec.json.decode(text))


def decode_page(
    response: failover_client.Response | failover_client.Unanswered,
) -> Any:
    """Decode a response without a result code, such as the state dump.

    Args:
        response: Response to a request, or the lack of one.

    Returns:
        The decoded page, the `DecodedAnswer` of a refusal, or a `Problem`.
    """
    match response:
        case failover_client.Response() if (
            response.reply.status == HTTPStatus.OK
        ):
            try:
                return msgspec.json.decode(response.reply.body)
            except (msgspec.DecodeError, UnicodeDecodeError):
                return unrecognized_response(response)
    return decode(response)


def unrecognized_response(
    response: failover_client.Response,
) -> reports.Problem:
    """Return the problem of a response that is not from an instance."""
    address = response.endpoint.address
    status = response.reply.status
    return reports.Problem(
        exit_code=exit_codes.ExitCode.UNKNOWN,
        message=f'{address}: HTTP {status}, not an answer of guavaroad',
    )
