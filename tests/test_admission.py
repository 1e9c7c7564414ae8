"""Tests of the gates that threads pass."""

import threading
import unittest

from lentilmoor import admission
from lentilmoor import outcomes
from lentilmoor import queues

CLASSES = (queues.ClassPolicy('urgent', 0), queues.ClassPolicy('sync', 5))
FAR = 60_000.0


def make_gate(**changes) -> admission.Gate:
    settings = admission.GateSettings(CLASSES, **changes)
    return admission.Gate('s1', settings)


def ticket(caller='a', rank=0, deadline=FAR, least=0.0) -> queues.Ticket:
    return queues.Ticket(caller, rank, deadline, 1.0, least)


class Entered(threading.Thread):
    """A thread that enters a gate and keeps its verdict."""

    def __init__(self, gate, item, now=0.0):
        super().__init__(daemon=True)
        self.gate = gate
        self.item = item
        self.now = now
        self.verdict = None
        before = gate.queued
        self.start()
        while gate.queued == before and self.is_alive():
            self.join(0.001)

    def run(self):
        self.verdict = self.gate.enter(self.item, self.now)

    def get(self):
        self.join(10)
        return self.verdict


class GateTest(unittest.TestCase):

    def test_slot_is_handed_to_the_urgent_waiter_first(self):
        gate = make_gate(slots=1, pipeline=0)
        held = gate.enter(ticket(), 0.0)
        late = Entered(gate, ticket('b', rank=1))
        urgent = Entered(gate, ticket('c', rank=0))
        gate.leave(held, 1.0, 1.0)
        got = urgent.get()
        self.assertIsInstance(got, admission.Slot)
        self.assertIsNone(late.verdict)
        gate.leave(got, 1.0, 2.0)
        self.assertIsInstance(late.get(), admission.Slot)

    def test_past_deadline_is_refused_even_when_the_server_is_idle(self):
        gate = make_gate()
        verdict = gate.enter(ticket(deadline=10.0), 11.0)
        self.assertEqual(outcomes.Reason.DEADLINE_PASSED, verdict.reason)
        self.assertEqual(0, gate.in_flight)

    def test_eviction_answers_all_waiters_as_not_run(self):
        gate = make_gate(slots=1, pipeline=0)
        gate.enter(ticket(), 0.0)
        waiting = [Entered(gate, ticket(str(i))) for i in range(3)]
        self.assertEqual(3, gate.evict(outcomes.Reason.SUPERSEDED, 'moved'))
        reasons = {thread.get().reason for thread in waiting}
        self.assertEqual({outcomes.Reason.SUPERSEDED}, reasons)

    def test_waiter_is_refused_when_it_can_no_longer_finish(self):
        gate = make_gate(slots=1, pipeline=0)
        gate.enter(ticket(), 0.0)
        verdict = gate.enter(ticket(deadline=30.0, least=10.0), 0.0)
        self.assertEqual(outcomes.Reason.DEADLINE_PASSED, verdict.reason)
        self.assertGreater(verdict.retry_after_ms, 0)
        self.assertEqual(0, gate.queued)

    def test_refusal_comes_at_once_when_the_queue_is_full(self):
        gate = make_gate(slots=1, pipeline=0, queue_limit=1)
        gate.enter(ticket(), 0.0)
        first = Entered(gate, ticket('a'))
        verdict = gate.enter(ticket('a'), 0.0)
        self.assertEqual(outcomes.Reason.OVERLOADED, verdict.reason)
        self.assertIsNone(first.verdict)
        gate.evict(outcomes.Reason.SHUTTING_DOWN, 'end of the test')

    def test_crowded_server_leaves_threads_for_the_others(self):
        pool = admission.Pool(6)
        settings = admission.GateSettings(CLASSES, slots=1, pipeline=0)
        gates = [admission.Gate(str(i), settings, pool) for i in range(2)]
        for gate in gates:
            gate.enter(ticket(), 0.0)
        refused = [
            thread
            for thread in [Entered(gates[0], ticket(str(i))) for i in range(6)]
            if not thread.is_alive()
        ]
        self.assertEqual(3, gates[0].queued)
        self.assertEqual(3, len(refused))
        Entered(gates[1], ticket())
        self.assertEqual(1, gates[1].queued)
        for gate in gates:
            gate.evict(outcomes.Reason.SHUTTING_DOWN, 'end of the test')

    def test_many_threads_never_pass_the_limit(self):
        gate = make_gate(slots=2, pipeline=1)
        inside, most, ended = [], [], []

        def carry(name):
            for _ in range(200):
                slot = gate.enter(ticket(name), 0.0)
                inside.append(name)
                most.append(len(inside))
                inside.pop()
                ended.append(slot)
                gate.leave(slot, 1.0, 0.0)

        threads = [
            threading.Thread(target=carry, args=(str(i),)) for i in range(8)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(60)
        self.assertEqual(1_600, len(ended))
        self.assertLessEqual(max(most), 3)
        self.assertEqual((0, 0), (gate.in_flight, gate.queued))


if __name__ == '__main__':
    unittest.main()
