"""Prints the third-party requirements of the packages of this workspace."""

import pathlib
import tomllib
from typing import Final

ROOT: Final = pathlib.Path(__file__).resolve().parent.parent
PACKAGES: Final = (
    'packages/guavaroad',
    'packages/guavaroadctl',
    'standins',
    'platform',
)


def main() -> None:
    """Print each requirement once, without the packages of the workspace."""
    projects = [
        tomllib.loads((ROOT / package / 'pyproject.toml').read_text())
        for package in PACKAGES
    ]
    own = {document['project']['name'] for document in projects}
    required = {
        requirement
        for document in projects
        for requirement in document['project']['dependencies']
    }
    print('\n'.join(sorted(required - own)))


if __name__ == '__main__':
    main()
