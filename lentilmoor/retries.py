"""Retries: may a request be tried again, when, and within what budget.

A try is repeated only if the request may be repeated or certainly did not
run, and only if something differs from the try that failed: another owner, a
fresh connection in place of a used one, or news of the server. Retries that
could add load to servers in trouble draw on one token bucket per service, so
they stay a fixed share of the first tries. Whatever is given up on is
answered at once. Functions here read no clock and are cheap enough for the
request path, whose threads share a budget.
"""

import dataclasses
import random
import threading

from lentilmoor import outcomes

# Retries allowed per first try, and the most that may be saved up.
RETRY_RATIO = 0.05
SAVED_RETRIES = 4.0
# A lost server's keys are served again within this time; see LIVENESS.md.
TAKEOVER_MS = 1_000.0
# A server that lost a grant gets it again within two renewals.
REGRANT_MS = 300.0
# A try with less time than this left is not worth sending.
SHORTEST_TRY_MS = 5.0
MAX_REDIRECTS = 3
MAX_TRIES = 4
_SHED_BACKOFF_MS = 20.0
_NEWS_BACKOFF_MS = 10.0


@dataclasses.dataclass(slots=True)
class Budget:
    """A token bucket of retries for one service at one entry.

    Attributes:
      ratio: Tokens earned by each first try.
      cap: Most tokens saved.
      tokens: Tokens at hand; a retry takes one.
      most_waiting: Requests that may wait for a change of owner at once, so
        that waiting never takes all request threads.
      waiting: Requests that wait now.
      first_tries: First tries so far.
      retries: Retries so far that took a token.
      redirects: Retries so far that took none.
      refused: Retries not made for want of a token.
      lock: Held while a retry is decided.
    """

    ratio: float = RETRY_RATIO
    cap: float = SAVED_RETRIES
    tokens: float = SAVED_RETRIES
    most_waiting: int = 8
    waiting: int = 0
    first_tries: int = 0
    retries: int = 0
    redirects: int = 0
    refused: int = 0
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)


