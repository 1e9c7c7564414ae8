"""Tests of the hash space: keys, shards and first maps."""

import unittest

from lentilmoor import slices

_SERVERS = ('a', 'b', 'c')


class FirstMapTest(unittest.TestCase):

    def test_each_shard_cuts_the_points_that_are_its_own(self):
        for shards in (1, 2, 3, 7):
            for shard in range(shards):
                made = slices.make_map(_SERVERS, 4, shard, shards)
                self.assertEqual(made.bounds[0], 0)
                self.assertEqual(len(made.bounds), 12)
                for bound in made.bounds[1:]:
                    self.assertEqual(slices.pick_shard(bound, shards), shard)

    def test_keys_of_a_shard_meet_all_its_servers(self):
        owners = {number: set() for number in range(3)}
        maps = [slices.make_map(_SERVERS, 8, shard, 3) for shard in range(3)]
        for number in range(2_000):
            point = slices.hash_key(f'lot-{number}')
            shard = slices.pick_shard(point, 3)
            owners[shard].add(maps[shard].owner_of(point))
        for seen in owners.values():
            self.assertEqual(seen, set(_SERVERS))

    def test_the_first_points_of_shards_are_exact(self):
        for shards in (3, 7):
            for shard in range(1, shards):
                start = -(-(shard << 64) // shards)
                self.assertEqual(slices.pick_shard(start, shards), shard)
                self.assertEqual(slices.pick_shard(start - 1, shards),
                                 shard - 1)
