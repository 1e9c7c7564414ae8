"""Tests of values in the store that another writer may have put there."""

import json
import random
import unittest

from lentilmoor import clocks
from lentilmoor import connections
from lentilmoor import outcomes
from lentilmoor.edge import keyranges
from lentilmoor.edge import placement
from lentilmoor.edge import tables
from lentilmoor.platform import documents
from tests import oddvalues
from tests import platformhelp


class DocumentsTest(unittest.TestCase):

    def test_an_odd_registration_is_refused_before_a_connection_opens_it(self):
        valid = documents.parse_server('i',
                                       json.dumps(oddvalues.SERVER).encode(),
                                       0.0)
        self.assertIsInstance(valid, tables.Server)
        nested = [
            json.dumps(oddvalues.SERVER)[:-1].encode() + b',"L":' + item + b'}'
            for item in (oddvalues.NESTED, oddvalues.NESTED_OBJECTS)
        ]
        for data in (*oddvalues.ODD_BYTES, *nested,
                     *oddvalues.encode(oddvalues.ODD_SERVERS)):
            with self.subTest(data=data[:200]):
                self.assertIsInstance(documents.parse_server('i', data, 0.0),
                                      str)

    def test_each_address_that_is_taken_can_be_given_to_a_connection(self):
        for address in ('127.0.0.1:1', 'localhost:65535', 'a_b.example:9',
                        '[::1]:1', 'a' * 63 + ':1'):
            found = documents.parse_server(
                'i',
                json.dumps(oddvalues.SERVER | {
                    'Addr': address
                }).encode(), 0.0)
            self.assertEqual(found.address, address)
            connections.Pool(address, connections.PoolLimits(), clocks.Clock())
        result = connections.Pool('[::1]:1', connections.PoolLimits(),
                                  clocks.Clock()).acquire(True, True, 200.0)
        self.assertIsInstance(result, outcomes.Failed)

    def test_a_name_can_not_be_that_of_another_servers_lifetime(self):
        without = {
            name: value
            for name, value in oddvalues.SERVER.items()
            if name != 'born'
        }
        self.assertIsInstance(
            documents.parse_server('i@5',
                                   json.dumps(without).encode(), 0.0), str)

    def test_odd_configurations_are_refused(self):
        for data in (*oddvalues.ODD_BYTES, *oddvalues.ODD_CONFIGURATIONS):
            with self.subTest(data=data[:50]):
                self.assertIsInstance(documents.parse_configuration(data), str)

    def test_a_timeout_is_limited_to_what_a_socket_takes(self):
        fields = platformhelp.make_configuration(9)
        for timeout_ms in (3e9, 1e300):
            fields['Routes']['report']['TimeoutMs'] = timeout_ms
            found = documents.parse_configuration(json.dumps(fields).encode())
            self.assertEqual(found.routes['report'].timeout_ms, 2**31 - 1)

    def test_values_of_entries_are_read_or_raise_a_value_error(self):
        readers = (
            documents.read_peer, documents.read_assignment,
            lambda data: documents.read_suspect(b'', data, 1, clocks.Clock()))
        valid = (oddvalues.PEER, oddvalues.ASSIGNMENT, oddvalues.SUSPECT)
        odd = (oddvalues.ODD_PEERS, oddvalues.ODD_ASSIGNMENTS,
               oddvalues.ODD_SUSPECTS)
        for read, value, others in zip(readers, valid, odd, strict=True):
            read(json.dumps(value).encode())
            for data in (*oddvalues.ODD_BYTES, *oddvalues.encode(others)):
                with self.subTest(data=data[:200]):
                    with self.assertRaises(ValueError):
                        read(data)

    def test_an_assignment_is_read_as_it_was_written(self):
        assignment = keyranges.Assignment('x', 1, 3, (keyranges.KeyRange(
            0, 9, 'a', 1), keyranges.KeyRange(10, 19, 'b', 2)), {'a': 1.5},
                                          {'a': '127.0.0.1:5'}, 'e1', 4)
        found = documents.read_assignment(
            documents.write_assignment(assignment, 'm'))
        self.assertEqual(found, assignment)
        self.assertEqual((found.works, found.addresses, found.author),
                         (assignment.works, assignment.addresses, 'e1'))


class SlotsTest(unittest.TestCase):

    def _count_choices(self, states) -> dict[str, int]:
        servers = [
            tables.Server(name, 'x', f'{name}:1', 'd', slots, False, 0.0, 0.0)
            for name, slots in (('a', documents.MAX_SLOTS), ('b', 2), ('c', 2))
        ]
        generator = random.Random(1)
        counts = dict.fromkeys('abc', 0)
        for _ in range(3_000):
            choice = placement.choose_server(
                servers, states, placement.ChoiceCriteria('d', False, 50.0),
                1_000.0, generator.random)
            counts[choice.server.id] += 1
        return counts

    def test_most_slots_take_no_share_from_idle_or_faster_servers(self):
        for count in self._count_choices({}).values():
            self.assertGreater(count, 900)
        counts = self._count_choices({
            'a':
                placement.ServerState(inflight=100,
                                      work_ms=150.0,
                                      answer_count=100)
        })
        self.assertEqual(counts['a'], 0)
