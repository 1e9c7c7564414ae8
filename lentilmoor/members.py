"""Membership: who is there, from a list that lags and from being heard.

Each instance is one spread item whose version is its incarnation and state, so
what is known of it only ever advances; a live instance that finds itself
suspected or dead takes the next incarnation and is live again (as in SWIM).
No entry's view condemns an instance alone: one that misses it suspects it, and
only another one that misses it too, or its absence from the platform's list,
makes it dead; `detectors` weighs that evidence. A failure domain of which
nobody has heard for a while is out of reach as a whole, which each entry
concludes for itself and which leaves no trace once it is heard again.
"""

# Members of generated modules exist only at run time.
# pylint: disable=no-member

from collections.abc import Iterable
import dataclasses
import enum
import sys

from lentilmoor import domains as failuredomains
from lentilmoor import items
from lentilmoor import stores
from lentilmoor import tables
from lentilmoor.protocol import peer_pb2

PREFIX = 'member/'


class State(enum.IntEnum):
    """State within an incarnation; only advances."""

    LIVE = 1
    SUSPECT = 2
    LEAVING = 3
    DEAD = 4


_STATES = 8
_LIST_MS = 1_000.0
_LIST_ROW_MS = 50.0

FIRST_VERSION = _STATES + State.LIVE

_LIVENESS = {
    State.LIVE: tables.Liveness.LIVE,
    State.SUSPECT: tables.Liveness.SUSPECT,
    State.LEAVING: tables.Liveness.LEAVING,
    State.DEAD: tables.Liveness.DEAD,
}


@dataclasses.dataclass(frozen=True, slots=True)
class MemberSettings:
    """Times of the failure detector, ms.

    Attributes:
      misses: Failed calls in a row that make a suspect.
      confirm_ms: How long a suspicion stands before it may be confirmed.
      domain_silent_ms: A domain unheard of for so long is out of reach.
      absent_ms: How long an instance may be missing from the list.
      forget_ms: How long the dead are remembered.
      pause_ms: A gap between two steps that says we were paused ourselves.
      rest_ms: First pause before a refuted suspicion is raised again; doubles.
      longest_rest_ms: Upper bound of that pause.
    """

    misses: int = 2
    confirm_ms: float = 2_000.0
    domain_silent_ms: float = 5_000.0
    absent_ms: float = 60_000.0
    forget_ms: float = 3_600_000.0
    pause_ms: float = 2_000.0
    rest_ms: float = 10_000.0
    longest_rest_ms: float = 300_000.0


@dataclasses.dataclass(slots=True)
class Member:
    """One row: an instance and the evidence about it.

    Attributes:
      instance: The row that roles are chosen from.
      version: Version of its item: incarnation and state.
      misses: Our own failed calls to it in a row.
      suspected_at: When we learnt that it is suspected, ms; 0 if it is not.
      suspected_by_us: Whether the suspicion is our own.
      absent_since: Since when the platform's list lacks it, ms; 0 if it is
        listed or was never listed.
      listed: Whether the platform's list ever had it.
      rest_until: Until when we raise no new suspicion of it.
      rest_ms: Length of the last such pause.
      dead_at: When we learnt that it is dead, ms; 0 if it is not.
    """

    instance: tables.Instance
    version: int
    misses: int = 0
    suspected_at: float = 0.0
    suspected_by_us: bool = False
    absent_since: float = 0.0
    listed: bool = False
    rest_until: float = 0.0
    rest_ms: float = 0.0
    dead_at: float = 0.0


@dataclasses.dataclass(slots=True)
class Members:
    """All that one entry knows of the fleet.

    Attributes:
      own: Id of this entry's instance.
      settings: Times.
      rows: Rows by id, our own among them.
      domains: When anybody of each failure domain was last heard.
      heard_any_at: When anybody was last heard directly, ms.
      stepped_at: When the last step ran, ms.
      leaving: Whether this entry itself is ending.
      open: Ids of rows that a step has to look at: missed, suspected, dead or
        absent from the list.
      forgotten: Keys of items of members forgotten lately.
      changes: Grows when the outcome of a choice of roles may change.
    """

    own: str
    settings: MemberSettings
    rows: dict[str, Member]
    domains: failuredomains.Domains
    heard_any_at: float
    stepped_at: float
    leaving: bool = False
    open: set[str] = dataclasses.field(default_factory=set)
    forgotten: list[str] = dataclasses.field(default_factory=list)
    changes: int = 0


