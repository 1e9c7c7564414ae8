"""Tables of the trials that an entry grants and runs (see `trials`)."""

from collections.abc import Callable
import dataclasses
import threading

from lentilmoor import clocks
from lentilmoor import httpclient
from lentilmoor.edge import ports
from lentilmoor.edge import reports

PATH = '/trial'
# Timeout of a call to the hub.
CALL_TIMEOUT_MS = 150.0

SendRequest = Callable[[str, reports.TrialRequest], reports.TrialReply | None]


@dataclasses.dataclass(frozen=True, slots=True)
class GrantedTrial:
    """A trial that this entry has granted.

    Attributes:
      trial: Id of the trial.
      ends_at: When its outcome is known even if nobody reports it, ms.
    """

    trial: str
    ends_at: float


@dataclasses.dataclass(slots=True)
class HeldTrial:
    """A trial that this entry runs.

    Attributes:
      trial: Id of the trial.
      fingerprint: Fingerprint of the request.
      issuer: The hub that granted it.
      ends_at: When the hub considers it to have ended, ms.
      running: Whether the request is still in flight.
    """

    trial: str
    fingerprint: bytes
    issuer: ports.Peer
    ends_at: float
    running: bool = True


@dataclasses.dataclass(slots=True)
class TrialTable:
    """State for granting and running trials, shared between threads.

    Attributes:
      send_request: Sends a trial request to the entry at an address; returns
        its reply, or None if there is no valid reply.
      issuer: The first hub; None if there is no hub.
      issuing_since: When this entry became the first hub, ms; None if it isn't.
      granted: Trials that this entry has granted, by fingerprint.
      last_block_trials_at: When a blocked request was last tried, ms, by
        fingerprint.
      held: Trials that this entry runs, by id.
      lock: Guards all other attributes.
    """

    send_request: SendRequest = lambda unused_address, unused_request: None
    issuer: ports.Peer | None = None
    issuing_since: float | None = None
    granted: dict[bytes, GrantedTrial] = dataclasses.field(default_factory=dict)
    last_block_trials_at: dict[bytes,
                               float] = dataclasses.field(default_factory=dict)
    held: dict[str, HeldTrial] = dataclasses.field(default_factory=dict)
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)


def make_trial_table(clock: clocks.Clock, logger,
                     socket_options: tuple) -> TrialTable:
    """Returns a trial table that requests trials over HTTP.

    Args:
      clock: Clock of this process.
      logger: Receives a log line for each failed call.
      socket_options: Set on connections to other entries.
    """
    caller = httpclient.Client(clock, 2, socket_options,
                               httpclient.MAX_SHORT_REPLY_BYTES)

    def send_request(
            address: str,
            message: reports.TrialRequest) -> reports.TrialReply | None:
        result = caller.call(
            address,
            httpclient.Request('POST', PATH, reports.encode_trial(message)),
            CALL_TIMEOUT_MS)
        reason = httpclient.find_failure(result)
        reply = None if reason else reports.decode_trial_reply(result.body)
        if reply is not None:
            return reply
        logger.info('trial_request_failed',
                    hub=address,
                    fingerprint=message.fingerprint.hex(),
                    reason=reason or httpclient.INVALID_REPLY)
        return None

    return TrialTable(send_request)
