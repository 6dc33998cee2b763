"""Writes the table of settings in docs/OPERATIONS.md, or checks it.

Run as `python tools/settings_table.py`, or with `--check`.
"""

import enum
import inspect
import pathlib
import re
import sys
from collections.abc import Iterator
from typing import Any, Final, get_args

import pydantic

from guavaroad import settings

ROOT: Final = pathlib.Path(__file__).resolve().parent.parent
PAGE: Final = ROOT / 'docs/OPERATIONS.md'
BEGIN: Final = '<!-- settings: written by make pages -->\n'
END: Final = '<!-- end of settings -->\n'
ATTRIBUTE: Final = re.compile(r'^ {4}(\w+): (.+(?:\n {8}.+)*)', re.MULTILINE)
HEAD: Final = '| Field | Default | Meaning |\n| --- | --- | --- |\n'

Model = type[pydantic.BaseModel]


def table() -> str:
    """Return the whole table."""
    return HEAD + ''.join(rows(settings.Settings, ''))


def rows(model: Model, prefix: str) -> Iterator[str]:
    """Return one row for each field below a model."""
    meanings = meanings_of(model)
    for name, field in model.model_fields.items():
        section, repeated = section_of(field.annotation)
        path = f'{prefix}{name}'
        if section is None:
            yield f'| `{path}` | {default_of(field)} | {meanings[name]} |\n'
        else:
            yield from rows(section, f'{path}[].' if repeated else f'{path}.')


def meanings_of(model: Model) -> dict[str, str]:
    """Return the meaning of each field from the docstring of a model."""
    attributes = ATTRIBUTE.findall(inspect.cleandoc(model.__doc__ or ''))
    return {name: ' '.join(text.split()) for name, text in attributes}


def section_of(annotation: Any) -> tuple[Model | None, bool]:
    """Return the model in an annotation, and whether it is repeated."""
    if isinstance(annotation, type):
        is_section = issubclass(annotation, pydantic.BaseModel)
        return (annotation if is_section else None), False
    for inner in get_args(annotation):
        section, _ = section_of(inner)
        if section is not None:
            return section, Ellipsis in get_args(annotation)
    return None, False


def default_of(field: Any) -> str:
    """Return the default of a field as the page shows it."""
    if field.is_required():
        return 'required'
    match field.default:
        case None | ():
            return 'none'
        case bool():
            return str(field.default).lower()
        case enum.Enum():
            return str(field.default.value)
    return str(field.default)


def update_table(text: str) -> str:
    """Return the text of the page with an up-to-date table."""
    before, _, rest = text.partition(BEGIN)
    _, _, after = rest.partition(END)
    return f'{before}{BEGIN}\n{table()}\n{END}{after}'


def main() -> None:
    """Write the table, or exit with 1 if it is out of date."""
    text = PAGE.read_text()
    updated = update_table(text)
    if '--check' not in sys.argv:
        PAGE.write_text(updated)
    elif text != updated:
        sys.exit('docs/OPERATIONS.md is out of date: run make pages')


if __name__ == '__main__':
    main()
