"""Credentials for the administration API, each scoped to one team.

A token is 'team.name.secret', sent as a bearer token. The store keeps a salted
scrypt hash of the secret, never the secret. Those of the team `OPERATOR` may
make a team's first credential, and with it the team.
"""

from collections.abc import Callable
import dataclasses
import hashlib
import hmac
import secrets
from typing import Annotated

import pydantic

from lentilmoor import clocks
from lentilmoor import models
from lentilmoor import outcomes
from lentilmoor import stores

PREFIX = 'credentials/'
OPERATOR = 'operator'
MAX_PER_TEAM = 64

_COST = 4_096
_BLOCK = 8
_MAX_COST = 16_384
_SALT_BYTES = 16
_SECRET_BYTES = 32
_ATTEMPTS = 4
_Hex = Annotated[str, pydantic.Field(pattern=r'^([0-9a-f]{2})+$')]
_NAME = pydantic.TypeAdapter(models.Name)
_NO_SALT = bytes(_SALT_BYTES)
_NO_DIGEST = bytes(64)

_Reason = outcomes.Reason
_Failed = outcomes.Failed


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Whom a token speaks for.

    Attributes:
      team: The team, or `OPERATOR`.
      name: Name of the credential.
    """

    team: str
    name: str

    @property
    def is_operator(self) -> bool:
        """Whether it may make teams."""
        return self.team == OPERATOR

    def may_use(self, team: str) -> bool:
        """Returns whether it may read and change a team's settings."""
        return self.team == team


@dataclasses.dataclass(frozen=True, slots=True)
class Token:
    """A token taken apart.

    Attributes:
      identity: Whom it claims to speak for.
      secret: What has to prove it.
    """

    identity: Identity
    secret: str

    def show(self) -> str:
        """Returns the text form."""
        return f'{self.identity.team}.{self.identity.name}.{self.secret}'


class Credential(pydantic.BaseModel):
    """A credential as it is stored.

    Attributes:
      name: Its name, unique within the team.
      salt: Hexadecimal.
      digest: scrypt of the secret, hexadecimal.
      cost: scrypt's n; its r is 8 and its p is 1.
      made_ms: When it was made, ms since the epoch.
    """

    model_config = pydantic.ConfigDict(frozen=True)

    name: models.Name
    salt: _Hex
    digest: _Hex
    cost: Annotated[int, pydantic.Field(ge=2, le=_MAX_COST)] = _COST
    made_ms: float = 0.0


class Credentials(pydantic.BaseModel):
    """All credentials of a team."""

    model_config = pydantic.ConfigDict(frozen=True)

    credentials: tuple[Credential, ...] = ()

    def find(self, name: str) -> Credential | None:
        """Returns a credential by its name."""
        return next((item for item in self.credentials if item.name == name),
                    None)


@dataclasses.dataclass(frozen=True, slots=True)
class Version:
    """A team's credentials at a version of the store; 0 if there are none."""

    number: int
    table: Credentials


def parse_token(text: str) -> Token | None:
    """Takes a token apart; None if it is none."""
    parts = text.split('.')
    if len(parts) != 3 or not parts[2].isascii():
        return None
    try:
        team = _NAME.validate_python(parts[0])
        name = _NAME.validate_python(parts[1])
    except pydantic.ValidationError:
        return None
    return Token(Identity(team, name), parts[2])


def read(store: stores.Store, team: str) -> Version | outcomes.Failed:
    """Reads a team's credentials.

    Args:
      store: The platform's store.
      team: The team.

    Returns:
      The credentials, possibly none; Failed(INVALID) if they don't parse.
    """
    record = store.read(PREFIX + team)
    if isinstance(record, _Failed):
        absent = record.reason is _Reason.NOT_FOUND
        return Version(0, Credentials()) if absent else record
    try:
        table = Credentials.model_validate_json(record.value)
    except pydantic.ValidationError:
        return _Failed(_Reason.INVALID, f'{record.key} does not parse')
    return Version(record.version, table)


def make(store: stores.Store, identity: Identity,
         clock: clocks.Clock) -> Token | outcomes.Failed:
    """Makes a credential; its secret is told once, here.

    Args:
      store: The platform's store.
      identity: The team and the new credential's name.
      clock: Dates it.

    Returns:
      The token. Failed(CONFLICT) if the name is taken; after
      Failed(TIMED_OUT) the name may be taken by a secret that nobody knows.
    """
    secret = secrets.token_urlsafe(_SECRET_BYTES)
    salt = secrets.token_bytes(_SALT_BYTES)
    added = Credential(name=identity.name,
                       salt=salt.hex(),
                       digest=hash_secret(secret, salt, _COST).hex(),
                       made_ms=clock.wall())

    def add(table: Credentials) -> Credentials | outcomes.Failed:
        if table.find(identity.name):
            return _Failed(_Reason.CONFLICT, f'{identity.name} exists')
        if len(table.credentials) >= MAX_PER_TEAM:
            return _Failed(_Reason.INVALID, f'at most {MAX_PER_TEAM}')
        return Credentials(credentials=(*table.credentials, added))

    return _update(store, identity.team, add) or Token(identity, secret)


def revoke(store: stores.Store, identity: Identity) -> outcomes.Failed | None:
    """Removes a credential; Failed(NOT_FOUND) if there is no such one."""

    def remove(table: Credentials) -> Credentials | outcomes.Failed:
        if table.find(identity.name) is None:
            return _Failed(_Reason.NOT_FOUND, f'no {identity.name}')
        kept = [
            item for item in table.credentials if item.name != identity.name
        ]
        return Credentials(credentials=tuple(kept))

    return _update(store, identity.team, remove)


def hash_secret(secret: str, salt: bytes, cost: int) -> bytes:
    """Returns scrypt of a secret; takes `cost` KiB and some milliseconds."""
    return hashlib.scrypt(secret.encode(), salt=salt, n=cost, r=_BLOCK, p=1)


def prove(credential: Credential | None, secret: str) -> bool:
    """Returns whether a secret is a credential's.

    Takes as long if there is no such credential, so that the time does not
    tell which names exist.

    Args:
      credential: The credential of the name that was given, if there is one.
      secret: The secret that was given.
    """
    if credential is None:
        digest = hash_secret(secret, _NO_SALT, _COST)
        return hmac.compare_digest(digest, _NO_DIGEST)
    digest = hash_secret(secret, bytes.fromhex(credential.salt),
                         credential.cost)
    return hmac.compare_digest(digest, bytes.fromhex(credential.digest))


def _update(
    store: stores.Store, team: str,
    edit: Callable[[Credentials], Credentials | outcomes.Failed]
) -> outcomes.Failed | None:
    """Edits a team's credentials by compare-and-swap."""
    for _ in range(_ATTEMPTS):
        version = read(store, team)
        if isinstance(version, _Failed):
            return version
        table = edit(version.table)
        if isinstance(table, _Failed):
            return table
        swapped = store.swap(PREFIX + team,
                             table.model_dump_json().encode(), version.number)
        if not isinstance(swapped, stores.Conflict):
            return swapped if isinstance(swapped, _Failed) else None
    return _Failed(_Reason.CONFLICT, f'credentials of {team} keep changing')
