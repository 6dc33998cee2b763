"""Clean-up after each scenario."""


def after_scenario(context, scenario):
    """Stop the processes that the scenario started."""
    system = getattr(context, 'fleet', None)
    if system is not None:
        system.stop()
