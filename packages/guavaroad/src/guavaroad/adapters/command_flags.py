"""Reads the words and flags of a command line, for both binaries."""

import sys

from absl import flags


def read(
    argv: list[str], *, program: str, usage: str, module: str
) -> list[str]:
    """Read the flags; asked for help, print it and exit.

    Args:
        argv: Program name, words and flags in any order.
        program: Name for messages.
        usage: Text above the list of flags.
        module: Module that defines the flags.

    Returns:
        The words that are no flags.

    Raises:
        SystemExit: For help or a bad flag.
    """
    try:
        words = flags.FLAGS(argv)
    except flags.Error as broken:
        sys.exit(f'{program}: {broken}; see --help')
    if flags.FLAGS['help'].value:
        listed = flags.FLAGS.module_help(module)
        sys.stdout.write(f'{usage}\n{listed}\n')
        sys.exit(0)
    return words[1:]
