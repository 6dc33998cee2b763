"""Set-up and clean-up around the scenarios."""


def after_scenario(context, scenario):
    """End the processes that the scenario started."""
    system = getattr(context, 'fleet', None)
    if system is not None:
        system.stop()
