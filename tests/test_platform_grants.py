"""Tests of calls that grant keys, over real connections."""

import collections
import concurrent.futures
import http.server
import io
import itertools
import json
import queue
import threading
import time
import unittest

from lentilmoor import clocks
from lentilmoor import logs
from lentilmoor.edge import coordination
from lentilmoor.edge import keyloads
from lentilmoor.edge import keyranges
from lentilmoor.edge import ownership
from lentilmoor.edge import tables
from lentilmoor.platform import servers

_Outcome = ownership.CallOutcome


class _Backend:
    """A server that answers grants after a delay and records them."""

    def __init__(self, work_s: float, closes: bool = False):
        self.taken: list[tuple[float, int, float]] = []
        self.connections = 0
        backend = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = 'HTTP/1.1'

            def setup(self):
                super().setup()
                backend.connections += 1

            def log_message(self, *unused):
                pass

            def handle_call(self):
                body = self.rfile.read(int(self.headers['Content-Length']))
                arrived = time.monotonic()
                fields = json.loads(body)
                time.sleep(work_s)
                backend.taken.append(
                    (arrived, fields['From'], fields['HoldMs'] / 1000))
                self.send_response(200)
                self.send_header('Content-Length', '0')
                if closes:
                    self.send_header('Connection', 'close')
                try:
                    self.end_headers()
                except OSError:
                    self.close_connection = True

        Handler.do_POST = Handler.handle_call

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *unused):
                pass

        self._server = Server(('127.0.0.1', 0), Handler)
        host, port = self._server.server_address
        self.address = f'{host}:{port}'
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self):
        self._server.shutdown()
        self._server.server_close()


class _Coordinator:
    """A coordinator that grants ranges to one server in real time."""

    def __init__(self, address: str, ranges: int):
        self.clock = clocks.make_suspend_clock()
        self.calls = servers.connect_servers(
            self.clock, logs.make_logger('a', io.StringIO()))
        self.items = _divide(ranges)
        began = self.clock.now()
        self.state = coordination.start_coordination(
            keyranges.Assignment('stock', 1, ranges + 2, self.items), 1, began,
            None)
        self.state.rebalanced_at = began + 1e9
        server = tables.Server('a', 'stock', address, 'd', 2, False, 0.0, 0.0)
        self.view = ownership.ServiceView({'a': server}, frozenset(), {},
                                          keyloads.KeyLoads({}), {})
        self.counts: collections.Counter[ownership.CallOutcome] = (
            collections.Counter())
        self._results: queue.Queue = queue.Queue()

    def run(self, seconds: float) -> None:
        """Plans actions for a time and sends the grants from threads."""
        deadline = time.monotonic() + seconds
        with concurrent.futures.ThreadPoolExecutor(64) as pool:
            while time.monotonic() < deadline:
                self._handle_results()
                for action in coordination.plan_actions(self.state, self.view,
                                                        self.clock.now()):
                    if isinstance(action, ownership.Grant):
                        pool.submit(self._send, action)
                time.sleep(0.005)

    def _handle_results(self) -> None:
        while not self._results.empty():
            action, granted, sent = self._results.get()
            self.counts[granted.outcome] += 1
            coordination.handle_grant_result(self.state, action, granted, sent,
                                             self.clock.now())

    def _send(self, action: ownership.Grant) -> None:
        sent = self.clock.now()
        granted = ownership.GrantResult(_Outcome.NOT_SENT)
        if sent - action.planned_at <= ownership.MAX_GRANT_AGE_MS:
            granted = self.calls.grant(action)
        self._results.put((action, granted, sent))


def _divide(ranges: int) -> tuple[keyranges.KeyRange, ...]:
    """Returns ranges of equal width with different fences."""
    width = tables.KEY_COUNT // ranges
    ends = [width * number for number in range(ranges)] + [tables.KEY_COUNT]
    return tuple(
        keyranges.KeyRange(first, last - 1, 'a', number + 2)
        for number, (first, last) in enumerate(itertools.pairwise(ends)))


class ManyRangesTest(unittest.TestCase):
    """Guards against keys without an owner if a server answers grants slowly.

    Over a single connection, the grants of 30 ranges waited for each other
    beyond their timeouts: with 60 ms per answer, keys had no owner for 3 s.
    """

    def _measure_gap(self, backend, seconds=4.0):
        """Returns the longest time without an owner, s, and outcome counts."""
        self.addCleanup(backend.close)
        coordinator = _Coordinator(backend.address, 30)
        began = time.monotonic()
        coordinator.run(seconds)
        longest = 0.0
        for item in coordinator.items:
            until = began
            for arrived, first, hold in sorted(backend.taken):
                if first == item.first:
                    longest = max(longest, arrived - until)
                    until = max(until, arrived + hold)
            longest = max(longest, began + seconds - until)
        return longest, coordinator.counts

    def test_all_ranges_are_granted_in_time_with_60_ms_per_answer(self):
        gap, counts = self._measure_gap(_Backend(0.06))
        self.assertLess(gap, 1.0)
        self.assertEqual(counts.get(_Outcome.UNKNOWN, 0), 0)

    def test_all_ranges_are_granted_in_time_with_120_ms_per_answer(self):
        gap, counts = self._measure_gap(_Backend(0.12))
        self.assertLess(gap, 1.0)
        self.assertEqual(counts.get(_Outcome.UNKNOWN, 0), 0)

    def test_all_ranges_are_granted_if_each_answer_closes_its_connection(self):
        gap, _ = self._measure_gap(_Backend(0.02, closes=True))
        self.assertLess(gap, 0.5)


if __name__ == '__main__':
    unittest.main()
