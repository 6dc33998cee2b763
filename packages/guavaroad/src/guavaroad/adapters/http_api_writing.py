"""Writes answers as HTTP responses."""

from typing import Final

from twisted.web import http, server

from guavaroad.services import (
    answers,
)

_CONTENT_TYPE: Final = 'application/json'


def send(answer: answers.Answer, request: server.Request) -> None:
    """Write the answer unless the client has disconnected."""
    if request.channel is None:
        return
    request.setResponseCode(answer.status)
    for name, text in headers_of(answer):
        request.setHeader(name, text)
    request.write(answer.body)
    request.finish()


def encode_closing(answer: answers.Answer) -> bytes:
    """Return an answer as HTTP/1.1 bytes with `Connection: close`.

    Args:
        answer: Answer to a request that was not received in full.

    Returns:
        Status line, headers and body.
    """
    reason = http.RESPONSES[answer.status].decode()
    lines = [f'HTTP/1.1 {answer.status} {reason}', 'Connection: close']
    lines += [f'{name}: {text}' for name, text in headers_of(answer)]
    head = '\r\n'.join((*lines, '', ''))
    return head.encode('ascii') + answer.body


def headers_of(answer: answers.Answer) -> list[tuple[str, str]]:
    """Return the response headers of an answer."""
    headers = [
        ('Content-Type', _CONTENT_TYPE),
        ('Content-Length', str(len(answer.body))),
    ]
    if answer.retry_after_s:
        whole_s = max(1, round(answer.retry_after_s))
        headers.append(('Retry-After', str(whole_s)))
    return headers
