"""Entries in one process that follow a stand-in of the store.

The code that follows the store and that distributes and applies changes is the
project's own. Calls between entries are function calls. Each hop on the path
from the store to a decision can be cut, hung, slowed down or frozen.
"""

import dataclasses
import functools
import itertools
import threading
import time
from unittest import mock

from lentilmoor import clocks
from lentilmoor import httpclient
from lentilmoor import logs
from lentilmoor import outcomes
from lentilmoor.edge import control
from lentilmoor.edge import controlstate
from lentilmoor.edge import following
from lentilmoor.edge import forwarding
from lentilmoor.edge import ports
from lentilmoor.edge import reporting
from lentilmoor.edge import reports
from lentilmoor.edge import requests
from lentilmoor.edge import selection
from lentilmoor.edge import staleness
from lentilmoor.edge import storecopy
from lentilmoor.edge import subscriptions
from lentilmoor.edge import tables
from lentilmoor.platform import store
from standins import held_path
from standins import platform_store
from tests import platformhelp

BOUND_MS = 2_000.0
BOUNDS = ports.Bounds(drain_ms=BOUND_MS,
                      grace_ms=6_000.0,
                      retry_ratio=0.2,
                      retry_slack=64.0,
                      retry_window_ms=10_000.0,
                      hold_max_ms=10_000.0,
                      config_apply_ms=BOUND_MS)
LEAVING_SERVER = 's-1'
STEADY_SERVER = 's-2'
NEW_PREFIX = '/new/'
_SERVICE = tables.Service('orders', False, 100, 0.0)
_HEARTBEAT_S = 0.1
_TICK_S = 0.1


@dataclasses.dataclass
class Faults:
    """Faults that are injected into an entry.

    Attributes:
      frozen: Whether it answers no entry and follows nothing.
      request_delay_s: Delay before requests of other entries reach it.
      reply_delay_s: Delay before its replies reach other entries.
      configuration_unreadable: Whether reads of the configuration alone hang.
      actor_lock: While it is held, the control actor handles no message.
    """

    frozen: bool = False
    request_delay_s: float = 0.0
    reply_delay_s: float = 0.0
    configuration_unreadable: bool = False
    actor_lock: threading.Lock = dataclasses.field(
        default_factory=threading.Lock)


