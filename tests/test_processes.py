"""Tests of whole deployments of real processes under single faults.

Every verdict is about facts: what callers were told and what the servers'
journals say. Waiting is for conditions, with limits that only end a hang.
"""

import hashlib
import json
import signal
import threading
import unittest

import urllib3

from standins import fleet as fleets
from standins import traffic
from tests import processhelp

_DOCUMENT_BYTES = 100_000_000
_MEMORY_BOUND_KB = 48 * 1024
# Two servers of two slots start at most twelve of these in time.
_FLOOD_ORDERS = 36
_FLOOD_RUN_MS = 800
_FLOOD_DEADLINE_MS = 2_000
_KEYS = [f'lot-{number}' for number in range(40)]


class PathTest(processhelp.FleetCase):

    def test_all_entries_reach_the_one_owner(self):
        servers = {
            processhelp.read_lot(address, 'k').server
            for address in self.fleet.callers
        }
        self.assertEqual(len(servers), 1)
        self.assertTrue(servers <= set(processhelp.KEYED))

    def test_a_body_arrives_whole(self):
        body = bytes(range(256)) * 8_000
        told = processhelp.call(self.entry().callers,
                                'POST',
                                processhelp.LOTS,
                                body,
                                Lentilmoor_Key='k')
        self.assertEqual(told.outcome, 'answered')
        self.assertEqual(
            json.loads(told.body)['sha256'],
            hashlib.sha256(body).hexdigest())

    def test_a_resend_gets_the_first_answer_and_does_not_run(self):
        first = self.await_order('resend', 0)
        for index in (1, 2, 0):
            again = processhelp.send_order(self.entry(index).callers, 'resend')
            self.assertEqual((again.outcome, again.body),
                             ('answered', first.body))
        self.assertEqual(self.count_runs('resend'), 1)

    def test_orders_beyond_capacity_are_told_truly(self):
        told = {}

        def send(number):
            name = f'flood-{number}'
            told[name] = processhelp.call(
                self.fleet.callers[number % 3],
                'POST',
                f'{processhelp.CONFIRM}?ms={_FLOOD_RUN_MS}',
                b'2 drums',
                Idempotency_Key=name,
                Lentilmoor_Caller=f'shop-{number % 4}',
                Lentilmoor_Deadline_Ms=str(_FLOOD_DEADLINE_MS))

        threads = [
            threading.Thread(target=send, args=(number,))
            for number in range(_FLOOD_ORDERS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.await_order('after-the-flood')
        runs = {name: self.count_runs(name) for name in told}
        outcomes = {item.outcome for item in told.values()}
        self.assertIn('not-run', outcomes)
        self.assertLessEqual(outcomes, {'answered', 'not-run', 'unknown'})
        for name, item in told.items():
            with self.subTest(order=name, told=item):
                self.assertLessEqual(runs[name], 1)
                if item.outcome == 'answered':
                    self.assertEqual(runs[name], 1)
                if item.outcome == 'not-run':
                    self.assertEqual(runs[name], 0)

    def test_a_document_passes_in_flat_memory(self):
        entry = self.entry()
        self.await_lot('document')
        before = processhelp.read_memory_kb(entry.process)
        answer = urllib3.request(
            'GET',
            f'http://{entry.callers}{processhelp.LOTS}?bytes={_DOCUMENT_BYTES}',
            headers={'Lentilmoor-Key': 'document'},
            preload_content=False,
            retries=False)
        size = sum(len(chunk) for chunk in answer.stream(65_536))
        self.assertEqual(size, _DOCUMENT_BYTES)
        sent = urllib3.request('POST',
                               f'http://{entry.callers}{processhelp.LOTS}',
                               headers={
                                   'Lentilmoor-Key': 'document',
                                   'Lentilmoor-Deadline-Ms': '60000'
                               },
                               body=(b'x' * 50_000 for _ in range(2_000)),
                               retries=False)
        self.assertEqual(sent.json()['bytes'], _DOCUMENT_BYTES)
        grown = processhelp.read_memory_kb(entry.process) - before
        self.assertLess(grown, _MEMORY_BOUND_KB)

    def test_settings_race_is_lost_by_one_with_the_version_in_force(self):
        path = f'/teams/{processhelp.TEAM}/branch'
        tag = self.manage(self.entry(), 'GET', path).headers['ETag']
        answers = []

        def put(index):
            answers.append(
                self.manage(self.entry(index),
                            'PUT',
                            path,
                            body=self.write_branch(f'# by {index}\n'),
                            headers={'If-Match': tag}))

        threads = [threading.Thread(target=put, args=(n,)) for n in (0, 1)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        won, lost = sorted(answers, key=lambda answer: answer.status)
        self.assertEqual((won.status, lost.status), (200, 412))
        self.assertEqual(lost.headers['ETag'], won.headers['ETag'])
        self.assertNotEqual(won.headers['ETag'], tag)
        for index in range(3):
            shown = self.manage(self.entry(index), 'GET', path)
            self.assertEqual(shown.headers['ETag'], won.headers['ETag'])

    def test_a_team_cannot_touch_anothers_branch(self):
        token = fleets.make_token(self.fleet, processhelp.OTHER_TEAM)
        path = f'/teams/{processhelp.TEAM}/branch'
        body = self.write_branch('# by another\n')
        before = self.manage(self.entry(), 'GET', path)
        for index in range(3):
            entry = self.entry(index)
            shown = self.manage(entry, 'GET', path, token=token)
            put = self.manage(entry,
                              'PUT',
                              path,
                              token=token,
                              body=body,
                              headers={'If-Match': before.headers['ETag']})
            self.assertEqual({shown.status, put.status} & {200, 201}, set())
            self.assertNotIn(b'catalogue', shown.data)
        after = self.manage(self.entry(), 'GET', path)
        self.assertEqual(after.headers['ETag'], before.headers['ETag'])

    def test_a_drained_server_gets_no_new_work(self):
        path = (f'/teams/{processhelp.TEAM}/services/catalogue/servers/'
                'c1/drain')
        self.assertEqual(self.manage(self.entry(), 'POST', path).status, 200)
        self.addCleanup(self.await_mended)
        self.addCleanup(self.manage, self.entry(), 'DELETE', path)
        processhelp.poll(lambda: 'c1' not in self._list_servers(),
                         'keys moved away from c1')
        before = len(self.list_runs('c1'))
        for _ in range(3):
            self.assertNotIn('c1', self._list_servers())
        self.assertEqual(len(self.list_runs('c1')), before)

    def _list_servers(self):
        """Returns which servers answer, through all entries."""
        return {
            processhelp.read_lot(address, key).server
            for address in self.fleet.callers
            for key in _KEYS
        }


class FaultTest(processhelp.FleetCase):

    def _start_traffic(self):
        callers = traffic.Traffic(lambda: self.fleet.callers, 6, 5.0, 1)
        callers.start()
        self.addCleanup(callers.stop)
        return callers

    def _await_answers(self, callers, count):
        """Waits until so many more requests have been answered."""
        begin = len(callers.sent)
        processhelp.poll(
            lambda: sum(item.outcome == 'answered'
                        for item in callers.sent[begin:]) >= count, 'answers')

    def _assert_whole(self, callers):
        cut = [
            item for item in callers.sent
            if item.outcome == 'answered' and not item.whole
        ]
        self.assertEqual(cut, [])

    def _restart(self, servers):
        for server in servers:
            fleets.start_server(self.fleet, server)
        self.await_mended()

    def test_the_keys_of_a_killed_server_are_served_by_others(self):
        callers = self._start_traffic()
        victim = self.await_lot('k')
        fleets.kill(self.fleet.servers[victim])
        self.addCleanup(self._restart, [victim])
        for key in _KEYS:
            self.assertNotEqual(self.await_lot(key), victim)
        self._await_answers(callers, 100)
        callers.stop()
        self._assert_whole(callers)

    def test_a_frozen_server_that_returns_owns_nothing(self):
        callers = self._start_traffic()
        victim = self.await_lot('k')
        process = self.fleet.servers[victim]
        self._await_answers(callers, 50)
        process.send_signal(signal.SIGSTOP)
        self.addCleanup(process.send_signal, signal.SIGCONT)
        processhelp.poll(lambda: self.await_lot('k') != victim, 'a new owner')
        self._await_answers(callers, 100)
        process.send_signal(signal.SIGCONT)
        self._await_answers(callers, 200)
        callers.stop()
        self._assert_whole(callers)

    def test_an_order_whose_entry_is_killed_runs_once_at_most(self):
        victim = self.entry()
        thread = threading.Thread(target=processhelp.send_order,
                                  args=(victim.callers, 'orphan', '?ms=1500'))
        thread.start()
        processhelp.poll(lambda: self.count_runs('orphan'), 'the order runs')
        fleets.kill(victim.process)
        thread.join()
        self.fleet.entries.pop(victim.name)
        self.addCleanup(fleets.start_entry, self.fleet, 'entry-4')
        told = [
            processhelp.send_order(
                self.entry(index % 2).callers, 'orphan', '?ms=1500')
            for index in range(6)
        ]
        self.assertNotIn('lost', {item.outcome for item in told})
        self.assertNotIn('not-run', {item.outcome for item in told})
        self.assertEqual(self.count_runs('orphan'), 1)
        self.await_order('after-the-kill')

    def test_silent_connections_cost_no_request_its_answer(self):
        for key in _KEYS:
            self.await_lot(key)
        for server in processhelp.KEYED:
            address = self.fleet.addresses[server]
            answer = urllib3.request('POST',
                                     f'http://{address}/control/silence')
            self.assertEqual(answer.status, 200)
        for index in range(3):
            for key in _KEYS:
                self.await_lot(key, index)

    def test_a_graceful_end_under_traffic_loses_nothing(self):
        callers = self._start_traffic()
        self._await_answers(callers, 100)
        leaving = self.entry()
        leaving.process.send_signal(signal.SIGTERM)
        # As the balancer does: no new callers once it is not ready.
        processhelp.poll(lambda: not _is_ready(leaving), 'not ready')
        self.fleet.entries.pop(leaving.name)
        self.addCleanup(fleets.start_entry, self.fleet, 'entry-5')
        self.assertEqual(leaving.process.wait(processhelp.PATIENCE_S), 0)
        self._await_answers(callers, 100)
        callers.stop()
        self._assert_whole(callers)
        broken = {'connection-lost', 'answer-cut', 'shutting-down'}
        lost = [
            item for item in callers.sent
            if item.outcome == 'lost' or item.reason in broken
        ]
        self.assertEqual(lost, [])

    def test_reads_go_on_while_the_store_is_down_and_no_order_runs_twice(self):
        self.await_order('before')
        self.set_store(outage=True)
        self.addCleanup(self.set_store, outage=False)
        for index in range(3):
            for key in _KEYS:
                self.await_lot(key, index)
        told = [
            processhelp.send_order(self.entry(index % 3).callers, 'outage')
            for index in range(6)
        ]
        self.assertTrue({item.outcome for item in told}
                        <= {'not-run', 'unknown'}, told)
        self.assertEqual(self.count_runs('outage'), 0)
        self.set_store(outage=False)
        self.await_order('after')
        self.assertEqual(self.count_runs('after'), 1)

    def test_a_request_that_crashes_servers_is_stopped_after_two(self):
        entries = self.fleet.callers
        before = self._list_ended()
        told = []

        def is_blocked():
            address = entries[len(told) % len(entries)]
            told.append(processhelp.read_lot(address, 'killer', '?crash=1'))
            # Unknown is right for one that has just crashed a server.
            return (told[-1].outcome, told[-1].reason) == ('not-run',
                                                           'quarantined')

        processhelp.poll(is_blocked, 'it is quarantined')
        crashed = self._list_ended() - before
        self.addCleanup(lambda: self._restart(self._list_ended()))
        self.assertTrue(1 <= len(crashed) <= 2, crashed)
        for address in entries * 3:
            processhelp.read_lot(address, 'killer', '?crash=1')
        self.assertEqual(self._list_ended() - before, crashed)
        self.assertNotIn(self.await_lot('killer'), crashed)

    def _list_ended(self):
        return {
            name for name, process in self.fleet.servers.items()
            if process.poll() is not None
        }


def _is_ready(entry):
    try:
        answer = urllib3.request('GET',
                                 f'http://{entry.admin}/readyz',
                                 retries=False)
    except urllib3.exceptions.HTTPError:
        return False
    return answer.status == 200


if __name__ == '__main__':
    unittest.main()
