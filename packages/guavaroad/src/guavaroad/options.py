"""Command-line flags of `guavaroad`."""

import pathlib
from typing import Final

from absl import flags

USAGE: Final = """\
guavaroad: runs one entry instance of the dispatcher until SIGTERM.

usage: guavaroad [flags]

flags:
"""

_SETTINGS = flags.DEFINE_string(
    'settings', 'guavaroad.yaml', 'YAML file with the settings.'
)
_CHECK = flags.DEFINE_bool('check', False, 'Check the settings and exit.')
_VERSION = flags.DEFINE_bool('version', False, 'Print the version and exit.')
_HELP = flags.DEFINE_bool('help', False, 'Print this help.', short_name='h')


def settings_path() -> pathlib.Path:
    """Return the path of the settings file."""
    return pathlib.Path(_SETTINGS.value)


def check_only() -> bool:
    """Return whether only to check the settings."""
    return bool(_CHECK.value)


def wants_version() -> bool:
    """Return whether only to print the version."""
    return bool(_VERSION.value)