class Member:
    """One entry of a fleet."""

    def __init__(self, fleet: 'Fleet', number: int, domain: str):
        self.faults = Faults()
        self.domain = domain
        self.address = f'e{number:02}:1'
        self._fleet = fleet
        clock, logger = clocks.make_suspend_clock(), logs.make_logger('test')
        settings = ports.Settings(f'e{number:02}', domain, 'a:1', 'a:2',
                                  self.address, 'a:3', (), 1.0, 1_000.0, BOUNDS)
        self.path = held_path.HeldPath(fleet.standin.address)
        connected = self._make_store(
            store.connect_store(self.path.address, clock, logger))
        platform = ports.Platform(settings, connected, mock.Mock(), mock.Mock())
        self.forwarder = requests.Forwarder(clock, platform, logger, None)
        self.forwarder.age_limits = settings.limits
        self.actor = control.Control.start(
            controlstate.ControlState(settings.instance), self.forwarder,
            platform, logger,
            lambda: following.restart_following(self.follower))
        reporter = reporting.Reporter(settings.instance, self.forwarder, self,
                                      self.actor.tell)
        self.follower = storecopy.StoreFollower(
            ports.make_peer(settings.instance, settings), reporter, connected,
            clock, logger, self._apply,
            lambda reason: self.actor.tell(control.StoreLost(reason)))
        self.follower.probe = lambda: self.actor.tell(control.RenewEntryLease())
        reporter.on_news = functools.partial(storecopy.apply_news,
                                             self.follower)
        self._pages = {
            subscriptions.PATH: self._answer_news,
            reporting.PATH: self._answer_report,
            reporting.STATE_PATH: self._answer_state,
        }

    def start(self) -> None:
        """Starts following the store."""
        following.restart_following(self.follower)
        avoided: dict[str, float] = {}

        def listen():
            self.follower.position = subscriptions.find_place(self.follower)
            pause_ms = subscriptions.request_news(self.follower, avoided)
            time.sleep(pause_ms / clocks.MS_PER_S)

        def tick():
            time.sleep(_TICK_S)
            self.actor.tell(control.Tick(self.follower.clock.now()))
            following.restart_if_silent(self.follower)
            subscriptions.ask_random_peers(self.follower)

        def report():
            time.sleep(0.25)
            reporting.exchange_reports(self.follower.reporter)

        for work in (listen, tick, report):
            self._fleet.start(functools.partial(self._run, work))

    def _run(self, work) -> None:
        while not self._fleet.ended.is_set():
            if self.faults.frozen:
                time.sleep(_TICK_S)
            else:
                work()

    def stop(self) -> None:
        """Stops the entry; calls that hang are left to time out."""
        self.follower.start_count = 1_000_000
        self.actor.stop(block=False)
        self.path.close()

    def _apply(self, found: ports.StoreSnapshot, heard: bool) -> None:
        if not self._fleet.ended.is_set():
            self.actor.tell(control.CallCompleted(self._wait_for_actor_lock))
            number = staleness.add_pending_change(self.forwarder.freshness)
            self.actor.tell(control.StoreUpdate(found, heard, number))

    def _wait_for_actor_lock(self) -> None:
        with self.faults.actor_lock:
            pass

    def _make_store(self, connected: ports.Store) -> ports.Store:

        def load_configuration():
            if self.faults.configuration_unreadable:
                time.sleep(store.PAGE_TIMEOUT_MS / clocks.MS_PER_S)
                return outcomes.Failed(outcomes.Reason.TIMED_OUT)
            return connected.load_configuration()

        return dataclasses.replace(connected,
                                   load_configuration=load_configuration)

    def call(self, address, request, timeout_ms, unused_connect_ms=None):
        """Calls another entry, as `httpclient.Client` does."""
        other = self._fleet.by_address[address]
        wait_s = other.faults.request_delay_s
        if other.faults.frozen or self.faults.frozen:
            time.sleep(timeout_ms / clocks.MS_PER_S)
            return outcomes.Failed(outcomes.Reason.TIMED_OUT)
        time.sleep(wait_s)
        status, body = other.answer(request.target, request.body)
        time.sleep(other.faults.reply_delay_s)
        if (wait_s +
                other.faults.reply_delay_s) * clocks.MS_PER_S >= timeout_ms:
            return outcomes.Failed(outcomes.Reason.TIMED_OUT)
        return httpclient.Reply(status, {}, body)

    def answer(self, target: str, body: bytes) -> tuple[int, bytes]:
        """Handles a request of another entry; returns status and body."""
        return self._pages[target](body)

    def _answer_news(self, body: bytes) -> tuple[int, bytes]:
        reply = subscriptions.handle_news_request(
            self.follower, reports.decode_news_request(body))
        return (200, reports.encode_news(reply)) if reply else (503, b'')

    def _answer_report(self, body: bytes) -> tuple[int, bytes]:
        reply = reporting.handle_report(self.follower.reporter,
                                        reports.decode_report(body))
        return 200, reports.encode_report_reply(reply)

    def _answer_state(self, body: bytes) -> tuple[int, bytes]:
        return 200, self.follower.store.dump(int(body))

    def may_send_to(self, server: str = LEAVING_SERVER) -> bool:
        """Returns whether the entry may now send a request to a server."""
        return selection.may_send(self.forwarder, _SERVICE, server)

    def denies_new_route(self) -> bool:
        """Returns whether it answers 404 for the route of `make_change`."""
        request = requests.Request(ports.CallerHeaders('r', 100.0, None), 'GET',
                                   platformhelp.HOST, NEW_PREFIX + 'x',
                                   NEW_PREFIX + 'x', {}, b'', mock.Mock(),
                                   self.forwarder.clock.now())
        outcome = forwarding.forward(self.forwarder, request)
        return (isinstance(outcome, outcomes.NotRun) and
                outcome.reason is outcomes.Reason.UNKNOWN_SERVICE)


