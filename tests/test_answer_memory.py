"""Tests that large bodies are held once, and that freed memory is returned."""

import contextlib
import re
import socket
import subprocess
import sys
import threading
import time
import tracemalloc
import unittest

from lentilmoor import bytebudgets
from lentilmoor import clocks
from lentilmoor import connections
from lentilmoor import outcomes
from lentilmoor import transport
from lentilmoor.edge import exchange
from lentilmoor.edge import proxying
from lentilmoor.edge import proxytables
from lentilmoor.platform import headerformat
from tests import exchangehelp
from tests import platformhelp
from tests import test_request_framing

_CLOCK = clocks.make_suspend_clock()
_TIMEOUT_MS = 10_000.0
_BODY = b'z' * 8_000_000
# The smallest machines have this much.
_MACHINE_MB = 200.0
_LOAD_S = 4.0
_CALLERS = 24


class TracedCase(unittest.TestCase):

    def setUp(self):
        super().setUp()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)

    def _measure_peak(self, call) -> float:
        """Returns the memory that a call takes, as a multiple of the body."""
        tracemalloc.reset_peak()
        before, _ = tracemalloc.get_traced_memory()
        call()
        _, peak = tracemalloc.get_traced_memory()
        return (peak - before) / len(_BODY)


class ReadAnswerTest(TracedCase):
    """The blocks of a body were joined, which held it twice."""

    def test_body_is_held_once(self):
        listener = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        answer = (b'HTTP/1.1 200 OK\r\nLentilmoor-Attempt-Id: r1\r\n'
                  b'Content-Length: %d\r\n\r\n' % len(_BODY) + _BODY)

        def serve() -> None:
            connection, _ = listener.accept()
            with connection:
                connection.recv(65_536)
                connection.sendall(answer)

        threading.Thread(target=serve, daemon=True).start()
        mine, theirs = socket.socketpair()
        self.addCleanup(mine.close)
        self.addCleanup(theirs.close)
        pool = connections.Pool(f'127.0.0.1:{listener.getsockname()[1]}',
                                connections.PoolLimits(), _CLOCK)
        self.addCleanup(pool.close)
        outgoing = exchangehelp.make_request(_CLOCK.now() + _TIMEOUT_MS)
        results = []
        peak = self._measure_peak(lambda: results.append(
            exchange.send(
                pool, outgoing, exchange.CallerWatch(mine),
                headerformat.make_header_format().parse_answer_headers, _CLOCK))
                                 )
        self.assertEqual(results[0].answer.body, _BODY)
        self.assertLess(peak, 1.4)


class WriteAnswerTest(test_request_framing.RequestCase, TracedCase):
    """Each write copied the body, and its rest again for each flush."""

    def test_body_is_not_copied(self):
        self.answer = transport.make_complete_answer(
            200, [('Content-Length', str(len(_BODY)))], _BODY)
        address = self.listeners['callers'].bind_addr
        received = []

        def fetch() -> None:
            with socket.create_connection(address, 10.0) as connection:
                connection.sendall(b'GET /page HTTP/1.1\r\nHost: a.example\r\n'
                                   b'Lentilmoor-Attempt-Id: r1\r\n'
                                   b'Connection: close\r\n\r\n')
                while block := connection.recv(65_536):
                    received.append(len(block))

        self.assertLess(self._measure_peak(fetch), 0.2)
        self.assertGreater(sum(received), len(_BODY))


class BudgetTest(unittest.TestCase):

    def test_requests_of_a_usual_size_have_room_beside_large_ones(self):
        budget = bytebudgets.ByteBudget(1_000, 100)
        large, small = bytebudgets.Usage(budget), bytebudgets.Usage(budget)
        self.assertTrue(bytebudgets.reserve(large, 1_100))
        self.assertFalse(bytebudgets.reserve(large, 1))
        self.assertTrue(bytebudgets.reserve(small, 60))
        self.assertTrue(bytebudgets.reserve(small, 40))
        self.assertFalse(bytebudgets.reserve(small, 1))
        self.assertEqual(budget.used_bytes, 1_000)
        bytebudgets.release(large)
        self.assertTrue(bytebudgets.reserve(small, 500))
        bytebudgets.release(small)
        self.assertEqual(budget.used_bytes, 0)

    def test_copy_of_a_proxied_answer_is_counted(self):
        answer_bytes = 2_000_000
        request = proxytables.ProxiedRequest('r1', 1_000.0, None, 'GET', 'h',
                                             '/', '/', {}, b'')
        for max_bytes, has_room in ((3_000_000, False), (5_000_000, True)):
            usage = bytebudgets.Usage(bytebudgets.ByteBudget(max_bytes))

            def forward(_, usage=usage) -> transport.Answer:
                bytebudgets.reserve(usage, answer_bytes)
                return transport.make_complete_answer(200, [],
                                                      b'z' * answer_bytes)

            with self.subTest(max_bytes=max_bytes):
                status, reply = proxying.handle_request(
                    platformhelp.make_proxy_forwarder(), forward,
                    proxytables.encode(request), None, usage)
                self.assertEqual(status, 200)
                outcome = proxytables.decode_outcome(reply, 'r1')
                self.assertIsInstance(
                    outcome, transport.Answer if has_room else outcomes.Unknown)


