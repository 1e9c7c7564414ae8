"""Homes of servers: which delegate keeps the one queue of a server, and when.

While a server has room to spare, every delegate sends requests straight to
it. Once it is contended, requests are relayed to its home, whose queue alone
decides who goes next.
"""

from collections.abc import Sequence
import dataclasses

import xxhash

HIGH_USE = 0.7
LOW_USE = 0.5
CALM_MS = 1_000.0


def pick_home(server: str, delegates: Sequence[str]) -> str | None:
    """Returns the home of a server by rendezvous hash over the delegates."""
    if not delegates:
        return None
    return max(delegates, key=lambda name: (weigh_delegate(server, name), name))


def weigh_delegate(server: str, delegate: str) -> int:
    """Returns the rendezvous weight of a delegate for a server."""
    return xxhash.xxh3_64_intdigest(f'{server}\0{delegate}')


@dataclasses.dataclass(slots=True)
class Contention:
    """Whether requests for a server go by its home.

    Attributes:
      contended: The present verdict.
      calm_since: Since when its use has been low, ms; 0 if it is not.
    """

    contended: bool = False
    calm_since: float = 0.0


def judge_contention(state: Contention, use: float, queued: int,
                     now: float) -> bool:
    """Brings the verdict up to date; returns whether it is contended.

    Args:
      state: The server's row; changed in place.
      use: Requests in flight from all delegates over the server's slots, or
        its busy share, whichever is known.
      queued: Requests that wait for it anywhere.
      now: Milliseconds.
    """
    if queued or use >= HIGH_USE:
        state.contended = True
        state.calm_since = 0.0
    elif state.contended and use <= LOW_USE:
        if not state.calm_since:
            state.calm_since = now
        elif now - state.calm_since >= CALM_MS:
            state.contended = False
            state.calm_since = 0.0
    else:
        state.calm_since = 0.0
    return state.contended


def straight_share(contended: bool) -> int:
    """Returns how many requests a delegate that is not home may send at once.

    Args:
      contended: Whether the server is contended.
    """
    return 0 if contended else 1
