"""Writes answers to clients."""

from typing import Final

from twisted.web import http, server

from guavaroad.services import (
    answers,
)

_CONTENT_TYPE: Final = 'application/json'


def send(answer: answers.Answer, request: server.Request) -> None:
    """Write the answer unless the client has gone."""
    if request.channel is None:
        return
    request.setResponseCode(answer.status)
    for name, text in headers_of(answer):
        request.setHeader(name, text)
    request.write(answer.body)
    request.finish()


def raw(answer: answers.Answer) -> bytes:
    """Return the answer as bytes that end the use of the connection.

    Args:
        answer: The answer to a request that was not read whole.

    Returns:
        Status line, headers and body.
    """
    reason = http.RESPONSES[answer.status].decode()
    lines = [f'HTTP/1.1 {answer.status} {reason}', 'Connection: close']
    lines += [f'{name}: {text}' for name, text in headers_of(answer)]
    head = '\r\n'.join((*lines, '', ''))
    return head.encode('ascii') + answer.body


def headers_of(answer: answers.Answer) -> list[tuple[str, str]]:
    """Return the headers of an answer."""
    found = [
        ('Content-Type', _CONTENT_TYPE),
        ('Content-Length', str(len(answer.body))),
    ]
    if answer.retry_after_s:
        whole_s = max(1, round(answer.retry_after_s))
        found.append(('Retry-After', str(whole_s)))
    return found
