"""Time-outs of the connections to the HTTP listener."""

from typing import Final

from guavaroad.adapters import server_connection
from guavaroad.domain import client_limits

# How long a refused connection stays open, in seconds.
LINGER_S: Final = 1


def expire(
    connection: server_connection.ServerConnection, now_s: float
) -> None:
    """Close a connection whose time-out has passed.

    Args:
        connection: The connection.
        now_s: Time of the timer service, in seconds.
    """
    quiet_s = now_s - connection.last_active_s
    is_idle = quiet_s > connection.listener.bounds.idle_timeout_s
    if connection.state is server_connection.State.LINGERING:
        if quiet_s > LINGER_S:
            connection.close()
    elif is_unread(connection):
        expire_unread(connection, is_idle=is_idle)
    elif not connection.queue and not connection.unparsed:
        expire_waiting(connection, now_s, is_idle=is_idle)


def expire_unread(
    connection: server_connection.ServerConnection, *, is_idle: bool
) -> None:
    """Abort a connection whose answers were not read for too long."""
    if is_idle:
        connection.abort(client_limits.Reason.UNREAD_ANSWERS)


def is_unread(connection: server_connection.ServerConnection) -> bool:
    """Return whether the client still has to read something."""
    return (
        connection.flow.answers_unread
        or connection.state is server_connection.State.CLOSED
    )


def expire_waiting(
    connection: server_connection.ServerConnection,
    now_s: float,
    *,
    is_idle: bool,
) -> None:
    """Close a connection that has waited for input for too long.

    Args:
        connection: The connection, with no request pending.
        now_s: Time of the timer service, in seconds.
        is_idle: Whether it has been without a request for too long.
    """
    if not connection.receiver.receiving:
        if is_idle:
            connection.close()
    elif is_receive_timed_out(connection, now_s):
        connection.listener.guard.report(client_limits.Reason.RECEIVE_TIME)
        connection.close()


def is_receive_timed_out(
    connection: server_connection.ServerConnection, now_s: float
) -> bool:
    """Return whether a request pauses, or is received, for too long."""
    receiver = connection.receiver
    timeout_s = receiver.bounds.head_timeout_s
    limit_s = client_limits.receive_limit_s(timeout_s, len(receiver.body))
    active_s = connection.last_active_s
    since_s = max(receiver.begun_s, active_s)
    read_s = max(receiver.read_s, active_s)
    return now_s - read_s > timeout_s or now_s - since_s > limit_s
