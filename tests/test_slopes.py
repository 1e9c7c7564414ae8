"""Tests that worked-out figures follow from slopes, and that bounds hold."""

import dataclasses
import unittest

from benchmarks import slopes_fits as fits
from benchmarks import slopes_sizing as sizing

FREE = sizing.Prices(
    **{field.name: 0.0 for field in dataclasses.fields(sizing.Prices)})
SIZE = sizing.Size('some', nodes=10, servers=40, shards=5, domains=3)


def work_out(size=SIZE, **prices):
    lines = sizing.work_out(size, dataclasses.replace(FREE, **prices))
    return sizing.add_up(lines)


class FitTest(unittest.TestCase):

    def test_a_line_is_found_again(self):
        line = fits.fit([(rows, 5.0 + 2.0 * rows) for rows in (1, 10, 100)])
        self.assertAlmostEqual(line.slope, 2.0)
        self.assertAlmostEqual(line.base, 5.0)

    def test_a_bent_line_goes_on_as_its_end_does(self):
        line = fits.fit([(1, 1.0), (10, 10.0), (100, 1_000.0)])
        self.assertAlmostEqual(line.at(4), 4.0)
        self.assertAlmostEqual(line.at(190), 1_990.0)


class SizingTest(unittest.TestCase):

    def test_nothing_costs_nothing(self):
        self.assertEqual(work_out(), sizing.Line('all', ''))

    def test_grants_go_with_the_servers_of_a_node(self):
        # 4 servers to a node, 8 renewals a second each.
        found = work_out(grant_us=1_000.0, grant_bytes=500.0)
        self.assertAlmostEqual(found.core, 4 * 8 * 1e-3)
        self.assertAlmostEqual(found.kb_per_s, 4 * 8 * 0.5)

    def test_shards_that_are_not_keyed_have_no_grants(self):
        half = dataclasses.replace(SIZE, keyed=0.5)
        found = work_out(half, grant_us=1_000.0)
        self.assertAlmostEqual(found.core, 4 * 8 * 1e-3 / 2)

    def test_a_lease_is_paid_for_at_both_ends(self):
        # 5 shards of 10 delegates on 10 nodes: 5 leases at either end.
        found = work_out(lease_us=1_000.0)
        self.assertAlmostEqual(found.core, 2 * 5 * 8 * 1e-3)

    def test_every_node_pays_for_every_server(self):
        self.assertAlmostEqual(work_out(server_bytes=1e6).mb, 40.0)

    def test_probers_share_the_servers(self):
        found = work_out(probe_us=1_000.0)
        self.assertAlmostEqual(found.core, 40 * 3 * 2 / 10 * 1e-3)


if __name__ == '__main__':
    unittest.main()
