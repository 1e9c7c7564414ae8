"""Tests of the choice of roles: spread, few changes, nobody who leaves."""

import collections
import unittest

from lentilmoor import roles
from lentilmoor import tables


def make_fleet(domains: int, per_domain: int, regions: int = 1):
    rows = []
    for index in range(domains * per_domain):
        domain = index % domains
        rows.append(
            tables.Instance(f'i{index}', f'127.0.0.1:{index}', '',
                            f'r{domain % regions}', f'd{domain}'))
    return rows


SHARDS = [f'team/service/{number}' for number in range(200)]


class DealTest(unittest.TestCase):

    def test_delegates_cover_every_region_and_domains_evenly(self):
        fleet = make_fleet(15, 20, regions=5)
        for shard in SHARDS:
            chosen = roles.pick_delegates(shard, fleet)
            regions = collections.Counter(row.region for row in chosen)
            domains = collections.Counter(row.failure_domain for row in chosen)
            self.assertEqual(len(chosen), 12)
            self.assertEqual(len(regions), 5)
            self.assertLessEqual(max(regions.values()), 3)
            self.assertEqual(max(domains.values()), 1)

    def test_all_twelve_are_delegates_at_the_size_of_today(self):
        fleet = make_fleet(3, 4)
        chosen = roles.pick_delegates('a/b/0', fleet)
        self.assertEqual({row.id for row in chosen}, {row.id for row in fleet})

    def test_order_of_rows_does_not_matter(self):
        fleet = make_fleet(3, 20)
        for shard in SHARDS[:20]:
            self.assertEqual(roles.pick_delegates(shard, fleet),
                             roles.pick_delegates(shard, fleet[::-1]))

    def test_watchers_stand_in_each_domain(self):
        watchers = roles.pick_watchers(make_fleet(15, 20, regions=5))
        self.assertEqual(len(watchers), 15)
        self.assertEqual({len(ids) for ids in watchers.values()}, {1})

    def test_three_watch_even_if_there_is_one_domain(self):
        for domains, each in ((1, 3), (2, 2), (3, 1)):
            watchers = roles.pick_watchers(make_fleet(domains, 20))
            self.assertEqual({len(ids) for ids in watchers.values()}, {each})


class EligibleTest(unittest.TestCase):

    def test_leaving_and_dead_carry_no_role(self):
        fleet = make_fleet(3, 4)
        fleet[0].liveness = tables.Liveness.LEAVING
        fleet[1].liveness = tables.Liveness.DEAD
        fleet[2].liveness = tables.Liveness.SUSPECT
        out = {row.id for row in fleet[:3]}
        for shard in SHARDS:
            chosen = roles.pick_delegates(shard, fleet)
            chosen += roles.rank_grantors(shard, fleet)
            chosen += roles.pick_probers(shard, fleet)
            chosen.append(roles.pick_home(shard, fleet))
            self.assertFalse(out & {row.id for row in chosen})
        for instance in out:
            self.assertFalse(roles.is_watcher(instance, fleet))

    def test_suspects_carry_roles_when_nobody_is_live(self):
        fleet = make_fleet(3, 4)
        for row in fleet:
            row.liveness = tables.Liveness.SUSPECT
        fleet[0].liveness = tables.Liveness.LEAVING
        self.assertEqual(len(roles.pick_delegates('a/b/0', fleet)), 11)

    def test_nobody_eligible_gives_nobody(self):
        self.assertEqual(roles.pick_delegates('a/b/0', []), [])
        self.assertIsNone(roles.pick_home('s', []))


class ChangeTest(unittest.TestCase):
    """One changed instance moves only the roles that it carried."""

    def test_only_the_lost_instance_is_replaced(self):
        fleet = make_fleet(15, 20, regions=5)
        lost = fleet[7]
        rest = [row for row in fleet if row is not lost]
        for shard in SHARDS:
            before = {row.id for row in roles.pick_delegates(shard, fleet)}
            after = {row.id for row in roles.pick_delegates(shard, rest)}
            self.assertLessEqual(before - after, {lost.id})
            self.assertEqual(len(before - after), len(after - before))

    def test_modulo_moves_most_roles_where_rendezvous_moves_few(self):
        fleet = make_fleet(3, 20)
        rest = fleet[1:]
        moved = naive = 0
        for shard in SHARDS:
            before = {row.id for row in roles.pick_delegates(shard, fleet)}
            after = {row.id for row in roles.pick_delegates(shard, rest)}
            moved += len(before - after)
            naive += len(_pick_modulo(shard, fleet) - _pick_modulo(shard, rest))
        self.assertLess(moved, 200 * 12 / 60 * 1.5)
        self.assertGreater(naive, 200 * 12 / 2)

    def test_a_lost_domain_moves_only_its_own_roles(self):
        fleet = make_fleet(15, 20, regions=5)
        rest = [row for row in fleet if row.failure_domain != 'd3']
        gone = {row.id for row in fleet if row.failure_domain == 'd3'}
        for shard in SHARDS:
            before = {row.id for row in roles.pick_delegates(shard, fleet)}
            after = {row.id for row in roles.pick_delegates(shard, rest)}
            self.assertLessEqual(before - after, gone)

    def test_grantor_order_keeps_when_a_candidate_goes(self):
        fleet = make_fleet(3, 4)
        for shard in SHARDS:
            order = [row.id for row in roles.rank_grantors(shard, fleet)]
            rest = [row for row in fleet if row.id != order[0]]
            left = [row.id for row in roles.rank_grantors(shard, rest)]
            self.assertEqual(left, order[1:])

    def test_grantors_in_the_servers_region_go_first(self):
        fleet = make_fleet(6, 4, regions=3)
        order = roles.rank_grantors('a/b/0', fleet, region='r1')
        self.assertEqual({row.region for row in order[:8]}, {'r1'})
        self.assertEqual(len(order), 24)


def _pick_modulo(shard, fleet):
    start = roles.score('modulo', shard)
    return {fleet[(start + step * 5) % len(fleet)].id for step in range(12)}


if __name__ == '__main__':
    unittest.main()
