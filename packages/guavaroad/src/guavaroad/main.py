"""The `guavaroad` binary: runs one entry instance."""

import asyncio
import pathlib
import sys
from collections.abc import Sequence

from absl import app as absl_app
from absl import flags
from twisted.internet import asyncioreactor, error
from twisted.internet import main as reactor_main

from guavaroad import __version__, app, settings
from guavaroad.adapters import logs, stop_signals

_SETTINGS = flags.DEFINE_string(
    'settings', 'guavaroad.yaml', 'YAML file with the settings.'
)
_CHECK = flags.DEFINE_bool('check', False, 'Check the settings and exit.')
_VERSION = flags.DEFINE_bool('version', False, 'Print the version and exit.')


def main(argv: Sequence[str]) -> None:
    """Run until the process is told to stop."""
    if argv[1:]:
        sys.exit(f'guavaroad: unexpected argument {argv[1]!r}')
    if _VERSION.value:
        sys.stdout.write(f'guavaroad {__version__}\n')
        return
    loaded = settings.load_settings(pathlib.Path(_SETTINGS.value))
    match loaded:
        case settings.BadSettings():
            sys.exit('\n'.join(loaded.problems))
        case settings.Settings():
            if _CHECK.value:
                sys.stdout.write('settings: valid\n')
                return
            serve(loaded)


def serve(chosen: settings.Settings) -> None:
    """Serve on one loop on this thread.

    Args:
        chosen: Checked settings.
    """
    logs.set_up(chosen.logs, secrets=chosen.secrets())
    reactor = asyncioreactor.AsyncioSelectorReactor(asyncio.new_event_loop())
    reactor_main.installReactor(reactor)
    application = app.Application(reactor=reactor, chosen=chosen)
    try:
        application.listen()
    except error.CannotListenError as taken:
        sys.exit(f'guavaroad: no port: {taken}')
    stop_signals.follow(reactor, application.stop)
    reactor.run(installSignalHandlers=False)
    sys.exit(application.exit_code)


def run() -> None:
    """Entry point of the console script."""
    absl_app.run(main)


if __name__ == '__main__':
    run()
