"""The failure detector: from missed calls to suspects and to the dead.

Inside a failure domain entries watch each other. Who misses another suspects
it; a second witness, in another entry or in the platform's list, is needed to
make it dead. An entry that is cut off or was paused itself blames nobody.
"""

from lentilmoor import domains
from lentilmoor import items
from lentilmoor import members as membership
from lentilmoor import roles
from lentilmoor import tables

CONFIRMERS = 3

_Members = membership.Members
_Member = membership.Member
_State = membership.State


def miss(members: _Members, instance: str, now: float) -> list[items.Item]:
    """Notes that a call to an instance failed.

    Returns:
      Items to be spread: a suspicion, or the confirmation of another's.
    """
    member = members.rows.get(instance)
    if member is None or instance == members.own:
        return []
    member.misses += 1
    members.open.add(instance)
    if member.misses < members.settings.misses:
        return []
    news = _judge(members, member, now)
    membership.derive(members, member)
    return news


def step(members: _Members, now: float) -> list[items.Item]:
    """Runs once a tick: pauses, silent domains, confirmations, forgetting.

    Returns:
      Items to be spread.
    """
    gap = now - members.stepped_at
    members.stepped_at = now
    if gap > members.settings.pause_ms:
        _forgive(members, gap, now)
    _find_silent(members, now)
    news = []
    for instance in list(members.open):
        member = members.rows[instance]
        if _is_forgotten(members, member, now):
            del members.rows[instance]
            members.open.remove(instance)
            members.forgotten.append(membership.PREFIX + instance)
            members.changes += 1
            continue
        news += _confirm(members, member, now)
        membership.derive(members, member)
        if not membership.is_open(member):
            members.open.remove(instance)
    return news


def is_isolated(members: _Members, now: float) -> bool:
    """Returns whether this entry has heard nobody for long: itself cut off."""
    alone = all(member.instance.liveness in (tables.Liveness.DEAD,
                                             tables.Liveness.LEAVING)
                for name, member in members.rows.items()
                if name != members.own)
    silent = now - members.heard_any_at
    return not alone and silent > members.settings.domain_silent_ms


def list_to_confirm(members: _Members) -> list[str]:
    """Returns the suspects that this entry is to call as a second witness."""
    suspects = [
        name for name in members.open if members.rows[name].suspected_at and
        not members.rows[name].suspected_by_us
    ]
    if not suspects:
        return []
    rows = membership.list_instances(members)
    called = []
    for suspect in suspects:
        witnesses = roles.deal(f'confirm/{suspect}', rows, CONFIRMERS)
        if any(row.id == members.own for row in witnesses):
            called.append(suspect)
    return called


def list_unreachable(members: _Members) -> list[str]:
    """Returns those out of reach, to be tried now and then."""
    lost = (tables.Liveness.SUSPECT, tables.Liveness.DEAD)
    return [
        name for name, member in members.rows.items()
        if member.instance.liveness in lost and name != members.own
    ]


def _judge(members: _Members, member: _Member, now: float) -> list[items.Item]:
    """Turns our own misses into a suspicion, if it is ours to raise."""
    home = members.rows[members.own].instance.failure_domain
    if member.instance.failure_domain != home:
        return []
    if membership.read_state(
            member) is not _State.LIVE or now < member.rest_until:
        return []
    if is_isolated(members, now):
        return []
    member.rest_ms = min(max(member.rest_ms * 2, members.settings.rest_ms),
                         members.settings.longest_rest_ms)
    member.rest_until = now + member.rest_ms
    member.suspected_by_us = True
    return membership.advance(members, member, _State.SUSPECT, now)


def _confirm(members: _Members, member: _Member,
             now: float) -> list[items.Item]:
    """Makes an instance dead if a second witness agrees: we, or the list."""
    if is_isolated(members, now):
        return []
    if _is_missed_by_two(members, member, now) or _is_absent(
            members, member, now):
        return membership.advance(members, member, _State.DEAD, now)
    return []


def _is_missed_by_two(members: _Members, member: _Member, now: float) -> bool:
    if not member.suspected_at or member.suspected_by_us:
        return False
    if member.instance.failure_domain in members.domains.silent:
        return False  # Not it, but the way to its domain may be at fault.
    if now - member.suspected_at < members.settings.confirm_ms:
        return False
    return member.misses >= members.settings.misses


def _is_absent(members: _Members, member: _Member, now: float) -> bool:
    if not member.absent_since:
        return False
    if member.instance.liveness is not tables.Liveness.SUSPECT:
        return False
    return now - member.absent_since >= members.settings.absent_ms


def _find_silent(members: _Members, now: float) -> None:
    oldest = now - members.settings.domain_silent_ms
    changed = domains.find_silent(members.domains, oldest)
    if not changed:
        return
    for member in members.rows.values():
        if member.instance.failure_domain in changed:
            member.misses = 0  # It was the way to its domain.
            membership.derive(members, member)


def _forgive(members: _Members, gap: float, now: float) -> None:
    """After a pause of our own, nobody's silence in it counts."""
    members.heard_any_at = now
    domains.forgive(members.domains, gap, now)
    for member in members.rows.values():
        member.misses = 0
        if member.suspected_at:
            member.suspected_at = now
        if member.absent_since:
            member.absent_since = now


def _is_forgotten(members: _Members, member: _Member, now: float) -> bool:
    if not member.dead_at or member.instance.id == members.own:
        return False
    return now - member.dead_at > members.settings.forget_ms
