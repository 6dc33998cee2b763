"""The `guavaroad` program, which runs an entry instance."""

import asyncio
import sys

import pynng
from twisted.internet import asyncioreactor, error
from twisted.internet import main as reactor_main

from guavaroad import __version__, app, options, settings
from guavaroad.adapters import command_flags, logs, stop_signals


def main(argv: list[str]) -> None:
    """Run until the process is asked to stop.

    Args:
        argv: Program name and flags.
    """
    arguments = command_flags.read(
        argv,
        program='guavaroad',
        usage=options.USAGE,
        module=options.__name__,
    )
    if arguments:
        sys.exit(f'guavaroad: unexpected argument {arguments[0]!r}')
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


def serve(instance_settings: settings.Settings) -> None:
    """Serve on an event loop in this thread.

    Args:
        instance_settings: Validated settings.
    """
    logs.set_up(instance_settings.logs, secrets=instance_settings.secrets())
    reactor = asyncioreactor.AsyncioSelectorReactor(asyncio.new_event_loop())
    reactor_main.installReactor(reactor)
    application = app.Application(
        reactor=reactor, instance_settings=instance_settings
    )
    try:
        application.listen()
    except error.CannotListenError as listen_error:
        sys.exit(f'guavaroad: port unavailable: {listen_error}')
    except pynng.NNGException as bind_error:
        peer_address = instance_settings.instance.peer_address
        sys.exit(f'guavaroad: port unavailable: {peer_address}: {bind_error}')
    stop_signals.install(reactor, application.stop)
    reactor.run(installSignalHandlers=False)
    sys.exit(application.exit_code)


def run() -> None:
    """Entry point of the console script."""
    main(sys.argv)


if __name__ == '__main__':
    run()