def make_members(own: tables.Instance,
                 incarnation: int,
                 now: float,
                 settings: MemberSettings | None = None) -> Members:
    """Returns the membership of an entry that knows only itself.

    Args:
      own: Our row.
      incarnation: Above 0 and above that of an earlier process with the same
        id: seconds of wall time serve.
      now: Milliseconds.
      settings: Times.
    """
    row = Member(dataclasses.replace(own), _version(incarnation, State.LIVE))
    return Members(own=own.id,
                   settings=settings or MemberSettings(),
                   rows={own.id: row},
                   domains=failuredomains.Domains(own.failure_domain,
                                                  {own.failure_domain: now}),
                   heard_any_at=now,
                   stepped_at=now)


def make_item(member: Member) -> items.Item:
    """Returns the item that tells others of a member."""
    row = member.instance
    value = peer_pb2.Member(peer_address=row.peer_address,
                            relay_address=row.relay_address,
                            region=row.region,
                            failure_domain=row.failure_domain)
    return items.Item(PREFIX + row.id,
                      member.version,
                      value.SerializeToString(),
                      retired=read_state(member) is State.DEAD)


def announce(members: Members) -> items.Item:
    """Returns the item that tells others of ourselves."""
    return make_item(members.rows[members.own])


def leave(members: Members, now: float) -> list[items.Item]:
    """Announces that this entry is leaving."""
    members.leaving = True
    return advance(members, members.rows[members.own], State.LEAVING, now)


def take_list(members: Members, listed: Iterable[stores.ListedInstance],
              now: float) -> list[items.Item]:
    """Weighs a reading of the platform's list, which may be old.

    Args:
      members: Gets rows for new instances.
      listed: One reading.
      now: Milliseconds.

    Returns:
      Items that are news to this entry, to be spread.
    """
    news = []
    seen = set()
    for line in listed:
        seen.add(line.id)
        member = members.rows.get(line.id)
        if member is None:
            member = _add(members, _make_instance(line),
                          _version(0, State.LIVE), now)
            news.append(make_item(member))
        member.listed = True
        member.absent_since = 0.0
        if line.state is stores.InstanceState.LEAVING:
            news += advance(members, member, State.LEAVING, now)
        elif wants_list(members) and line.id == members.own:
            news += _come_back(members, member, now)
    for member in members.rows.values():
        if member.listed and member.instance.id not in seen:
            member.absent_since = member.absent_since or now
            members.open.add(member.instance.id)
    return news


def list_every_ms(members: Members) -> float:
    """Returns how often a watcher reads the platform's list.

    Seldom enough that the list, some 100 bytes a row, takes 2 KB a second.
    """
    return max(_LIST_MS, len(members.rows) * _LIST_ROW_MS)


def wants_list(members: Members) -> bool:
    """Returns whether this entry is held to be leaving and is not ending.

    The list may have lagged: reading it again tells.
    """
    own = members.rows[members.own]
    return read_state(own) is State.LEAVING and not members.leaving


def take_item(members: Members, item: items.Item,
              now: float) -> list[items.Item]:
    """Takes over what another entry says of an instance.

    Args:
      members: Gets the row.
      item: An item whose key starts with `PREFIX`.
      now: Milliseconds.

    Returns:
      Items to be spread: a refutation, if the item is wrong about ourselves.
    """
    instance = item.key.removeprefix(PREFIX)
    member = members.rows.get(instance)
    if instance == members.own:
        return _refute(members, member, item.version, now)
    if member is None:
        _add(members, _parse(instance, item.value), item.version, now)
    elif item.version > member.version:
        _set_version(members, member, item.version, now)
    return []


