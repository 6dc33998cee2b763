"""Formats validation errors of the settings, without secrets."""

import types
from collections.abc import Mapping
from typing import Any, Final, get_args

import pydantic

_SECRET_SECTIONS: Final = frozenset(('tokens',))
_MAX_VALUE_CHARS: Final = 80
_TEMPLATES: Final[Mapping[str, str]] = types.MappingProxyType(
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
        'greater_than': 'must be greater than {gt:.12g}',
        'greater_than_equal': 'must be at least {ge:.12g}',
        'less_than_equal': 'must be at most {le:.12g}',
        'literal_error': 'must be one of {expected}',
    }
)

Model = type[pydantic.BaseModel]


def sentences(root: Model, error: pydantic.ValidationError) -> tuple[str, ...]:
    """Format each error as its path, the requirement and the value.

    Args:
        root: Model that was validated.
        error: Validation error of pydantic.

    Returns:
        One sentence per problem.
    """
    details = error.errors(include_url=False)
    return tuple(_sentence(root, problem) for problem in details)


def _sentence(root: Model, problem: Any) -> str:
    location = problem['loc']
    path = '.'.join(map(str, location)) or 'the file'
    requirement = _requirement(root, problem)
    if problem['type'] in {'missing', 'extra_forbidden', 'value_error'}:
        return f'{path}: {requirement}'
    displayed_value = _displayed(location, problem['input'])
    return f'{path}: {requirement}, not {displayed_value}'


def _requirement(root: Model, problem: Any) -> str:
    error_type = problem['type']
    location = problem['loc']
    if error_type == 'extra_forbidden':
        fields = _field_names(root, location[:-1])
        return f'is not a known field; the fields are {fields}'
    if error_type in {'model_type', 'model_attributes_type'}:
        fields = _field_names(root, location)
        return f'must be a section with the fields {fields}'
    template = _TEMPLATES.get(error_type)
    if template is None:
        return str(problem['msg']).removeprefix('Value error, ')
    return template.format(**problem.get('ctx', {}))


def _displayed(location: tuple[Any, ...], value: Any) -> str:
    if _SECRET_SECTIONS.intersection(location):
        return 'the given value (hidden)'
    if isinstance(value, dict | list):
        return 'a section or list'
    return 'null' if value is None else repr(value)[:_MAX_VALUE_CHARS]


def _field_names(root: Model, location: tuple[Any, ...]) -> str:
    model = root
    for part in location:
        field = model.model_fields.get(part)
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
