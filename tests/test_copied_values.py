"""Tests that a copy of the store keeps one version of each value."""

import gc
import io
import json
import tracemalloc
import unittest

from lentilmoor import clocks
from lentilmoor import logs
from lentilmoor.platform import views
from tests import platformhelp

_VERSIONS = 20
_ROUTES = 600
_BLOCK_BYTES = 64 * 1024


def _make_document(version: int) -> bytes:
    routes = platformhelp.make_configuration()['Routes']
    for number in range(_ROUTES):
        routes[f'r{number}'] = dict(routes['order'], Prefix=f'/r{number}/')
    document = platformhelp.make_configuration(version, **routes)
    return json.dumps(document).encode()


def _measure_blocks() -> int:
    """Returns the bytes of all blocks that are as large as a value."""
    gc.collect()
    traces = tracemalloc.take_snapshot().traces
    return sum(trace.size for trace in traces if trace.size > _BLOCK_BYTES)


class OldVersionTest(unittest.TestCase):
    """Old configurations filled the memory of entries, which were killed."""

    def setUp(self):
        super().setUp()
        self._view = views.View(clocks.Clock(),
                                logs.make_logger('t', io.StringIO()))
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)

    def _apply(self, version: int) -> int:
        """Applies a version at its own revision; returns its size."""
        value = _make_document(version)
        snapshot = self._view.apply(
            [views.Item(views.CONFIGURATION, value, version)], version)
        self.assertEqual(snapshot.configuration.version, version)
        return len(value)

    def test_one_version_of_the_configuration_is_kept(self):
        value_bytes = max(self._apply(n) for n in range(1, _VERSIONS + 1))
        self.assertGreater(value_bytes, _BLOCK_BYTES)
        self.assertLess(_measure_blocks(), 4 * value_bytes)

    def test_others_get_the_last_version_and_what_changed_before_it(self):
        self._view.replace([], 1)
        for version in (2, 3, 4):
            self._view.apply([
                views.Item(f'{views.ENTRIES}e{version}',
                           b'["e", "127.0.0.1:1", false]', version)
            ], version)
            self._apply(version)
        news = self._view.encode_changes(1, 1e9)
        other = views.View(clocks.Clock(), logs.make_logger('t', io.StringIO()))
        other.replace([], 1)
        found = other.merge_news(news, 4)
        self.assertEqual(found.configuration.version, 4)
        self.assertEqual(len(found.entries), 3)


if __name__ == '__main__':
    unittest.main()
