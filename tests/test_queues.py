"""Tests of the queue of one server, against what it promises."""

import collections
import dataclasses
import random
import unittest

import hypothesis
from hypothesis import strategies

from lentilmoor import accounts
from lentilmoor import queues

CLASSES = (queues.ClassPolicy('urgent', 0,
                              0.05), queues.ClassPolicy('normal', 3, 0.05),
           queues.ClassPolicy('sync', 6, 0.10, deferrable=True))
STRICT = tuple(
    dataclasses.replace(policy, deferrable=False) for policy in CLASSES)
FAR = 1e9
COST = 4.0
FAST = hypothesis.settings(derandomize=True,
                           deadline=None,
                           database=None,
                           max_examples=80)

STEPS = strategies.lists(strategies.tuples(
    strategies.sampled_from(['offer', 'offer', 'offer', 'pop', 'withdraw']),
    strategies.integers(0, 4), strategies.integers(0, 2),
    strategies.floats(0.1, 60.0), strategies.floats(0.0, 20.0)),
                         max_size=120)


def make_queue(limit=1000, lanes=2, patience=1.0, classes=CLASSES, **kwargs):
    return queues.ServerQueue(classes,
                              limit,
                              lanes,
                              patience=patience,
                              **kwargs)


def ticket(caller='a', rank=1, deadline=FAR, cost=COST, least=0.0):
    return queues.Ticket(caller, rank, deadline, cost, least)


def fill(queue, caller, rank, count, cost=COST):
    for _ in range(count):
        queue.offer(ticket(caller, rank, cost=cost), 0.0)


class Fifo:
    """The naive queue: one line, no bound, no deadline."""

    def __init__(self):
        self.line = collections.deque()

    def offer(self, item, now):
        del now
        self.line.append(item)
        return []

    def pop(self, now):
        del now
        return (self.line.popleft() if self.line else None), []


class Watched:
    """A queue whose promises are checked at each step."""

    def __init__(self, test, queue):
        self.test = test
        self.queue = queue
        self.waiting = []
        self.ended = collections.Counter()

    def offer(self, item, now):
        self.waiting.append(item)
        self.end(self.queue.offer(item, now))

    def pop(self, now):
        may_run = any(item.latest_start >= now for item in self.waiting)
        item, shed = self.queue.pop(now)
        self.test.assertEqual(may_run, item is not None)
        if item is not None:
            self.test.assertGreaterEqual(item.latest_start, now)
            self.ended[item] += 1
        self.end(shed)

    def withdraw(self, number):
        if self.waiting:
            item = self.waiting[number % len(self.waiting)]
            self.test.assertTrue(self.queue.withdraw(item))
            self.test.assertFalse(self.queue.withdraw(item))
            self.ended[item] += 1

    def end(self, shed):
        self.ended.update(item.ticket for item in shed)
        self.test.assertTrue(all(item.retry_after_ms >= 1 for item in shed))

    def check(self):
        self.waiting = [item for item in self.waiting if not self.ended[item]]
        self.test.assertEqual(len(self.waiting), self.queue.length)
        self.test.assertLessEqual(self.queue.length, self.queue.limit)
        self.test.assertTrue(all(item.waiting for item in self.waiting))
        self.test.assertLessEqual(max(self.ended.values(), default=0), 1)


