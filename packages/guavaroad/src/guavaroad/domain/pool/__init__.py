"""The worker pool: one queue over all workers, run by one active allocator.

The modules make decisions and do no input or output. They receive messages and
the current time and return actions, which the services carry out.
"""
