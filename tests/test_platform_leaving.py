"""Entries that are asked to end, as processes against the stand-ins."""

import time
import unittest

from tests import platformhelp

_KEYS = (0, 20_000, 40_000, 65_535)


class LeaderOutageTest(unittest.TestCase):
    """A coordinator resigned while the store was away, so nobody followed."""

    def test_keys_stay_served_if_the_store_falls_silent_before_sigterm(self):
        for phase_s in (0.1, 0.6, 1.2):
            with self.subTest(phase_s=phase_s):
                self._check(phase_s)

    def _check(self, phase_s: float) -> None:
        deployment = platformhelp.Deployment(entries=2)
        try:
            leader = deployment.find_leader()
            other, = (item for item in deployment.entries if item is not leader)
            deployment.store.faults.away = 'silent'
            time.sleep(phase_s)
            leader.stop()
            refused = _list_refused(other, 5.0)
            deployment.store.faults.away = ''
            self.assertEqual(leader.process.wait(3.0), 0)
            refused += _list_refused(other, 5.0)
            self.assertEqual(refused, [])
            self.assertIn('coordination_begun', other.read_log())
        finally:
            deployment.close()


class InterruptedRequestTest(unittest.TestCase):
    """An entry that ended cut requests that it had sent on after SIGTERM."""

    def setUp(self):
        super().setUp()
        self.deployment = platformhelp.Deployment(catalogs=1, orders=1)
        self.addCleanup(self.deployment.close)
        self.entry, = self.deployment.entries
        self.server, = self.deployment.orders
        order = platformhelp.make_configuration()['Routes']['order']
        self.deployment.store.put(
            'op/config',
            platformhelp.make_configuration(2,
                                            order=order | {'TimeoutMs': 5_000}))
        platformhelp.wait_until(lambda: '"version": 2' in self.entry.read_log(),
                                5.0, self.entry.read_log)

    def _order(self, patience_ms: int):
        return self.entry.call('/order/x',
                               method='POST',
                               body=b'1',
                               patience_ms=patience_ms)

    def test_an_order_that_may_outlast_the_entry_is_refused_at_once(self):
        self.server.work_s = 4.5
        self.entry.stop()
        time.sleep(2.0)
        known, began = self.server.arrivals, time.monotonic()
        status, headers, _ = self._order(6_000)
        self.assertEqual(status, 503)
        self.assertEqual(headers['Connection'], 'close')
        self.assertGreater(float(headers['Retry-After']), 0.0)
        self.assertLess(time.monotonic() - began, 1.0)
        self.assertEqual(self.server.arrivals, known)

    def test_an_order_that_ends_before_the_entry_is_served(self):
        self.server.work_s = 0.5
        self.entry.stop()
        time.sleep(2.0)
        self.assertEqual(self._order(2_000)[0], 200, self.entry.read_log())


def _list_refused(entry: platformhelp.Entry,
                  seconds: float) -> list[tuple[float, bytes]]:
    """Returns requests for keys that were not served: when, and the answer."""
    refused = []
    began = time.monotonic()
    while time.monotonic() < began + seconds:
        for key in _KEYS:
            status, _, body = entry.call('/stock/lot', key)
            if status != 200:
                refused.append((round(time.monotonic() - began, 2), body))
        time.sleep(0.05)
    return refused


if __name__ == '__main__':
    unittest.main()
