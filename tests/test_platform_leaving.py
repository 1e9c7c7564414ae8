"""Entries that are asked to end, as processes against the stand-ins."""

import time
import unittest

from tests import platformhelp


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


if __name__ == '__main__':
    unittest.main()
