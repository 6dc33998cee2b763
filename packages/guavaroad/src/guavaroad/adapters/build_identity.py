"""Which build of the program a process runs."""

import pathlib
from typing import Final

import guavaroad

# Written by `deploy/build.sh` beside the packages, as its last step.
FILE_NAME: Final = 'guavaroad-build.txt'
# A process that runs from its sources, or from an incomplete build.
UNKNOWN: Final = 'unknown'


def read(folder: pathlib.Path | None = None) -> str:
    """Return the digest of the sources that were built.

    Args:
        folder: Folder of the packages; that of this package by default.

    Returns:
        The digest, or `UNKNOWN` if there is no complete build.
    """
    if folder is None:
        folder = pathlib.Path(guavaroad.__file__).parents[1]
    try:
        return folder.joinpath(FILE_NAME).read_text().strip() or UNKNOWN
    except OSError:
        return UNKNOWN