def hear(members: Members, instance: str, now: float) -> None:
    """Notes that an instance called us or answered us."""
    members.heard_any_at = now
    member = members.rows.get(instance)
    if member is None:
        return
    failuredomains.hear(members.domains, member.instance.failure_domain, now)
    member.instance.heard_at = now
    member.misses = 0
    member.rest_ms = 0.0
    member.rest_until = 0.0
    if member.instance.liveness is tables.Liveness.SUSPECT:
        derive(members, member)


def collect_forgotten(members: Members) -> list[str]:
    """Returns the items' keys of members forgotten since the last call."""
    forgotten, members.forgotten = members.forgotten, []
    return forgotten


def list_instances(members: Members) -> list[tables.Instance]:
    """Returns the rows that roles are chosen from, our own among them."""
    return [member.instance for member in members.rows.values()]


def read_state(member: Member) -> State:
    """Returns the published state of a member."""
    return State(member.version % _STATES)


def _version(incarnation: int, state: State) -> int:
    return incarnation * _STATES + state


def _make_instance(line: stores.ListedInstance) -> tables.Instance:
    return tables.Instance(line.id, line.peer_address, line.relay_address,
                           line.region, line.failure_domain)


def _parse(instance: str, value: bytes) -> tables.Instance:
    parsed = peer_pb2.Member.FromString(value)
    # Thousands of rows share few regions and domains.
    return tables.Instance(instance, parsed.peer_address, parsed.relay_address,
                           sys.intern(parsed.region),
                           sys.intern(parsed.failure_domain))


def _add(members: Members, instance: tables.Instance, version: int,
         now: float) -> Member:
    member = Member(instance, version)
    members.rows[instance.id] = member
    failuredomains.add(members.domains, instance.failure_domain, now)
    _set_version(members, member, version, now)
    return member


def _set_version(members: Members, member: Member, version: int,
                 now: float) -> None:
    member.version = version
    state = read_state(member)
    if state is not State.SUSPECT:
        member.suspected_at = 0.0
        member.suspected_by_us = False
    elif not member.suspected_at:
        member.suspected_at = now
    member.dead_at = now if state is State.DEAD else 0.0
    if is_open(member):
        members.open.add(member.instance.id)
    if state is State.LIVE:
        member.misses = 0
    derive(members, member)
    members.changes += 1


def advance(members: Members, member: Member, state: State,
            now: float) -> list[items.Item]:
    """Moves a member on to a state of its incarnation, if that is ahead.

    Returns:
      Its item, to be spread, if it moved.
    """
    if state <= read_state(member):
        return []
    incarnation = member.version // _STATES
    _set_version(members, member, _version(incarnation, state), now)
    return [make_item(member)]


def _come_back(members: Members, own: Member, now: float) -> list[items.Item]:
    incarnation = own.version // _STATES + 1
    _set_version(members, own, _version(incarnation, State.LIVE), now)
    return [make_item(own)]


def _refute(members: Members, own: Member, version: int,
            now: float) -> list[items.Item]:
    if version <= own.version:
        return []
    state = read_state(own)
    if version % _STATES == State.LEAVING:
        state = State.LEAVING
    incarnation = version // _STATES
    if version % _STATES != state:
        incarnation += 1
    _set_version(members, own, _version(incarnation, state), now)
    return [make_item(own)]


def is_open(member: Member) -> bool:
    """Returns whether a step has to look at a member."""
    return bool(member.misses or member.suspected_at or member.dead_at or
                member.absent_since)


def derive(members: Members, member: Member) -> None:
    """Works out the liveness of a member that roles are chosen by."""
    liveness = _LIVENESS[read_state(member)]
    if liveness is tables.Liveness.LIVE and _is_doubted(members, member):
        liveness = tables.Liveness.SUSPECT
    if liveness is not member.instance.liveness:
        member.instance.liveness = liveness
        members.changes += 1


def _is_doubted(members: Members, member: Member) -> bool:
    if member.instance.id == members.own:
        return False
    if member.misses >= members.settings.misses:
        return True
    return member.instance.failure_domain in members.domains.silent
