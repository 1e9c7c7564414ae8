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
      refused: The same once the grantor's address refuses connections.
      unheard: Silence before it takes over without most peers' answers.
      step: Delay for each better candidate that is still heard.
    """

    ask: float = 1.6
    take: float = 2.6
    refused: float = 1.2
    unheard: float = 6.0
    step: float = 0.8


@dataclasses.dataclass(slots=True)
class GrantorWatch:
    """What a delegate knows of its shard's grantor; times in ms.

    Attributes:
      grantor: Its id; empty if the shard has none.
      renew_ms: How often it renews.
      heard_at: When it was last heard from by this entry.
      refused: Refused connections to it since then.
      asked_at: When peers were last asked.
      answers: By peer: how long ago that peer heard it (inf: never), and when
        the peer said so.
    """

    grantor: str
    renew_ms: float
    heard_at: float
    refused: int = 0
    asked_at: float = evidence.NEVER
    answers: dict[str, tuple[float,
                             float]] = dataclasses.field(default_factory=dict)


def note_heard(watch: GrantorWatch, grantor: str, now: float) -> None:
    """Notes any message of the grantor to this entry."""
    watch.grantor = grantor
    watch.heard_at = now
    watch.refused = 0
    watch.answers.clear()


def note_refused(watch: GrantorWatch) -> None:
    """Notes that the grantor's address refused a connection."""
    watch.refused += 1


def note_answer(watch: GrantorWatch, peer: str, heard_age_ms: float,
                now: float) -> None:
    """Notes a peer's answer: how long ago it heard the grantor."""
    watch.answers[peer] = (heard_age_ms, now)


def note_paused(watch: GrantorWatch, now: float) -> None:
    """Starts anew after this process was paused: it heard nobody meanwhile."""
    watch.heard_at = now
    watch.refused = 0
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
    silence = (now - watch.heard_at) / watch.renew_ms
    if not watch.grantor:
        take = 0.0
    elif watch.refused >= 2:
        take = patience.refused
    else:
        take = patience.take
    others = [item for item in candidates if item not in (me, watch.grantor)]
    delay = patience.step * _count_ahead(candidates, me, watch.grantor, heard)
    agreed = silence >= patience.unheard or _most_agree(watch, others, now)
    if silence >= take + delay and (agreed or not watch.grantor):
        return Advice.TAKE
    if silence < min(patience.ask, take) or not watch.grantor:
        return Advice.KEEP
    if now - watch.asked_at < watch.renew_ms / 2:
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


def _most_agree(watch: GrantorWatch, others: Sequence[str], now: float) -> bool:
    """Returns whether most delegates, with this one, miss the grantor."""
    missing = 1
    for peer in others:
        age_ms, said_at = watch.answers.get(peer, (0.0, evidence.NEVER))
        recent = now - said_at <= 2 * watch.renew_ms
        missing += recent and age_ms > 1.2 * watch.renew_ms
    return 2 * missing > len(others) + 1