class PropertyTest(unittest.TestCase):

    @FAST
    @hypothesis.given(STEPS, strategies.integers(1, 6),
                      strategies.sampled_from(queues.Order))
    def test_any_sequence_keeps_the_promises(self, steps, limit, order):
        watched = Watched(self, make_queue(limit, order=order))
        now = 0.0
        for action, number, rank, size, pause in steps:
            now += pause
            if action == 'offer':
                watched.offer(
                    ticket(str(number), rank, now + size, COST, size / 2), now)
            elif action == 'pop':
                watched.pop(now)
            else:
                watched.withdraw(number)
            watched.check()
        self.assertCountEqual(watched.waiting, watched.queue.drain())

    @FAST
    @hypothesis.given(
        strategies.lists(strategies.floats(1.0, 50.0), min_size=2, max_size=5))
    def test_backlogged_callers_differ_by_one_request_at_most(self, costs):
        queue = make_queue()
        for caller, cost in enumerate(costs):
            fill(queue, str(caller), 1, 120, cost)
        used = collections.Counter()
        for _ in range(60):
            item, _ = queue.pop(0.0)
            used[item.caller] += item.cost_ms
        spread = max(used.values()) - min(
            used[str(i)] for i in range(len(costs)))
        self.assertLessEqual(spread, max(costs) + 1e-6)

    @FAST
    @hypothesis.given(strategies.integers(2, 6), strategies.floats(1.0, 30.0))
    def test_urgent_class_is_no_way_around_the_fair_share(self, callers, cost):
        queue = make_queue(limit=10_000)
        fill(queue, 'greedy', 0, 400, cost)
        for caller in range(callers):
            fill(queue, str(caller), 1, 400, cost)
        used = collections.Counter()
        for _ in range(300):
            item, _ = queue.pop(0.0)
            used[item.caller] += item.cost_ms
        least = min(used[str(caller)] for caller in range(callers))
        self.assertLessEqual(used['greedy'] - least,
                             (accounts.BURST + 2) * cost)

    @FAST
    @hypothesis.given(strategies.floats(0.02, 0.3), strategies.integers(1, 3))
    def test_floor_is_paid_under_endless_urgent_work(self, floor, callers):
        classes = (queues.ClassPolicy('urgent', 0, 0.0),
                   queues.ClassPolicy('sync', 6, floor, deferrable=True))
        queue = make_queue(limit=10_000, classes=classes)
        for caller in range(callers):
            fill(queue, str(caller), 0, 400)
        fill(queue, 'lab', 1, 200)
        served = [queue.pop(0.0)[0].rank for _ in range(400)]
        owed = floor * len(served) - queues.BEST_PATIENCE - 2
        self.assertGreaterEqual(served.count(1), owed)
        self.assertGreaterEqual(served.count(0), 400 * (1 - floor) - 2)


class OrderTest(unittest.TestCase):

    def test_urgent_goes_before_what_came_earlier(self):
        queue = make_queue()
        queue.offer(ticket('a', 2), 0.0)
        queue.offer(ticket('a', 1), 0.0)
        queue.offer(ticket('a', 0), 0.0)
        ranks = [queue.pop(0.0)[0].rank for _ in range(3)]
        self.assertEqual([0, 1, 2], ranks)

    def test_heavy_reads_stay_before_what_can_be_deferred(self):
        queue = make_queue()
        fill(queue, 'shop', 0, 100)
        fill(queue, 'lab', 2, 100)
        ranks = [queue.pop(0.0)[0].rank for _ in range(100)]
        self.assertLessEqual(ranks.count(2), 10)

    def test_service_is_charged_as_it_turned_out(self):
        queue = make_queue()
        for caller in ('long', 'short'):
            fill(queue, caller, 1, 100)
        served = collections.Counter()
        for _ in range(60):
            item, _ = queue.pop(0.0)
            served[item.caller] += 1
            queue.settle(item, 3 * COST if item.caller == 'long' else COST)
        self.assertAlmostEqual(3.0, served['short'] / served['long'], delta=0.3)

    def test_newest_first_serves_the_last_that_came(self):
        queue = make_queue(order=queues.Order.NEWEST_FIRST)
        items = [ticket() for _ in range(3)]
        for item in items:
            queue.offer(item, 0.0)
        self.assertIs(items[2], queue.pop(0.0)[0])


