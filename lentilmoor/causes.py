"""Causes of crashes: a request alone, or something else that is known.

Servers may be lost together, and a request that crashes them is in flight
beside others. What is known of other requests and servers tells such a crash
from one that the request alone accounts for.
"""

import collections
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence

from lentilmoor import crashes
from lentilmoor import quarantine

# Crashes after which a request counts as a possible cause of others' crashes.
# With one, it may just have been in flight.
_MIN_CRASHES_OF_A_CAUSE = 2
# A group of crashes counts as this many at most: several servers may be lost
# together, so one group never blocks a request.
_MAX_GROUP_WEIGHT = 2
# Crashes of servers within this time may have a common cause.
_CONCURRENT_CRASH_MS = 1_000.0

# By server id, for each request that may have crashed it: the ids of all
# servers that the request may have crashed.
_Involved = Mapping[str, Sequence[frozenset[str]]]


def update_blocks(table: quarantine.Quarantine) -> None:
    """Blocks the requests that are the only known cause of enough crashes.

    Does nothing unless the table has changed since the last call.

    Args:
      table: The quarantine; updated.
    """
    if table.judged_version == table.version:
        return
    with table.lock:
        table.judged_version = table.version
        involved = _find_involved(table)
        for suspect in table.suspects.values():
            if _needs_judgement(suspect):
                crashes.set_only_cause(suspect,
                                       _is_only_cause(table, suspect, involved))


def restore_block(table: quarantine.Quarantine, fingerprint: bytes) -> None:
    """Blocks a request that was stored as the only cause of its crashes.

    Does nothing if it is known what else happened when the servers crashed:
    `update_blocks` judges the request by that.

    Args:
      table: The quarantine, with the stored crashes; updated.
      fingerprint: Fingerprint of the request.
    """
    with table.lock:
        suspect = table.suspects.get(fingerprint)
        if (suspect is not None and _needs_judgement(suspect) and
                _has_unknown_crashes(table, suspect)):
            crashes.set_only_cause(suspect, True)


def _has_unknown_crashes(table: quarantine.Quarantine,
                         suspect: crashes.Suspect) -> bool:
    """Returns whether crashes were read from the store.

    It is unknown what else happened when they did.
    """
    return any(
        crash.server not in table.server_crashes for crash in suspect.crashes)


def _needs_judgement(suspect: crashes.Suspect) -> bool:
    is_blocked_anyway = suspect.blocked_until and not suspect.is_only_cause
    return (not is_blocked_anyway and
            len(suspect.crashes) >= suspect.policy.threshold)


def may_have_other_cause(table: quarantine.Quarantine,
                         suspect: crashes.Suspect) -> bool:
    """Returns whether other causes leave too few crashes to block a request.

    Args:
      table: The quarantine.
      suspect: Its state of a blocked request.
    """
    with table.lock:
        is_explained = _make_explanation_check(table, suspect,
                                               _find_involved(table))
    unexplained = _count_in_groups(suspect,
                                   lambda crash: not is_explained(crash))
    weight = sum(min(_MAX_GROUP_WEIGHT, count) for count in unexplained)
    return weight < suspect.policy.threshold


def _find_involved(table: quarantine.Quarantine) -> _Involved:
    involved = collections.defaultdict(list)
    for suspect in table.suspects.values():
        if len(suspect.crashes) >= _MIN_CRASHES_OF_A_CAUSE:
            servers = frozenset(crash.server for crash in suspect.crashes)
            for server in servers:
                involved[server].append(servers)
    return involved


def _is_only_cause(table: quarantine.Quarantine, suspect: crashes.Suspect,
                   involved: _Involved) -> bool:
    if suspect.is_only_cause and _has_unknown_crashes(table, suspect):
        return True
    is_explained = _make_explanation_check(table, suspect, involved)
    unexplained = _count_in_groups(
        suspect, lambda crash: crash.server in table.server_crashes and
        not is_explained(crash))
    weight = sum(max(1, min(_MAX_GROUP_WEIGHT, count)) for count in unexplained)
    return weight >= suspect.policy.threshold


def _make_explanation_check(
        table: quarantine.Quarantine, suspect: crashes.Suspect,
        involved: _Involved) -> Callable[[crashes.Crash], bool]:
    """Returns a check whether a crash may have another cause than a suspect.

    That is another request, or whatever crashed another server of the service
    at that time that no request can have crashed.
    """
    servers = frozenset(crash.server for crash in suspect.crashes)
    uncaused_at = [
        crash.at
        for server, crash in table.server_crashes.items()
        if crash.service == suspect.service and server not in involved and
        not crash.is_refuted
    ]

    def is_explained(crash: crashes.Crash) -> bool:
        return (_is_caused_by_others(servers, involved[crash.server]) or any(
            abs(crash.at - at) <= _CONCURRENT_CRASH_MS for at in uncaused_at))

    return is_explained


def _is_caused_by_others(servers: frozenset[str],
                         causes: Sequence[frozenset[str]]) -> bool:
    """Returns whether another request may have crashed a server.

    A request that was in flight on some of the servers of this one, and on no
    others, was lost with them rather than crashed them.

    Args:
      servers: Ids of the servers that this request may have crashed.
      causes: Those of each request that may have crashed the server, with this
        one.
    """
    return (any(not others <= servers for others in causes) or
            causes.count(servers) > 1)


def _count_in_groups(suspect: crashes.Suspect,
                     is_counted: Callable[[crashes.Crash], bool]) -> list[int]:
    """Counts crashes in each group that may have a cause in common."""
    return [
        sum(is_counted(crash)
            for crash in group)
        for group in crashes.list_groups(suspect.crashes, suspect.policy)
    ]
