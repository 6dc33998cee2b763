"""YAML reader that rejects duplicate keys.

A settings file holds secrets, so no error message quotes text of the file
other than a duplicate key.
"""

import dataclasses
import pathlib
import re
from typing import Any, Final

import yaml

_QUOTED: Final = re.compile(r'([\'"]).*?\1')
_HIDDEN: Final = "'...'"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Unreadable:
    """The file can't be read as YAML.

    Attributes:
        reason: What is wrong and where, without quoted text of the file.
    """

    reason: str


class StrictLoader(yaml.SafeLoader):
    """Safe loader that rejects duplicate keys."""

    def construct_mapping(
        self, node: yaml.MappingNode, deep: bool = False
    ) -> dict[Any, Any]:
        """Return the mapping of a node.

        Args:
            node: Parsed mapping.
            deep: Whether to construct nested values at once.

        Returns:
            The mapping.

        Raises:
            ConstructorError: If a key occurs twice.
        """
        seen: set[str] = set()
        for key, _ in node.value:
            if key.value in seen:
                raise yaml.constructor.ConstructorError(
                    problem=f'duplicate key {key.value}',
                    problem_mark=key.start_mark,
                )
            seen.add(key.value)
        return super().construct_mapping(node, deep=deep)


def read_file(path: pathlib.Path) -> Any:
    """Read a YAML file.

    Args:
        path: File to read.

    Returns:
        The decoded value, or `Unreadable`.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except OSError as error:
        return Unreadable(reason=f'{error.strerror}')
    except UnicodeDecodeError as decode_error:
        return Unreadable(reason=f'not UTF-8 at byte {decode_error.start}')
    return decode(text)


def decode(text: str) -> Any:
    """Decode YAML.

    Args:
        text: One YAML document.

    Returns:
        The decoded value, or `Unreadable`.
    """
    try:
        # StrictLoader extends SafeLoader.
        return yaml.load(text, Loader=StrictLoader)
    except yaml.MarkedYAMLError as error:
        return Unreadable(reason=_describe(error))
    except (yaml.YAMLError, ValueError, TypeError):
        return Unreadable(reason='not YAML')


def _describe(error: yaml.MarkedYAMLError) -> str:
    problem = _QUOTED.sub(_HIDDEN, error.problem or 'not YAML')
    mark = error.problem_mark
    if mark is None:
        return problem
    line = mark.line + 1
    column = mark.column + 1
    return f'line {line}, column {column}: {problem}'