class ShedTest(unittest.TestCase):

    def test_full_queue_gives_up_the_greedy_callers_newest(self):
        queue = make_queue(limit=4)
        mine = [ticket('greedy') for _ in range(4)]
        for item in mine:
            queue.offer(item, 0.0)
        shed = queue.offer(ticket('modest'), 0.0)
        self.assertEqual([mine[3]], [item.ticket for item in shed])
        self.assertIs(queues.Cut.FULL, shed[0].cut)

    def test_lower_class_keeps_its_room(self):
        queue = make_queue(limit=10)
        fill(queue, 'lab', 2, 1)
        fill(queue, 'shop', 0, 30)
        self.assertEqual([9, 0, 1], queue.lengths())

    def test_hopeless_request_is_refused_on_arrival(self):
        queue = make_queue(lanes=2)
        fill(queue, 'a', 1, 50)  # 50 * 4 ms over two lanes: 100 ms.
        shed = queue.offer(ticket('a', 1, deadline=90.0), 0.0)
        self.assertIs(queues.Cut.BACKLOG, shed[0].cut)
        self.assertEqual([], queue.offer(ticket('a', 1, deadline=120.0), 0.0))

    def test_standing_queue_is_kept_short(self):
        queue = make_queue(patience=0.25)
        fill(queue, 'a', 1, 50)
        soon = ticket('a', 1, deadline=200.0)
        self.assertEqual([], queue.offer(soon, 0.0))
        late = queues.STANDING_MS + 1.0
        standing = ticket('a', 1, deadline=late + 200.0)
        shed = queue.offer(standing, late)
        self.assertIs(queues.Cut.BACKLOG, shed[0].cut)

    def test_refused_requests_are_told_different_times(self):
        queue = make_queue(limit=10)
        fill(queue, 'a', 1, 10)
        told = [
            queue.offer(ticket('a'), 0.0)[0].retry_after_ms for _ in range(5)
        ]
        self.assertEqual(sorted(set(told)), told)
        self.assertGreaterEqual(told[0], 10 * COST / 2)

    def test_coming_back_as_told_finds_room(self):
        queue = make_queue(limit=10, lanes=1)
        fill(queue, 'a', 1, 10)
        told = queue.offer(ticket('a'), 0.0)[0].retry_after_ms
        now = 0.0
        while now < told:
            queue.pop(now)
            now += COST
        self.assertEqual([], queue.offer(ticket('a'), float(told)))

    def test_class_that_is_never_served_still_gets_an_answer(self):
        classes = (queues.ClassPolicy('urgent', 0, 0.0),
                   queues.ClassPolicy('sync', 6, 0.0, deferrable=True))
        queue = make_queue(limit=4, classes=classes)
        queue.offer(ticket('lab', 1), 0.0)
        for _ in range(40_000):
            queue.offer(ticket('shop', 0), 0.0)
            queue.pop(0.0)
        fill(queue, 'shop', 0, 3)
        told = queue.offer(ticket('lab', 1), 0.0)[0].retry_after_ms
        self.assertLessEqual(told, queues.MAX_RETRY_AFTER_MS)


class DifferentialTest(unittest.TestCase):
    """One lane at three times its capacity, beside the naive queue."""

    def run_lane(self, queue):
        """Returns late and timely runs, and what 'x' asked and waited."""
        generator = random.Random(7)
        now, arrival = 0.0, 0.0
        late, good, asked = 0, collections.Counter(), 0
        waits, came = [], {}
        while now < 4_000.0:
            while arrival <= now:
                item = ticket(generator.choice(['greedy'] * 10 + ['x', 'y']),
                              generator.choices([0, 1, 2], [15, 55, 30])[0],
                              arrival + 200.0, COST, COST)
                asked += item.caller == 'x'
                came[item] = arrival
                queue.offer(item, arrival)
                arrival += generator.expovariate(3 / COST)
            item, _ = queue.pop(now)
            if item is None:
                now = arrival
                continue
            if (item.caller, item.rank) == ('x', 0):
                waits.append(now - came[item])
            now += COST
            late += now > item.deadline
            good[item.caller] += now <= item.deadline
        return late, good, asked, max(waits)

    def test_beside_the_naive_queue(self):
        late, good, asked, wait = self.run_lane(Fifo())
        self.assertGreater(late, 800)  # The failure it is meant for.
        self.assertLess(good['x'], 0.2 * asked)
        self.assertGreater(wait, 1_000.0)
        late, good, asked, wait = self.run_lane(
            make_queue(limit=64, lanes=1, classes=STRICT))
        self.assertEqual(0, late)
        self.assertGreater(sum(good.values()), 970)
        self.assertGreater(good['x'], 0.95 * asked)
        self.assertLess(wait, 20 * COST)


if __name__ == '__main__':
    unittest.main()
