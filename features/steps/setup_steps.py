"""Steps of the set-up of an environment and of the deployment's build."""

import os
import pathlib
import platform
import shutil
import subprocess
import sys
import sysconfig
import tempfile
import time
from typing import Final

from behave import given, then, when

from guavaroad.adapters import build_identity

ROOT: Final = pathlib.Path(__file__).resolve().parents[2]
FUTURE_S: Final = 3600
RECORDING_PYTHON: Final = """#!/bin/sh
if [ "$1" = -m ]; then echo "$@" >> "{calls}"; else exec "{python}" "$@"; fi
"""


def suffix(built_for: str) -> str:
    """Return the ending of a stamp's name."""
    kind, python = sysconfig.get_platform(), platform.python_version()
    return {
        'this machine and Python': f'-{kind}-{python}',
        'another machine': f'-linux-vax-{python}',
        'another Python': f'-{kind}-3.0.1',
        "a build that doesn't name its machine": '',
    }[built_for]


def plant(stamp: pathlib.Path) -> None:
    """Create a stamp that is newer than all that it depends on."""
    stamp.parent.mkdir(parents=True, exist_ok=True)
    stamp.touch()
    newer = time.time() + FUTURE_S
    os.utime(stamp, (newer, newer))


def scratch_folder(context) -> pathlib.Path:
    folder = pathlib.Path(tempfile.mkdtemp(prefix='guavaroad-setup-'))
    context.add_cleanup(shutil.rmtree, folder)
    return folder


@given('an environment that is complete for {built_for}')
def plant_environment(context, built_for):
    context.environment = scratch_folder(context) / 'venv'
    plant(context.environment / f'.ready{suffix(built_for)}')


@when('make is asked how it sets up')
def dry_run_setup(context):
    completed = subprocess.run(
        ['make', '--dry-run', 'setup', f'VENV={context.environment}',
         f'PYTHON={sys.executable}'],
        cwd=ROOT, capture_output=True, text=True, check=True,
    )  # fmt: skip
    context.commands = completed.stdout.splitlines()


@then('it {action} the environment')
def check_environment(context, action):
    cleared = [line for line in context.commands if 'venv --clear' in line]
    assert len(cleared) == (action == 'rebuilds'), context.commands


@then(
    'only the packages of the workspace are installed without build isolation'
)
def check_isolation(context):
    installs = [line for line in context.commands if 'pip install' in line]
    unisolated = [line for line in installs if '--no-build-isolation' in line]
    assert len(installs) == 2, installs
    assert unisolated == installs[1:], installs
    assert '--no-deps' in unisolated[0], unisolated


@then('the product requires nothing that only benchmarks import')
def check_requirements(context):
    completed = subprocess.run(
        [sys.executable, 'tools/third_party.py'],
        cwd=ROOT, capture_output=True, text=True, check=True,
    )  # fmt: skip
    required = completed.stdout.split()
    assert 'twisted' in required, required
    assert 'hdrhistogram' not in required, required
    assert 'guavaroad' not in required, required


@given('deployed libraries that are complete for {built_for}')
def plant_deployment(context, built_for):
    folder = scratch_folder(context)
    shutil.copytree(ROOT / 'deploy', folder / 'deploy')
    shutil.copy(ROOT / 'constraints.txt', folder)
    for package in (
        'packages/guavaroad/src/guavaroad',
        'platform/src/guavaroad_platform',
    ):
        (folder / package).mkdir(parents=True)
    (folder / 'target/deps').mkdir(parents=True)
    (folder / 'target/deps/carried_over.so').touch()
    plant(folder / f'target/.libraries{suffix(built_for)}')
    context.deployment = folder


@given('deployed libraries that were built for other pins, by a later clock')
def plant_other_pins(context):
    plant_deployment(context, 'this machine and Python')
    stamp = next(context.deployment.glob('target/.libraries*'))
    stamp.write_text('0123456789ab\n')
    plant(stamp)


@given('a deployment whose sources are built, and that {before}')
def plant_built(context, before):
    plant_deployment(context, 'this machine and Python')
    folder = context.deployment
    source = folder / 'packages/guavaroad/src/guavaroad/part.py'
    source.write_text('REVISION = 1\n')
    build_deployment(context)
    context.build_before = build_identity.read(folder / 'target/deps')
    built = folder / 'target/deps/guavaroad/part.py'
    match before:
        case 'has another revision of the sources now':
            source.write_text('REVISION = 2\n')
        case 'was interrupted while it was built':
            built.unlink()
            folder.joinpath('target/deps', build_identity.FILE_NAME).unlink()
        case 'has packages that were edited':
            built.write_text('REVISION = 3\n')
        case _:
            assert before == 'has not changed', before


@then('its packages are those of the sources')
def check_packages(context):
    folder = context.deployment
    source = folder / 'packages/guavaroad/src/guavaroad/part.py'
    built = folder / 'target/deps/guavaroad/part.py'
    assert built.read_text() == source.read_text()


@then('the build is named by a digest of its sources')
def check_build_name(context):
    source = 'packages/guavaroad/src/guavaroad/part.py'
    is_same = context.deployment.joinpath(source).read_text().endswith('1\n')
    named = build_identity.read(context.deployment / 'target/deps')
    assert named != build_identity.UNKNOWN
    assert (named == context.build_before) == is_same, named


@then('the build is unknown')
def check_build_unknown(context):
    named = build_identity.read(context.deployment / 'target/deps')
    assert named == build_identity.UNKNOWN, named


@when('the deployment is built with a pip that only records its calls')
def build_deployment(context):
    tools = context.deployment / 'tools'
    tools.mkdir(exist_ok=True)
    context.calls = tools / 'calls'
    context.calls.touch()
    python = tools / 'python3'
    python.write_text(
        RECORDING_PYTHON.format(calls=context.calls, python=sys.executable)
    )
    python.chmod(0o755)
    (context.deployment / 'target/deps').mkdir(exist_ok=True)
    subprocess.run(
        ['bash', 'deploy/build.sh'],
        cwd=context.deployment, check=True,
        env=os.environ | {'PATH': f'{tools}:{os.environ["PATH"]}'},
    )  # fmt: skip


@then('the build {action} the libraries')
def check_deployment(context, action):
    replaced = action == 'replaces'
    installs = context.calls.read_text().count('pip install')
    kept = (context.deployment / 'target/deps/carried_over.so').exists()
    assert installs == replaced, context.calls.read_text()
    assert kept == (not replaced)