_HOLD_AND_FREE = '''
import threading
from lentilmoor import allocator
assert allocator.return_freed_memory()

kept = []

def hold():
    for size in 2 * list(range(20)):
        blocks = [bytes(2_500_000 + size * 700_000) for _ in range(2)]
        # What lives longer keeps the heap from shrinking.
        kept.append(bytes(1_000))
        blocks.clear()

def measure():
    with open('/proc/self/status', encoding='ascii') as lines:
        return next(int(line.split()[1]) for line in lines if 'VmRSS' in line)

before = measure()
threads = [threading.Thread(target=hold) for _ in range(8)]
for thread in threads:
    thread.start()
for thread in threads:
    thread.join()
print((measure() - before) / 1024)
'''


class AllocatorTest(unittest.TestCase):
    """The C library kept freed bodies, in a heap for each few threads."""

    def test_freed_bodies_are_returned(self):
        done = subprocess.run([sys.executable, '-c', _HOLD_AND_FREE],
                              capture_output=True,
                              check=True)
        self.assertLess(float(done.stdout), 2.0)


class LargeServer:
    """A server that announces the largest answer, and sends without end."""

    def __init__(self, deployment: platformhelp.Deployment, name: str):
        self._listener = socket.create_server(('127.0.0.1', 0))
        deployment.store.put(
            f'servers/{name}', {
                'Service': 'orders',
                'Addr': f'127.0.0.1:{self._listener.getsockname()[1]}',
                'Zone': 'zone-a',
                'Version': 'v1',
                'Slots': 2,
                'State': 'ready',
                'WarmupLeftMs': 0,
                'Seq': 1
            })
        self.answer_count = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stops accepting connections."""
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                threading.Thread(target=self._serve,
                                 args=(connection,),
                                 daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError), connection:
            request = connection.recv(65_536)
            ids = re.findall(rb'(?i)lentilmoor-attempt-id: .*\r\n', request)
            connection.sendall(b'HTTP/1.1 200 OK\r\n' + b''.join(ids) +
                               b'Lentilmoor-Upstream-Seal: s\r\n'
                               b'Content-Length: %d\r\n\r\n' %
                               exchange.MAX_ANSWER_BYTES)
            self.answer_count += 1
            while True:
                connection.sendall(bytes(65_536))


class EndlessServerTest(unittest.TestCase):
    """An entry was killed for its memory, with the requests of all callers."""

    def setUp(self):
        super().setUp()
        self._deployment = platformhelp.Deployment(catalogs=1, orders=1)
        self.addCleanup(self._deployment.close)
        self._entry, = self._deployment.entries
        self._statuses = []

    def _call_until(self, ends_at: float) -> None:
        while time.monotonic() < ends_at:
            with contextlib.suppress(OSError):
                self._statuses.append(self._entry.call('/report/1')[0])

    def _measure_mb(self) -> float:
        with open(f'/proc/{self._entry.process.pid}/status',
                  encoding='ascii') as lines:
            kb = next(line for line in lines if 'VmRSS' in line).split()[1]
        return int(kb) / 1024

    def test_entry_stays_within_the_memory_of_the_smallest_machine(self):
        servers = [LargeServer(self._deployment, f'large{n}') for n in range(2)]
        for server in servers:
            self.addCleanup(server.close)
        ends_at = time.monotonic() + _LOAD_S
        callers = [
            threading.Thread(target=self._call_until, args=(ends_at,))
            for _ in range(_CALLERS)
        ]
        for caller in callers:
            caller.start()
        peak_mb = 0.0
        while any(caller.is_alive() for caller in callers):
            peak_mb = max(peak_mb, self._measure_mb())
            time.sleep(0.02)
        self.assertGreater(sum(server.answer_count for server in servers), 20)
        self.assertIn(200, self._statuses)
        self.assertLess(peak_mb, _MACHINE_MB)


if __name__ == '__main__':
    unittest.main()
