"""Authentication by bearer token."""

import dataclasses
import hmac
from typing import Final

from guavaroad import settings
from guavaroad.domain import names

_SCHEME: Final = b'bearer '


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Caller:
    """Caller that a bearer token identifies.

    Attributes:
        team: Team, empty for an operator.
        operator: Whether it may read and patch the configuration.
    """

    team: names.TeamName
    operator: bool


class Tokens:
    """Accepted bearer tokens."""

    def __init__(self, *, tokens: tuple[settings.Token, ...]) -> None:
        self.callers = tuple(
            (
                token.token.get_secret_value().encode(),
                Caller(
                    team=names.TeamName(token.team or ''),
                    operator=token.operator,
                ),
            )
            for token in tokens
        )

    def caller(self, authorization: bytes) -> Caller | None:
        """Return the caller that a header identifies, if any.

        Args:
            authorization: Raw value of the Authorization header.

        Returns:
            The caller, or None without an accepted token.
        """
        if authorization[: len(_SCHEME)].lower() != _SCHEME:
            return None
        presented = authorization[len(_SCHEME) :].strip()
        for secret, caller in self.callers:
            if hmac.compare_digest(secret, presented):
                return caller
        return None
