"""Calls of the store whose errors do not end the work that awaits them."""

from collections.abc import Coroutine
from typing import Any, Final, TypeVar

from guavaroad.ports import logs, platform

Result = TypeVar('Result')

_log: Final = logs.logger_of('store')


async def completed(
    call: Coroutine[Any, Any, Result | platform.Away],
) -> Result | platform.Away:
    """Return the result of a call; an unforeseen error counts as no answer.

    Args:
        call: The call. None of the store's methods is expected to raise.

    Returns:
        Its result, or a failure if it has raised an error, which is logged.
    """
    try:
        return await call
    except Exception as error:  # noqa: BLE001 - the next call may succeed
        _log.opt(exception=error).error('call of the store failed')
        return platform.Away(detail=repr(error))
