"""The state dump of a process, composed of sections."""

from collections.abc import Callable
from typing import Any, Final

from guavaroad.ports import logs

Describe = Callable[[], Any]
_LOG: Final = logs.logger_of('state')


class StateDump:
    """The sections of the dump, each described by its component.

    Attributes:
        sections: Function that returns the content, by section.
    """

    def __init__(self) -> None:
        self.sections: dict[str, Describe] = {}

    def add(self, section: str, describe: Describe) -> None:
        """Add a section, or replace it.

        Args:
            section: Name of the section.
            describe: Returns a typed struct, bounded and without secrets.
        """
        self.sections[section] = describe

    def dump(self) -> dict[str, Any]:
        """Return every section; a failed one contains an error."""
        return {
            section: self.describe_section(section, describe)
            for section, describe in self.sections.items()
        }

    def describe_section(self, section: str, describe: Describe) -> Any:
        """Return one section; a failure does not affect the others."""
        try:
            return describe()
        except Exception as error:  # noqa: BLE001
            _LOG.opt(exception=error).error(
                'section {} of the state dump failed', section
            )
            return {'error': 'this section could not be described; see the log'}
