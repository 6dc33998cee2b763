"""Loggers of the parts; `adapters/logs.py` decides where lines go."""

import loguru


def logger_of(part: str) -> 'loguru.Logger':
    """Return the logger of a part.

    Args:
        part: Prefix of each of its lines, such as `dispatch`.

    Returns:
        A logger.
    """
    return loguru.logger.bind(part=part)
