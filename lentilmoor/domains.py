"""How long ago anybody of each failure domain was heard, by anybody.

Entries tell each other these ages with every exchange, so each knows within
seconds that a domain is within reach though it talks to few of its entries.
Ages need no clocks that agree; each hop adds to them, so that an old one can't
live on by being told round and round.
"""

# Members of generated modules exist only at run time.
# pylint: disable=no-member

import dataclasses

import xxhash

from lentilmoor.protocol import peer_pb2

_AGE_UNIT_MS = 100.0
_LONGEST_AGE = 250
_HOP_MS = 200.0


@dataclasses.dataclass(slots=True)
class Domains:
    """All failure domains that an entry knows.

    Attributes:
      own: The entry's own.
      heard: When anybody of each was last heard, ms.
      silent: Those out of reach, as of the last step.
      names: All names in order.
      names_hash: Hash of those names.
    """

    own: str
    heard: dict[str, float]
    silent: frozenset[str] = frozenset()
    names: tuple[str, ...] = ()
    names_hash: int = 0


def add(domains: Domains, name: str, now: float) -> None:
    """Adds a domain; it is given time to be heard."""
    if name not in domains.heard:
        domains.heard[name] = now
        _name(domains)


def hear(domains: Domains, name: str, heard_at: float) -> None:
    """Notes that somebody of a known domain was heard."""
    if heard_at > domains.heard.get(name, heard_at):
        domains.heard[name] = heard_at


def write_ages(domains: Domains, message: peer_pb2.ExchangeMessage,
               now: float) -> None:
    """Puts the ages of all domains into a message."""
    if not domains.names:
        _name(domains)
    domains.heard[domains.own] = now
    oldest = now - _LONGEST_AGE * _AGE_UNIT_MS
    heard = domains.heard
    message.domain_names = domains.names_hash
    message.domain_ages.extend([
        int((now - max(heard[name], oldest)) / _AGE_UNIT_MS)
        for name in domains.names
    ])


def take_ages(domains: Domains, message: peer_pb2.ExchangeMessage,
              now: float) -> None:
    """Takes over the ages of a peer that knows the same domains."""
    if message.domain_names != domains.names_hash:
        return
    heard = domains.heard
    newest = now - _HOP_MS
    told = zip(domains.names, message.domain_ages, strict=False)
    for name, age in told:
        heard_at = newest - age * _AGE_UNIT_MS
        if heard_at > heard[name]:
            heard[name] = heard_at


def forgive(domains: Domains, gap: float, now: float) -> None:
    """Takes a pause of our own out of all ages."""
    for name, heard_at in domains.heard.items():
        domains.heard[name] = min(heard_at + gap, now)


def find_silent(domains: Domains, oldest: float) -> frozenset[str]:
    """Finds the domains out of reach; returns those of which that changed.

    Args:
      domains: Gets `silent`.
      oldest: A domain heard before this time, ms, is out of reach. Our own
        never is.
    """
    silent = frozenset(name for name, heard_at in domains.heard.items()
                       if heard_at < oldest and name != domains.own)
    changed = silent ^ domains.silent
    domains.silent = silent
    return changed


def _name(domains: Domains) -> None:
    domains.names = tuple(sorted(domains.heard))
    text = '\0'.join(domains.names)
    domains.names_hash = xxhash.xxh32_intdigest(text.encode())
