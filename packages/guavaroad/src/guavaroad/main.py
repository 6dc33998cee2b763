"""The `guavaroad` binary: runs one entry instance."""

import asyncio
import sys

import pynng
from twisted.internet import asyncioreactor, error
from twisted.internet import main as reactor_main

from guavaroad import __version__, app, options, settings
from guavaroad.adapters import command_flags, logs, stop_signals


def main(argv: list[str]) -> None:
    """Run until the process is told to stop.

    Args:
        argv: Program name and flags.
    """
    words = command_flags.read(
        argv,
        program='guavaroad',
        usage=options.USAGE,
        module=options.__name__,
    )
    if words:
        sys.exit(f'guavaroad: unexpected argument {words[0]!r}')
    if options.wants_version():
        sys.stdout.write(f'guavaroad {__version__}\n')
        return
    loaded = settings.load_settings(options.settings_path())
    match loaded:
        case settings.BadSettings():
            sys.exit('\n'.join(loaded.problems))
        case settings.Settings():
            if options.check_only():
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
    except pynng.NNGException as refused:
        peer_address = chosen.instance.peer_address
        sys.exit(f'guavaroad: no port: {peer_address}: {refused}')
    stop_signals.install(reactor, application.stop)
    reactor.run(installSignalHandlers=False)
    sys.exit(application.exit_code)


def run() -> None:
    """Entry point of the console script."""
    main(sys.argv)


if __name__ == '__main__':
    run()
