"""Command-line flags of `guavaroadctl`."""

import dataclasses
import enum
import os
import pathlib
from typing import Any, Final

from absl import flags

from guavaroad.adapters import tls
from guavaroadctl import endpoints, reports


class Output(enum.Enum):
    """Output format."""

    TEXT = 'text'
    JSON = 'json'


_DEFAULT_REQUEST_TIMEOUT_S: Final = 15
_DEFAULT_TIMEOUT_S: Final = 120
_ADDRESS_VARIABLE: Final = 'GUAVAROAD_ADDRESS'
_TOKEN_VARIABLE: Final = 'GUAVAROAD_TOKEN'
_MIN_TIMEOUT_S: Final = 0.1

_ADDRESSES = flags.DEFINE_list(
    'address',
    os.environ.get(_ADDRESS_VARIABLE, '127.0.0.1:8080'),
    'Instances to try in order, each ip:port or https://ip:port; '
    f'the default is read from {_ADDRESS_VARIABLE}.',
)
_TOKEN = flags.DEFINE_string(
    'token',
    None,
    f'Bearer token; the default is read from {_TOKEN_VARIABLE}.',
)
_TOKEN_FILE = flags.DEFINE_string(
    'token_file', None, 'File whose first line is the bearer token.'
)
_CA_FILE = flags.DEFINE_string(
    'ca_file', None, 'PEM certificates to trust for https addresses.'
)
_TIMEOUT = flags.DEFINE_float(
    'timeout_s',
    _DEFAULT_TIMEOUT_S,
    'Timeout for a job or a configuration wait, seconds.',
    lower_bound=_MIN_TIMEOUT_S,
)
_REQUEST_TIMEOUT = flags.DEFINE_float(
    'request_timeout_s',
    _DEFAULT_REQUEST_TIMEOUT_S,
    'Timeout for any other request, seconds.',
    lower_bound=_MIN_TIMEOUT_S,
)
_OUTPUT = flags.DEFINE_enum_class(
    'output', Output.TEXT, Output, 'Output format.'
)
_SUBMISSION_ID = flags.DEFINE_string(
    'submission_id', None, 'Id of an earlier submit, to resume it.'
)
_DEADLINE = flags.DEFINE_integer(
    'deadline_ms',
    0,
    'Deadline of the job, milliseconds; 0 leaves it to the instance.',
    lower_bound=0,
)
_DETACH = flags.DEFINE_bool(
    'detach', False, 'Return once the submission is recorded.'
)
_HELP = flags.DEFINE_bool('help', False, 'Print this help.', short_name='h')
_VERSION = flags.DEFINE_bool('version', False, 'Print the version.')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Options:
    """Validated flags.

    Attributes:
        endpoints: Instances to try in order.
        token: Bearer token, may be empty.
        trust: CA certificates, or None for those of the system.
        timeout_s: Timeout for a job or a configuration wait.
        request_timeout_s: Timeout for any other request.
        output: Output format.
        submission_id: Id to resume, empty for a new submission.
        deadline_ms: Deadline of a job, 0 for the instance's default.
        detach: Whether to return once a submission is recorded.
    """

    endpoints: tuple[endpoints.Endpoint, ...]
    token: str
    trust: Any
    timeout_s: float
    request_timeout_s: float
    output: Output
    submission_id: str
    deadline_ms: int
    detach: bool


def wants_version() -> bool:
    """Return whether `--version` is set."""
    return bool(_VERSION.value)


def read_options() -> Options | reports.Problem:
    """Return the validated flags, or the first usage error."""
    targets = endpoints.parse_all(_ADDRESSES.value)
    match targets:
        case reports.Problem():
            return targets
    token = read_token()
    match token:
        case reports.Problem():
            return token
    trust = read_trust()
    match trust:
        case reports.Problem():
            return trust
    return Options(
        endpoints=targets,
        token=token,
        trust=trust,
        timeout_s=_TIMEOUT.value,
        request_timeout_s=_REQUEST_TIMEOUT.value,
        output=_OUTPUT.value,
        submission_id=_SUBMISSION_ID.value or '',
        deadline_ms=_DEADLINE.value,
        detach=_DETACH.value,
    )


def read_token() -> str | reports.Problem:
    """Return the token from the flag, the file or the environment."""
    if _TOKEN.value is not None and _TOKEN_FILE.value is not None:
        return reports.usage('give --token or --token_file, not both')
    if _TOKEN.value is not None:
        return str(_TOKEN.value)
    if _TOKEN_FILE.value is None:
        return os.environ.get(_TOKEN_VARIABLE, '')
    path = pathlib.Path(_TOKEN_FILE.value)
    try:
        lines = path.read_text(encoding='utf-8').splitlines()
    except (OSError, UnicodeDecodeError) as error:
        return reports.usage(f'--token_file: {path}: {error}')
    return lines[0].strip() if lines else ''


def read_trust() -> Any:
    """Return the CA certificates, or None for those of the system."""
    if _CA_FILE.value is None:
        return None
    trust = tls.read_trust(pathlib.Path(_CA_FILE.value))
    match trust:
        case tls.BadFile():
            return reports.usage(f'--ca_file: {trust.path}: {trust.reason}')
    return trust
