"""Parses the command line of the programs."""

import sys

from absl import flags


def read(
    argv: list[str], *, program: str, usage: str, module: str
) -> list[str]:
    """Parse the flags; with `--help`, print the help and exit.

    Args:
        argv: Program name, then arguments and flags in any order.
        program: Program name for error messages.
        usage: Help text above the list of flags.
        module: Module that defines the flags.

    Returns:
        The positional arguments.

    Raises:
        SystemExit: After the help, or for an invalid flag.
    """
    try:
        arguments = flags.FLAGS(argv)
    except flags.Error as exc:
        sys.exit(f'{program}: {exc}; see --help')
    if flags.FLAGS['help'].value:
        flag_help = flags.FLAGS.module_help(module)
        sys.stdout.write(f'{usage}\n{flag_help}\n')
        sys.exit(0)
    return arguments[1:]
