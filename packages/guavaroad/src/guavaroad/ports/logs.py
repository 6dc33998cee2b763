"""Loggers of the components; `adapters/logs.py` configures the output."""

import loguru


def logger_of(part: str) -> 'loguru.Logger':
    """Return the logger of a component.

    Args:
        part: Prefix of each log line, such as `dispatch`.
    """
    return loguru.logger.bind(part=part)
