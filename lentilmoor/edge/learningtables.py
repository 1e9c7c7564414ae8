"""State of what an entry learns about suspects from others (see `learning`)."""

from collections.abc import Callable
import dataclasses
import math
import threading

from lentilmoor import clocks
from lentilmoor import httpclient
from lentilmoor import logs
from lentilmoor import outcomes
from lentilmoor.edge import reports

PATH = '/suspects'
# Timeout of a call to another entry.
CALL_TIMEOUT_MS = 300.0
# A table without an exchange of evidence for this time isn't recent.
MAX_AGE_MS = 1_500.0

AskEntry = Callable[[str], reports.SuspectsReply | outcomes.Failed]


@dataclasses.dataclass(slots=True)
class LearningTable:
    """How recent an entry's table of suspects is, shared between threads.

    Attributes:
      ask_entry: Asks the entry at an address for its evidence; returns its
        reply or the failure: CONNECT_FAILED if no process listens there,
        PEER_UNAVAILABLE if one has replied, but not with its evidence.
      recent_at: When the table was last known to lack nothing that other
        entries knew, ms; -inf before that.
      max_age_ms: Maximum age of a recent table.
      outdated_since: When the table was found not to be recent, ms; None while
        it is.
      unjudged: Fingerprints of requests that were sent while the table was not
        recent, and have not run clean since.
      asked_now: Set when the table is needed and isn't recent.
      changed: Notified when the table becomes recent; guards `recent_at`,
        `outdated_since` and `unjudged`.
    """

    ask_entry: AskEntry = lambda unused_address: outcomes.Failed(
        outcomes.Reason.CONNECT_FAILED, '')
    recent_at: float = -math.inf
    max_age_ms: float = math.inf
    outdated_since: float | None = None
    unjudged: set[bytes] = dataclasses.field(default_factory=set)
    asked_now: threading.Event = dataclasses.field(
        default_factory=threading.Event)
    changed: threading.Condition = dataclasses.field(
        default_factory=threading.Condition)


def make_learning_table(clock: clocks.Clock, logger: logs.Logger,
                        socket_options: tuple) -> LearningTable:
    """Returns the table of a process that has started and knows nothing.

    Args:
      clock: Clock of this process.
      logger: Receives a log line for each failed call.
      socket_options: Set on connections to other entries.
    """
    caller = httpclient.Client(clock, 1, socket_options,
                               httpclient.MAX_SHORT_REPLY_BYTES)

    def ask_entry(address: str) -> reports.SuspectsReply | outcomes.Failed:
        asked_at = clock.now()
        result = caller.call(address, httpclient.Request('POST', PATH, b''),
                             CALL_TIMEOUT_MS)
        reason = httpclient.find_failure(result)
        reply = None if reason else reports.decode_suspects_reply(result.body)
        if reply is not None:
            return reply
        reason = reason or httpclient.INVALID_REPLY
        logger.info('evidence_request_failed', entry=address, reason=reason)
        if not isinstance(result, outcomes.Failed):
            return outcomes.Failed(outcomes.Reason.PEER_UNAVAILABLE, reason)
        # A machine that is frozen or cut off doesn't refuse connections.
        if clock.now() - asked_at >= CALL_TIMEOUT_MS:
            return outcomes.Failed(outcomes.Reason.TIMED_OUT, result.detail)
        return result

    return LearningTable(ask_entry, max_age_ms=MAX_AGE_MS)
