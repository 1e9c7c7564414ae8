"""Checks bearer tokens against the store, and goes on through its outages.

What was read is reused for `FRESH_MS`, so a credential that was revoked stops
working within that time; one that fails is looked up again, so a new one works
at once. While the store is away the last version read goes on being used for
`STALE_MS`. A secret that was proven is known again by a
keyed digest, without another scrypt, as long as its team's credentials have
not changed.
"""

from collections.abc import Callable
import dataclasses
import hashlib
import hmac
import secrets
import threading

from lentilmoor import clocks
from lentilmoor import credentials
from lentilmoor import outcomes
from lentilmoor import stores

FRESH_MS = 2_000.0
STALE_MS = 3_600_000.0
MAX_READS_PER_S = 20
_MAX_TEAMS = 1_024
_MAX_TOKEN_CHARS = 512
_KEY_BYTES = 32

_Reason = outcomes.Reason
_Failed = outcomes.Failed

Verify = Callable[[str], credentials.Identity | outcomes.Failed]


@dataclasses.dataclass(slots=True)
class _Cached:
    """A team's credentials as last read.

    Attributes:
      version: The credentials.
      read_at: When, ms.
      proven: Keyed digest of the secret that was proven, by name.
      wrong: Keyed digest of the token that failed last.
    """

    version: credentials.Version
    read_at: float
    proven: dict[str, bytes] = dataclasses.field(default_factory=dict)
    wrong: bytes = b''


def make_verifier(store: stores.Store, clock: clocks.Clock) -> Verify:
    """Returns a check of tokens, which threads may share.

    It returns the identity; Failed(NOT_AUTHORIZED) for a wrong token,
    Failed(STORE_UNAVAILABLE) if nothing is known of the team and the store is
    away, Failed(OVERLOADED) if too many unknown tokens come in.

    Args:
      store: The platform's store.
      clock: This process's time.
    """
    return _Verifier(store, clock).verify


class _Verifier:

    def __init__(self, store: stores.Store, clock: clocks.Clock):
        self._store = store
        self._clock = clock
        self._key = secrets.token_bytes(_KEY_BYTES)
        self._hashing = threading.Lock()
        self._keeping = threading.Lock()
        self._teams: dict[str, _Cached] = {}
        self._second = 0
        self._reads = 0

    def verify(self, text: str) -> credentials.Identity | outcomes.Failed:
        """Checks a token."""
        wrong = _Failed(_Reason.NOT_AUTHORIZED, 'a valid credential is needed')
        token = None
        if len(text) <= _MAX_TOKEN_CHARS:
            token = credentials.parse_token(text)
        if token is None:
            return wrong
        cached = self._teams.get(token.identity.team)
        if cached and self._age(cached) < FRESH_MS:
            if self._prove(cached, token):
                return token.identity
        found = self._refresh(token.identity.team, cached)
        if isinstance(found, _Failed):
            if cached is None or self._age(cached) >= STALE_MS:
                return found
            found = cached
        return token.identity if self._prove(found, token) else wrong

    def _age(self, cached: _Cached) -> float:
        return self._clock.now() - cached.read_at

    def _prove(self, cached: _Cached, token: credentials.Token) -> bool:
        name = token.identity.name
        mark = hashlib.blake2b(token.show().encode(), key=self._key).digest()
        if hmac.compare_digest(mark, cached.proven.get(name, b'')):
            return True
        if hmac.compare_digest(mark, cached.wrong):
            return False
        found = cached.version.table.find(name)
        # One at a time, for the memory that scrypt takes.
        with self._hashing:
            if not credentials.prove(found, token.secret):
                cached.wrong = mark
                return False
        cached.proven[name] = mark
        return True

    def _refresh(self, team: str,
                 cached: _Cached | None) -> _Cached | outcomes.Failed:
        now = self._clock.now()
        version = self._read(team, now)
        if isinstance(version, _Failed):
            return version
        if cached and 0 < version.number <= cached.version.number:
            cached.read_at = now
            return cached
        return self._keep(team, _Cached(version, now))

    def _read(self, team: str,
              now: float) -> credentials.Version | outcomes.Failed:
        second = int(now / clocks.MS_PER_S)
        if second != self._second:
            self._second, self._reads = second, 0
        self._reads += 1
        if self._reads > MAX_READS_PER_S:
            return _Failed(_Reason.OVERLOADED, 'too many tokens to look up')
        version = credentials.read(self._store, team)
        if isinstance(version, _Failed) and version.reason is _Reason.TIMED_OUT:
            return _Failed(_Reason.STORE_UNAVAILABLE, version.detail)
        return version

    def _keep(self, team: str, cached: _Cached) -> _Cached:
        if cached.version.number == 0:
            self._teams.pop(team, None)
            return cached
        with self._keeping:
            self._teams.pop(team, None)
            if len(self._teams) >= _MAX_TEAMS:
                del self._teams[next(iter(self._teams))]
            self._teams[team] = cached
        return cached
