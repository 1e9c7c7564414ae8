"""What is known of one request on its way, and what its tries call."""

from collections.abc import Callable
import dataclasses

from lentilmoor import bodies
from lentilmoor import calls
from lentilmoor import dispatchers
from lentilmoor import fingerprints
from lentilmoor import outcomes
from lentilmoor import quarantine
from lentilmoor import retries
from lentilmoor import routes
from lentilmoor import traces
from lentilmoor import transport


@dataclasses.dataclass(frozen=True, slots=True)
class Claimed:
    """The idempotency key is claimed: this entry alone may dispatch, once.

    Attributes:
      settle: Called once with what came of it.
    """

    settle: Callable[[transport.Result], None]


ClaimResult = Claimed | transport.Result


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """What one try sends.

    Attributes:
      call: The request.
      body: Its body.
      span: The span of the try.
      fresh: Whether only a new connection will do.
      service_ms: Mean time of service at the server.
      suspect: Whether it is held suspect of crashing servers.
    """

    call: calls.Call
    body: bodies.Body
    span: traces.Span
    fresh: bool = False
    service_ms: float = 0.0
    suspect: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Wiring:
    """What the request path calls outside itself.

    Attributes:
      send: Tries a call at a server.
      relay: Hands a call to another entry.
      claim: Claims a call's idempotency key, given its fingerprint.
      spread_crash: Sends crash evidence to the peers at once.
    """

    send: Callable[[routes.Straight, Outgoing], transport.Attempt]
    relay: Callable[[routes.Relay, Outgoing], transport.Attempt]
    claim: Callable[[calls.Call, bytes], ClaimResult]
    spread_crash: Callable[[quarantine.Evidence], None]


@dataclasses.dataclass(slots=True)
class Run:
    """One call and what its tries have led to so far.

    Attributes:
      dispatcher: What request threads share.
      wiring: What is called outside.
      call: The request.
      body: Its body.
      span: Its span.
      progress: What has become of it.
      suspect: Whether it is to run alone.
      fresh: Whether its next try takes a new connection.
      avoid: Servers and entries that failed it.
    """

    dispatcher: dispatchers.Dispatcher
    wiring: Wiring
    call: calls.Call
    body: bodies.Body
    span: traces.Span
    progress: retries.Progress
    suspect: bool = False
    fresh: bool = False
    avoid: frozenset[str] = frozenset()


def make_fingerprint(call: calls.Call, body: bodies.Body) -> bytes:
    """Returns what tells this request from another; 16 bytes."""
    raw = call.raw
    length = body.length
    content = {name: raw.header(name) for name in fingerprints.CONTENT_HEADERS}
    return fingerprints.make_fingerprint(
        f'{call.team}/{call.service}', raw.method, call.target, call.key,
        content, body.digest,
        fingerprints.UNKNOWN_LENGTH if length is None else length)


def conclude(run: Run, refusal: outcomes.NotRun) -> transport.Result:
    """Returns a refusal, as unknown if an earlier try may have run."""
    if run.progress.may_have_run:
        return outcomes.Unknown(refusal.reason, refusal.detail)
    return refusal


def is_blocked(run: Run) -> bool:
    """Checks the quarantine; a suspect goes on, but alone."""
    suspects = run.dispatcher.suspects
    if not suspects.suspects:
        run.suspect = run.call.suspect
        return False
    verdict = quarantine.check(suspects, make_fingerprint(run.call, run.body),
                               run.dispatcher.clock.now())
    run.suspect = (run.call.suspect or verdict is quarantine.Verdict.SUSPECT)
    return verdict is quarantine.Verdict.BLOCKED
