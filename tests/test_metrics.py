"""Tests of metrics under threads, and of their text format."""

import threading
import unittest

from prometheus_client import parser

from lentilmoor import clocks
from lentilmoor import metrics


def _samples(registry):
    return {
        (sample.name, tuple(sorted(sample.labels.items()))): sample.value
        for family in parser.text_string_to_metric_families(
            registry.render_text().decode()) for sample in family.samples
    }


def _run_threads(count, work):
    threads = [threading.Thread(target=work) for _ in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


class CounterTest(unittest.TestCase):

    def test_no_update_is_lost_and_cells_of_ended_threads_are_merged(self):
        counter = metrics.Counter()

        def work():
            for _ in range(5_000):
                counter.add()

        _run_threads(8, work)
        self.assertEqual(counter.read(), 40_000)
        self.assertEqual(counter.read(), 40_000)
        _run_threads(8, work)
        counter.add(3)
        self.assertEqual(counter.read(), 80_003)


class SummaryTest(unittest.TestCase):

    def setUp(self):
        self.time = clocks.ManualTime()
        self.summary = metrics.Summary(self.time.clock())

    def test_quantiles_within_two_digits(self):
        for ms in range(1, 1_001):
            self.summary.record(float(ms))
        snapshot = self.summary.read()
        self.assertEqual(snapshot.count, 1_000)
        self.assertAlmostEqual(snapshot.sum_ms, 500_500.0)
        for quantile, ms in zip(metrics.QUANTILES,
                                snapshot.quantiles_ms,
                                strict=True):
            self.assertAlmostEqual(ms / (quantile * 1_000), 1.0, delta=0.011)

    def test_old_windows_leave_the_quantiles_but_not_the_count(self):
        self.summary.record(500.0)
        self.summary.read()
        self.time.advance(metrics.WINDOW_MS)
        self.summary.record(5.0)
        self.assertGreater(self.summary.read().quantiles_ms[-1], 490.0)
        self.time.advance(metrics.WINDOW_MS)
        self.summary.record(5.0)
        snapshot = self.summary.read()
        self.assertLess(snapshot.quantiles_ms[-1], 6.0)
        self.assertEqual(snapshot.count, 3)

    def test_concurrent_updates_lose_no_duration(self):

        def work():
            for _ in range(3_000):
                self.summary.record(2.0)

        _run_threads(4, work)
        self.assertEqual(self.summary.read().count, 12_000)

    def test_out_of_range_values_are_counted(self):
        self.summary.record(-1.0)
        self.summary.record(10_000_000.0)
        self.assertEqual(self.summary.read().count, 2)


class RegistryTest(unittest.TestCase):

    def setUp(self):
        self.registry = metrics.Registry(clocks.ManualTime().clock())

    def test_text_format(self):
        requests = self.registry.counter('requests', 'Requests.', 'service')
        requests.labeled('shop/stock').add(2)
        requests.labeled('a"b\\c\n').add()
        self.registry.gauge('ready', 'Ready.', read=lambda: 1.0)
        self.registry.summary('hop_ms', 'Hop.',
                              'hop').labeled('try').record(4.0)
        samples = _samples(self.registry)
        self.assertEqual(
            samples['requests_total', (('service', 'shop/stock'),)], 2)
        self.assertEqual(samples['requests_total', (('service', 'a"b\\c\n'),)],
                         1)
        self.assertEqual(samples['ready', ()], 1)
        self.assertEqual(samples['hop_ms_count', (('hop', 'try'),)], 1)
        median = samples['hop_ms', (('hop', 'try'), ('quantile', '0.5'))]
        self.assertAlmostEqual(median, 4.0, delta=0.05)

    def test_number_of_label_combinations_is_bounded(self):
        family = self.registry.counter('requests', 'Requests.', 'path')
        for index in range(metrics.MAX_CHILDREN + 50):
            family.labeled(f'/{index}').add()
        self.assertLessEqual(len(family.children()), metrics.MAX_CHILDREN + 1)
        self.assertEqual(family.labeled(metrics.OVERFLOW_LABEL).read(), 50)

    def test_wrong_number_of_label_values_is_rejected(self):
        with self.assertRaises(ValueError):
            self.registry.counter('requests', 'Requests.', 'path').labeled()
