"""Which messages the links between instances can carry.

Answers a job whose declaration is larger than a frame: it is refused at its
submission, as the link would be closed on it, again after each new connection.
"""

from typing import Final

from guavaroad.domain.pool import open_jobs

# Largest frame, in bytes. All builds close a link on a larger one.
MAX_FRAME_BYTES: Final = 8_388_608
TOO_LARGE: Final = 'the job is too large'
# Upper bounds of the encoded sizes of a task without its texts, with the id of
# its worker, and of a number, in bytes.
_TASK_BYTES: Final = 512
_NUMBER_BYTES: Final = 9
# Most bytes of a character in UTF-8.
_CHARACTER_BYTES: Final = 4


def fits_frame(request: open_jobs.JobRequest) -> bool:
    """Return whether a frame can hold the declaration of a job."""
    numbers = sum(len(steps) + 1 for steps in request.after)
    total = sum(map(task_bytes, request.tasks), numbers * _NUMBER_BYTES)
    total += text_bytes(request.payload) + text_bytes(request.pool)
    return total + _TASK_BYTES <= MAX_FRAME_BYTES


def task_bytes(task: open_jobs.TaskRequest) -> int:
    """Return an upper bound of the encoded size of a task, in bytes."""
    texts = (task.name, task.constraint.label, task.constraint.rack)
    return sum(map(text_bytes, texts), _TASK_BYTES)


def text_bytes(text: str) -> int:
    """Return an upper bound of the size of an encoded text, in bytes.

    It doesn't encode the text, as all tasks of a step share one.
    """
    return len(text) if text.isascii() else _CHARACTER_BYTES * len(text)
