"""Renders decoded answers as lines of text."""

import msgspec

from guavaroad.domain import codes
from guavaroad.services import answers
from guavaroadctl import exit_codes, replies, reports, tables


def report(decoded: replies.DecodedAnswer) -> reports.Report:
    """Return a report with the answer as JSON and as text."""
    return reports.Report(
        exit_code=decoded.exit_code(),
        document=decoded.raw,
        lines=render(decoded.answer),
    )


def render(answer: answers.AnswerBody) -> tuple[str, ...]:
    """Return the lines for the result code, details and tasks."""
    return (
        headline(answer),
        *_details(answer),
        *_answer_lines(answer),
        *_task_table(answer),
    )


def headline(answer: answers.AnswerBody) -> str:
    """Return one line with the result code, its name and the reason."""
    code = f'{answer.code} {answer.name}'
    detail = answer.detail or _meaning(answer.code)
    return f'{code}: {detail}' if detail else code


def format_progress(extra: object) -> str:
    """Return the scalar values of `extra` in one line."""
    if not isinstance(extra, dict):
        return ''
    scalars = (
        f'{name}: {entry}'
        for name, entry in extra.items()
        if isinstance(entry, str | int | float)
    )
    return ', '.join(scalars)


def _details(answer: answers.AnswerBody) -> list[str]:
    details = _ran(answer)
    if answer.submission_id:
        details.append(f'submission: {answer.submission_id}')
    progress = format_progress(answer.extra)
    if progress:
        details.append(progress)
    if answer.retry_after_s:
        wait_s = round(answer.retry_after_s, 1)
        details.append(f'retry after: {wait_s} s')
    action = _action(answer.code)
    if action:
        details.append(f'next: {action}')
    return details


def _ran(answer: answers.AnswerBody) -> list[str]:
    if exit_codes.is_configuration_code(answer.code):
        return []
    ran = answer.ran.value
    return [f'ran: {ran}']


def _answer_lines(answer: answers.AnswerBody) -> list[str]:
    return [
        msgspec.json.format(bytes(task_answer), indent=-1).decode()
        for task_answer in answer.answers or ()
    ]


def _task_table(answer: answers.AnswerBody) -> tuple[str, ...]:
    if not answer.tasks:
        return ()
    return tables.render(
        ('TASK', 'STATE', 'RAN', 'DETAIL'),
        [
            (task.index, task.state.value, task.ran.value, task.detail)
            for task in answer.tasks
        ],
    )


def _meaning(number: int) -> str:
    code_info = _code_info(number)
    return code_info.meaning if code_info else ''


def _action(number: int) -> str:
    code_info = _code_info(number)
    if code_info is None or code_info.action == 'None.':
        return ''
    return code_info.action


def _code_info(number: int) -> codes.CodeInfo | None:
    try:
        return codes.info_of(codes.ResultCode(number))
    except ValueError:
        return None
