"""Turns the errors of a settings check into sentences without secrets."""

import types
from collections.abc import Mapping
from typing import Any, Final, get_args

import pydantic

_SECRET_SECTIONS: Final = frozenset(('tokens',))
_SHOWN_CHARS: Final = 80
_ALLOWED: Final[Mapping[str, str]] = types.MappingProxyType(
    {
        'missing': 'is required',
        'tuple_type': 'must be a list',
        'too_short': 'must be at least {min_length} long',
        'string_type': 'must be text, in quotes if it looks like a number',
        'string_too_short': 'must have at least {min_length} characters',
        'string_pattern_mismatch': 'must match {pattern}',
        'int_type': 'must be a whole number',
        'int_from_float': 'must be a whole number',
        'float_type': 'must be a number',
        'bool_type': 'must be true or false',
        'greater_than': 'must be over {gt:.12g}',
        'greater_than_equal': 'must be at least {ge:.12g}',
        'less_than_equal': 'must be at most {le:.12g}',
        'literal_error': 'must be one of {expected}',
    }
)

Model = type[pydantic.BaseModel]


def sentences(root: Model, broken: pydantic.ValidationError) -> tuple[str, ...]:
    """Describe each problem with its path, what is allowed and the value.

    Args:
        root: Model that was checked.
        broken: What pydantic raised.

    Returns:
        One sentence a problem.
    """
    found = broken.errors(include_url=False)
    return tuple(_sentence(root, problem) for problem in found)


def _sentence(root: Model, problem: Any) -> str:
    location = problem['loc']
    path = '.'.join(map(str, location)) or 'the file'
    allowed = _allowed(root, problem)
    if problem['type'] in {'missing', 'extra_forbidden', 'value_error'}:
        return f'{path}: {allowed}'
    given = _shown(location, problem['input'])
    return f'{path}: {allowed}, not {given}'


def _allowed(root: Model, problem: Any) -> str:
    kind = problem['type']
    location = problem['loc']
    if kind == 'extra_forbidden':
        fields = _field_names(root, location[:-1])
        return f'is no field here; the fields are {fields}'
    if kind in {'model_type', 'model_attributes_type'}:
        fields = _field_names(root, location)
        return f'must be a section with the fields {fields}'
    wording = _ALLOWED.get(kind)
    if wording is None:
        return str(problem['msg']).removeprefix('Value error, ')
    return wording.format(**problem.get('ctx', {}))


def _shown(location: tuple[Any, ...], given: Any) -> str:
    if _SECRET_SECTIONS.intersection(location):
        return 'what is given (hidden)'
    if isinstance(given, dict | list):
        return 'a section or list'
    return 'null' if given is None else repr(given)[:_SHOWN_CHARS]


def _field_names(root: Model, location: tuple[Any, ...]) -> str:
    model = root
    for step in location:
        field = model.model_fields.get(step)
        if field is not None:
            model = _model_of(field.annotation) or model
    return ', '.join(model.model_fields)


def _model_of(annotation: Any) -> Model | None:
    """Return the model in an annotation such as `tuple[Model, ...]`."""
    if isinstance(annotation, type) and issubclass(
        annotation, pydantic.BaseModel
    ):
        return annotation
    inner = map(_model_of, get_args(annotation))
    return next((model for model in inner if model is not None), None)