class Fleet:
    """Twelve entries in three failure domains, and their store."""

    def __init__(self):
        self.standin = platform_store.PlatformStore()
        self.ended = threading.Event()
        self._threads: list[threading.Thread] = []
        self.standin.put('op/config', platformhelp.make_configuration(1))
        self._states = {LEAVING_SERVER: 'ready', STEADY_SERVER: 'ready'}
        self._send_heartbeats()
        self.members = [
            Member(self, number, domain) for number, (
                domain,
                _) in enumerate(itertools.product(('d0', 'd1', 'd2'), range(4)))
        ]
        self.by_address = {member.address: member for member in self.members}
        self.start(self._send_heartbeats_until_end)
        for member in self.members:
            member.start()
        platformhelp.wait_until(self._is_settled, 10.0)

    def __enter__(self):
        return self

    def __exit__(self, *unused_error):
        self.ended.set()
        for thread in self._threads:
            thread.join(5.0)
        for member in self.members:
            member.stop()
        self.standin.close()

    def start(self, work) -> None:
        """Runs a function in a thread, which is joined when the fleet ends."""
        thread = threading.Thread(target=work, daemon=True)
        thread.start()
        self._threads.append(thread)

    def _send_heartbeats_until_end(self) -> None:
        while not self.ended.wait(_HEARTBEAT_S):
            self._send_heartbeats()

    def _send_heartbeats(self) -> None:
        for name, state in self._states.items():
            self.standin.put(
                f'servers/{name}', {
                    'Service': 'orders',
                    'Addr': f'127.0.0.1:{hash(name) % 900 + 100}',
                    'Zone': 'd0',
                    'Version': 'v1',
                    'Slots': 2,
                    'State': state,
                    'WarmupLeftMs': 0,
                    'Seq': self.standin.revision
                })

    def _is_settled(self) -> bool:
        places = [member.follower.position for member in self.members]
        return places.count(None) == 1 and all(
            len(member.forwarder.snapshot.entries) == len(self.members) and
            member.may_send_to(STEADY_SERVER) for member in self.members)

    def find_hub(self) -> Member:
        """Returns the hub, according to the first entry."""
        peer = next(iter(reporting.find_hubs(
            self.members[0].follower.reporter)))
        return self.by_address[peer.address]

    def find_relay(self) -> Member:
        """Returns a relay outside the hub's failure domain."""
        hub = self.find_hub()
        return next(
            member for member in self.members if member.follower.position and
            member.follower.position.is_relay and member.domain != hub.domain)

    def make_change(self) -> float:
        """Makes a server leave and adds a route.

        Returns:
          When the store acknowledged it, s of the monotonic clock.
        """
        self._states[LEAVING_SERVER] = 'draining'
        self._send_heartbeats()
        route = platformhelp.make_configuration()['Routes']['report']
        self.standin.put(
            'op/config',
            platformhelp.make_configuration(2,
                                            new=route | {'Prefix': NEW_PREFIX}))
        return time.monotonic()

    def list_stale_decisions(self, acked_at: float, until: float) -> list[str]:
        """Returns decisions by data that was replaced before the bound."""
        late = []
        while (now := time.monotonic()) < until:
            if now - acked_at > BOUND_MS / clocks.MS_PER_S:
                late += [
                    f'{member.address} {what} {now - acked_at:.2f} s after'
                    for member in self.members if not member.faults.frozen
                    for what, decides in (('sends', member.may_send_to),
                                          ('denies', member.denies_new_route))
                    if decides()
                ]
            time.sleep(0.05)
        return late
