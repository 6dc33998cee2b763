"""Shows an answer as lines of text."""

import msgspec

from guavaroad.domain import codes
from guavaroad.services import answers
from guavaroadctl import exit_codes, replies, reports, tables


def report(body: replies.Body) -> reports.Report:
    """Return the report of an answer."""
    return reports.Report(
        exit_code=body.exit_code(), document=body.raw, lines=lines(body.answer)
    )


def lines(answer: answers.AnswerBody) -> tuple[str, ...]:
    """Return an answer as text: its code, its facts, then its tasks."""
    return (
        headline(answer),
        *_facts(answer),
        *_task_answers(answer),
        *_task_table(answer),
    )


def headline(answer: answers.AnswerBody) -> str:
    """Return the code, its name and the reason."""
    said = f'{answer.code} {answer.name}'
    detail = answer.detail or _meaning(answer.code)
    return f'{said}: {detail}' if detail else said


def progress(extra: object) -> str:
    """Return the plain values of an extra part in one line."""
    if not isinstance(extra, dict):
        return ''
    plain = (
        f'{name}: {entry}'
        for name, entry in extra.items()
        if isinstance(entry, str | int | float)
    )
    return ', '.join(plain)


def _facts(answer: answers.AnswerBody) -> list[str]:
    facts = _ran(answer)
    if answer.submission_id:
        facts.append(f'submission: {answer.submission_id}')
    told = progress(answer.extra)
    if told:
        facts.append(told)
    if answer.retry_after_s:
        wait_s = round(answer.retry_after_s, 1)
        facts.append(f'retry after: {wait_s} s')
    action = _action(answer.code)
    if action:
        facts.append(f'next: {action}')
    return facts


def _ran(answer: answers.AnswerBody) -> list[str]:
    if exit_codes.is_of_configuration(answer.code):
        return []
    ran = answer.ran.value
    return [f'ran: {ran}']


def _task_answers(answer: answers.AnswerBody) -> list[str]:
    return [
        msgspec.json.format(bytes(one), indent=-1).decode()
        for one in answer.answers or ()
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
    facts = _known(number)
    return facts.meaning if facts else ''


def _action(number: int) -> str:
    facts = _known(number)
    if facts is None or facts.action == 'None.':
        return ''
    return facts.action


def _known(number: int) -> codes.CodeInfo | None:
    try:
        return codes.info_of(codes.ResultCode(number))
    except ValueError:
        return None
