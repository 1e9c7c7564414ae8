"""Which entry follows a grantor that went silent, and when it may try.

A delegate hears its grantor at each renewal of the routing lease. Once some
are missed it asks its peers whether they still hear it; when most do not, the
first candidate that is heard itself takes over, each further candidate a step
later. This only chooses who tries: the store's compare-and-swap decides, and a
needless try costs its shard a lifetime of waiting but never a second owner.
"""

from collections.abc import Sequence
import dataclasses
import enum

from lentilmoor import evidence

# A peer misses the grantor if it has not heard it for so many renewals.
_MISSED_RENEWALS = 1.2


class Advice(enum.Enum):
    """What a delegate should do about its shard's grantor."""

    KEEP = 'keep'
    ASK = 'ask'
    TAKE = 'take'


@dataclasses.dataclass(frozen=True, slots=True)
class Patience:
    """Spans of silence, in renewals of the routing lease.

    Attributes:
      ask: Silence before peers are asked.
      take: Silence before a candidate takes over.
      unheard: Silence before most of the peers that are heard are enough,
        in place of most of all delegates.
      step: Delay for each better candidate that is still heard.
    """

    ask: float = 1.6
    take: float = 2.6
    unheard: float = 6.0
    step: float = 0.8


@dataclasses.dataclass(slots=True)
class GrantorWatch:
    """What a delegate knows of its shard's grantor; times in ms.

    Attributes:
      grantor: Its id; empty if the shard has none.
      renew_ms: How often it renews.
      heard_at: When it was last heard from by this entry.
      asked_at: When peers were last asked.
      answers: By peer: how long ago that peer heard it (inf: never), and when
        the peer said so.
    """

    grantor: str
    renew_ms: float
    heard_at: float
    asked_at: float = evidence.NEVER
    answers: dict[str, tuple[float,
                             float]] = dataclasses.field(default_factory=dict)


def note_heard(watch: GrantorWatch, grantor: str, now: float) -> None:
    """Notes any message of the grantor to this entry."""
    watch.grantor = grantor
    watch.heard_at = now
    watch.answers.clear()


def note_answer(watch: GrantorWatch, peer: str, heard_age_ms: float,
                now: float) -> None:
    """Notes a peer's answer: how long ago it heard the grantor."""
    watch.answers[peer] = (heard_age_ms, now)


def note_paused(watch: GrantorWatch, now: float) -> None:
    """Starts anew after this process was paused: it heard nobody meanwhile."""
    watch.heard_at = now
    watch.answers.clear()


def advise(watch: GrantorWatch,
           me: str,
           candidates: Sequence[str],
           heard: frozenset[str],
           now: float,
           patience: Patience = Patience()) -> Advice:
    """Returns what this delegate should do now.

    Args:
      watch: The grantor as seen here; updated when peers are to be asked.
      me: This entry's id.
      candidates: The shard's delegates, best candidate first.
      heard: Entries that this entry has heard from lately.
      now: ms.
      patience: Spans of silence.

    Returns:
      ASK: ask the other delegates for how long they have not heard the
      grantor. TAKE: try to take the epoch.
    """
    others = [item for item in candidates if item not in (me, watch.grantor)]
    ahead = _count_ahead(candidates, me, watch.grantor, heard)
    silence = (now - watch.heard_at) / watch.renew_ms
    wait = patience.step * ahead
    if not watch.grantor:
        return Advice.TAKE if silence >= wait else Advice.KEEP
    if silence >= patience.take + wait and _is_missed(watch, others, now):
        return Advice.TAKE
    if silence >= patience.unheard + wait:
        near = [item for item in others if item in heard]
        if (near or not others) and _is_missed(watch, near, now):
            return Advice.TAKE
    if silence < patience.ask or now - watch.asked_at < watch.renew_ms / 2:
        return Advice.KEEP
    watch.asked_at = now
    return Advice.ASK


def _count_ahead(candidates: Sequence[str], me: str, grantor: str,
                 heard: frozenset[str]) -> int:
    """Returns how many better candidates are still heard."""
    if me not in candidates:
        return len(candidates)
    ahead = candidates[:candidates.index(me)]
    return sum(item in heard and item != grantor for item in ahead)


def _is_missed(watch: GrantorWatch, others: Sequence[str], now: float) -> bool:
    """Returns whether most of some delegates, with this one, miss it.

    An entry that hears nobody else is cut off itself and never takes over,
    unless the platform lists no other either.
    """
    missing = 1
    for peer in others:
        age_ms, said_at = watch.answers.get(peer, (0.0, evidence.NEVER))
        recent = now - said_at <= 2 * watch.renew_ms
        missing += recent and age_ms > _MISSED_RENEWALS * watch.renew_ms
    return 2 * missing > len(others) + 1
