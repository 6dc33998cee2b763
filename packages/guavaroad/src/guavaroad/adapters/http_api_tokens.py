"""Bearer tokens: whom a request speaks for."""

import dataclasses
import hmac
from typing import Final

from guavaroad import settings
from guavaroad.domain import names

_SCHEME: Final = b'bearer '


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Caller:
    """Whom a bearer token names.

    Attributes:
        team: Team, empty for an operator.
        operator: Whether it may see and patch the configuration.
    """

    team: names.TeamName
    operator: bool


class Tokens:
    """Bearer tokens of the settings."""

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
        """Return whom the header names; none if it names nobody.

        Args:
            authorization: Raw value of the Authorization header.

        Returns:
            The caller.
        """
        if authorization[: len(_SCHEME)].lower() != _SCHEME:
            return None
        given = authorization[len(_SCHEME) :].strip()
        for secret, known in self.callers:
            if hmac.compare_digest(secret, given):
                return known
        return None
