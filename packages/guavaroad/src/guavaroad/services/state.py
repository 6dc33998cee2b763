"""The dump of a process's state, composed of what its parts describe."""

from collections.abc import Callable
from typing import Any, Final

from guavaroad.ports import logs

Describe = Callable[[], Any]
_LOG: Final = logs.logger_of('state')


class StateDump:
    """Sections by name, each described by its part.

    Attributes:
        sections: What describes each section.
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
        """Return every section; one that can't be described says so."""
        return {
            section: self.described(section, describe)
            for section, describe in self.sections.items()
        }

    def described(self, section: str, describe: Describe) -> Any:
        """Return one section; the others are shown even if it fails."""
        try:
            return describe()
        except Exception as broken:  # noqa: BLE001
            _LOG.opt(exception=broken).error('no section {}', section)
            return {'error': 'this section could not be described; see the log'}