@dataclasses.dataclass(slots=True)
class Progress:
    """What has become of one request so far.

    Attributes:
      repeatable: Whether the service lets it run more than once.
      deadline: When its caller stops waiting, ms.
      tries: Tries that ended.
      redirects: Retries that took no token.
      may_have_run: Whether any try may have run it; once set, the request is
        never reported as not run.
    """

    repeatable: bool
    deadline: float
    tries: int = 0
    redirects: int = 0
    may_have_run: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Ending:
    """How one try ended without a whole answer.

    Attributes:
      server: The server that was tried.
      reason: CONNECT_FAILED, NOT_GRANTED, SERVER_SHED, OVERLOADED,
        CONNECTION_LOST, ANSWER_CUT or TIMED_OUT.
      at: When it ended, ms.
      may_have_run: False only if no byte left or the server said so.
      reused: Whether the connection had served before.
      retry_after_ms: The server's own hint, or 0.
      version: Version of the slice map that the try went by.
    """

    server: str
    reason: outcomes.Reason
    at: float
    may_have_run: bool
    reused: bool = False
    retry_after_ms: int = 0
    version: tuple[int, int] = (0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where the request would go now.

    Attributes:
      server: The present owner, or None while the slice is moving.
      moving: Whether the owner is expected to change soon: the slice moves,
        or its owner is suspected or lost and others can take over.
      proven_at: When anybody last had an answer from the server, ms.
      version: Version of the slice map.
    """

    server: str | None
    moving: bool = False
    proven_at: float = 0.0
    version: tuple[int, int] = (0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Try again.

    Attributes:
      delay_ms: How long to wait first.
      fresh: Whether a new connection must be used.
    """

    delay_ms: float = 0.0
    fresh: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AwaitChange:
    """Wait until the route changes, then call `resume`.

    Attributes:
      until: Call `resume` by then also if nothing changed, ms.
    """

    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """Answer the caller now.

    Attributes:
      outcome: What the caller is told.
      retry_after_ms: When the caller may usefully come back.
    """

    outcome: outcomes.NotRun | outcomes.Unknown
    retry_after_ms: int


def note_first_try(budget: Budget) -> None:
    """Earns a part of a retry; called once for each request sent."""
    budget.first_tries += 1
    budget.tokens = min(budget.cap, budget.tokens + budget.ratio)


def decide(progress: Progress, ending: Ending, route: Route, budget: Budget,
           now: float,
           generator: random.Random) -> Retry | AwaitChange | GiveUp:
    """Decides what follows a try that ended without a whole answer.

    Args:
      progress: The request; updated.
      ending: How the try ended.
      route: Where the request would go now, read after the try ended.
      budget: The service's budget; updated.
      now: ms.
      generator: Source of jitter.

    Returns:
      What to do next. A suspect of `quarantine` must be checked there first.
    """
    progress.tries += 1
    progress.may_have_run |= ending.may_have_run
    step = None
    if _may_repeat(progress, ending):
        step = _plan(ending, route, now, generator)
    if step is None or not _fits(step, progress.deadline, now):
        return give_up(progress, ending, budget, generator)
    with budget.lock:
        admitted = _admit(step, progress, ending, budget)
    return step if admitted else give_up(progress, ending, budget, generator)


def resume(progress: Progress, ending: Ending, route: Route, budget: Budget,
           now: float, generator: random.Random) -> Retry | GiveUp:
    """Decides after an `AwaitChange`; its token is already taken.

    Args:
      progress: The request.
      ending: The try that was waited after.
      route: Where the request would go now.
      budget: The service's budget; updated.
      now: ms.
      generator: Source of jitter.

    Returns:
      A retry if the owner changed or answered somebody since, else the end.
    """
    with budget.lock:
        budget.waiting -= 1
    step = _plan(ending, route, now, generator)
    if not isinstance(step, Retry) or not _fits(step, progress.deadline, now):
        return give_up(progress, ending, budget, generator)
    return step


def give_up(progress: Progress, ending: Ending, budget: Budget,
            generator: random.Random) -> GiveUp:
    """Returns the final outcome of a request, for its caller at once."""
    least = max(ending.retry_after_ms, TAKEOVER_MS)
    if budget.tokens < 1:
        least *= 2  # Most of the service fails; callers should thin out.
    retry_after_ms = int(least * generator.uniform(1.0, 1.5))
    if progress.may_have_run:
        outcome = outcomes.Unknown(ending.reason,
                                   f'a try at {ending.server} may have run',
                                   retry_after_ms)
    else:
        outcome = outcomes.NotRun(ending.reason,
                                  f'no try was run, last at {ending.server}',
                                  retry_after_ms)
    return GiveUp(outcome, retry_after_ms)


_SERVER_BUSY = frozenset(
    (outcomes.Reason.SERVER_SHED, outcomes.Reason.OVERLOADED))


def _may_repeat(progress: Progress, ending: Ending) -> bool:
    """Returns whether another try could neither double work nor go on."""
    if ending.may_have_run and not progress.repeatable:
        return False
    return progress.tries < MAX_TRIES + progress.redirects


def _plan(ending: Ending, route: Route, now: float,
          generator: random.Random) -> Retry | AwaitChange | None:
    """Returns the next step if tokens and time were plenty, or None."""
    if route.server is None:
        return AwaitChange(now + TAKEOVER_MS)
    if route.server != ending.server:
        return Retry()
    if ending.reason in _SERVER_BUSY:
        least = max(ending.retry_after_ms, _SHED_BACKOFF_MS)
        return Retry(delay_ms=least * generator.uniform(1.0, 2.0))
    if ending.reason is outcomes.Reason.NOT_GRANTED:
        return _plan_regrant(ending, route, now)
    return _plan_same_server(ending, route, now, generator)


def _plan_regrant(ending: Ending, route: Route,
                  now: float) -> Retry | AwaitChange:
    """Plans for a server that owns the slice but had no grant for it."""
    if route.version > ending.version or route.proven_at > ending.at:
        return Retry()
    return AwaitChange(now + REGRANT_MS)


def _plan_same_server(ending: Ending, route: Route, now: float,
                      generator: random.Random) -> Retry | AwaitChange | None:
    """Plans after a broken or silent try at a server that is still owner."""
    if ending.reused:
        return Retry(fresh=True)
    if route.proven_at > ending.at:
        delay_ms = _NEWS_BACKOFF_MS * generator.uniform(0.0, 1.0)
        return Retry(delay_ms, fresh=True)
    if route.moving:
        return AwaitChange(now + TAKEOVER_MS)
    return None


def _fits(step: Retry | AwaitChange, deadline: float, now: float) -> bool:
    """Returns whether enough of the deadline is left for a step."""
    if isinstance(step, AwaitChange):
        return step.until + SHORTEST_TRY_MS <= deadline
    return now + step.delay_ms + SHORTEST_TRY_MS <= deadline


def _admit(step: Retry | AwaitChange, progress: Progress, ending: Ending,
           budget: Budget) -> bool:
    """Takes what a step costs, if it can be had."""
    if isinstance(step, Retry):
        return _redirect(progress, ending, budget) or _withdraw(budget)
    if budget.waiting >= budget.most_waiting or not _withdraw(budget):
        return False
    budget.waiting += 1
    return True


def _redirect(progress: Progress, ending: Ending, budget: Budget) -> bool:
    """Counts a retry that costs no token, if this is one.

    A server without the grant turned the try away for next to nothing, and
    the retry needed a newer map or a proof, so it can't loop.
    """
    if ending.reason is not outcomes.Reason.NOT_GRANTED:
        return False
    if progress.redirects >= MAX_REDIRECTS:
        return False
    progress.redirects += 1
    budget.redirects += 1
    return True


def _withdraw(budget: Budget) -> bool:
    """Takes a token for one retry, if there is one."""
    if budget.tokens < 1:
        budget.refused += 1
        return False
    budget.tokens -= 1
    budget.retries += 1
    return True
