"""Tests of the homes of servers and of the verdict on contention."""

import collections
import random
import unittest

from lentilmoor import homes

DOMAINS = ('north', 'centre', 'south')


def places(prefix, count):
    return [
        homes.Place(f'{prefix}{i}', DOMAINS[i % len(DOMAINS)])
        for i in range(count)
    ]


class AssignTest(unittest.TestCase):

    def test_homes_are_near_and_evenly_loaded(self):
        for servers, delegates in ((15, 12), (12, 12), (40, 12), (3, 12)):
            chosen = homes.assign_homes(places('s', servers),
                                        places('e', delegates))
            load = collections.Counter(chosen.values())
            self.assertEqual(servers, len(chosen))
            self.assertLessEqual(max(load.values()), -(-servers // delegates))
            domain = {
                place.id: place.failure_domain
                for place in places('e', delegates)
            }
            near = sum(domain[chosen[server.id]] == server.failure_domain
                       for server in places('s', servers))
            self.assertGreaterEqual(near, servers * 3 // 4)

    def test_order_of_the_lists_does_not_matter(self):
        servers, delegates = places('s', 15), places('e', 12)
        chosen = homes.assign_homes(servers, delegates)
        generator = random.Random(1)
        generator.shuffle(servers)
        generator.shuffle(delegates)
        self.assertEqual(chosen, homes.assign_homes(servers, delegates))

    def test_loss_of_a_delegate_moves_few_other_homes(self):
        servers, delegates = places('s', 60), places('e', 12)
        before = homes.assign_homes(servers, delegates)
        moved = naive_moved = 0
        for lost in delegates:
            left = [place for place in delegates if place is not lost]
            after = homes.assign_homes(servers, left)
            for index, server in enumerate(servers):
                kept = before[server.id] != lost.id
                moved += kept and before[server.id] != after[server.id]
                home = delegates[index % 12]
                naive_moved += (home is not lost and
                                home is not left[index % 11])
        self.assertLess(moved, naive_moved / 3)

    def test_whole_domain_lost_is_taken_over_by_the_others(self):
        left = [
            place for place in places('e', 12)
            if place.failure_domain != 'north'
        ]
        chosen = homes.assign_homes(places('s', 15), left)
        self.assertEqual(15, len(chosen))
        self.assertLessEqual(max(collections.Counter(chosen.values()).values()),
                             2)

    def test_entries_agree_on_who_follows_a_dead_home(self):
        server, delegates = places('s', 1)[0], places('e', 12)
        home = homes.assign_homes([server], delegates)[server.id]
        following = homes.pick_next(server, delegates, {home})
        self.assertNotEqual(home, following)
        left = [place for place in reversed(delegates) if place.id != home]
        self.assertEqual(following,
                         homes.assign_homes([server], left)[server.id])
        self.assertIsNone(
            homes.pick_next(server, delegates,
                            {place.id for place in delegates}))

    def test_nobody_left(self):
        self.assertEqual({}, homes.assign_homes(places('s', 3), []))


class ContentionTest(unittest.TestCase):

    def judge(self, state, uses, start=0.0):
        now = start
        verdicts = []
        for use in uses:
            now += 125.0
            verdicts.append(homes.judge_contention(state, use, 0, now))
        return verdicts

    def test_surge_is_seen_within_three_reports(self):
        state = homes.Contention()
        self.assertIn(True, self.judge(state, [6.0] * 3))

    def test_waiting_requests_are_seen_at_once(self):
        self.assertTrue(
            homes.judge_contention(homes.Contention(), 0.5, homes.QUEUED_MANY,
                                   1.0))

    def test_chance_around_the_threshold_does_not_flap(self):
        generator = random.Random(5)
        uses = [
            generator.choice([0.0, 0.5, 1.0, 1.5, 2.5]) for _ in range(2_000)
        ]
        verdicts = self.judge(homes.Contention(), uses)
        naive = [use > 1.0 for use in uses]
        self.assertGreater(count_changes(naive), 500)
        self.assertLessEqual(count_changes(verdicts), 40)

    def test_calm_has_to_last(self):
        state = homes.Contention()
        self.judge(state, [6.0] * 4)
        verdicts = self.judge(state, [0.2] * 60, start=1_000.0)
        until = verdicts.index(False)
        self.assertGreaterEqual(until * 125.0, homes.CALM_MS)
        self.assertFalse(verdicts[-1])

    def test_straight_share(self):
        self.assertEqual(0, homes.straight_share(True))
        self.assertGreater(homes.straight_share(False), 0)


def count_changes(verdicts):
    return sum(a != b for a, b in zip(verdicts, verdicts[1:], strict=False))


if __name__ == '__main__':
    unittest.main()
