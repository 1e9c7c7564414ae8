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
from tests import platformhelp

_SERVER = {
    'Service': 'x',
    'Addr': '127.0.0.1:5',
    'Zone': 'a',
    'Version': 'v1',
    'Slots': 2,
    'State': 'ready',
    'WarmupLeftMs': 0,
    'Seq': 1,
    'born': 5
}
_PEER = ['e', '127.0.0.1:5', False, 'a']
_ASSIGNMENT = {
    'service': 'x',
    'term': 1,
    'next_fence': 3,
    'ranges': [[0, 9, 'a', 1], [10, 19, 'b', 2]],
    'works': {
        'a': 1.5
    },
    'addresses': {
        'a': '127.0.0.1:5'
    },
    'author': 'e1',
    'era': 0,
    'mark': 'm'
}
_SUSPECT = ['x', [['a', 5.0]], {'t': 5.0}, False]
_NESTED = b'[' * 100_000 + b']' * 100_000
_NESTED_OBJECTS = b'{"a":' * 3_000 + b'1' + b'}' * 3_000
_LARGE = 10**30

_ODD_ADDRESSES = ('127.0.0.1:0', '127.0.0.1:65536', '127.0.0.1:99999',
                  '127.0.0.1:080', '127.0.0.1:' + '9' * 25, '127.0.0.1:' +
                  '9' * 5_000, '127.0.0.1:-1', '127.0.0.1:', '127.0.0.1', ':80',
                  '', '[::1:80', '::1:80', '[1]:80', 'a' * 300 + '.example:80',
                  'a.' * 150 + 'b:80', 'a..b:80', '.a:80', 'a\0b:80', 'a b:80',
                  'a:80\n', '\u0661.0.0.1:80', '127.0.0.1:\u0668\u0660',
                  '\u00e4.example:80', 'user@127.0.0.1:80', '127.0.0.1/x:80',
                  '127.0.0.1:80:81', 'a:8\r\nX:1')
# Bytes that are no value of any key.
_ODD_BYTES = (b'', b'\xff\x00', b'{', b'null', b'7', b'"x"', b'[]', b'{}',
              b'[null, null, null, null]', b'"\\ud800"', b'NaN', b'1e400',
              b'1' + b'0' * 5_000, _NESTED, _NESTED_OBJECTS, b'x' * 1_000_000)
_ODD_SERVERS = [
    _SERVER | fields for fields in (
        *({
            'Addr': address
        } for address in _ODD_ADDRESSES),
        *({
            name: value
        }
          for name in ('Slots', 'Seq', 'born')
          for value in (_LARGE, -_LARGE, 2**53, 2**63, 2**64, -5, 1.5, '1',
                        True, [])),
        {
            'Slots': 0
        },
        {
            'Slots': documents.MAX_SLOTS + 1
        },
        {
            'WarmupLeftMs': 1e308
        },
        {
            'WarmupLeftMs': -1e308
        },
        {
            'WarmupLeftMs': 2**31
        },
        *({
            name: 'x' * 257
        } for name in ('Service', 'Zone', 'Version')),
    )
]
_ODD_PEERS = [
    *([_PEER[0], address, *_PEER[2:]] for address in _ODD_ADDRESSES),
    ['', *_PEER[1:]], ['e' * 257, *_PEER[1:]], [*_PEER[:3], 'a' * 257],
    _PEER[:2], [*_PEER[:2], 1, 'a']
]
_ODD_ASSIGNMENTS = [
    _ASSIGNMENT | fields for fields in (
        *({
            'addresses': {
                'a': address
            }
        } for address in _ODD_ADDRESSES),
        *({
            name: value
        }
          for name in ('term', 'next_fence', 'era')
          for value in (_LARGE, -1, 2**63, 1.5, '1')),
        *({
            'ranges': ranges
        } for ranges in ([[9, 0, 'a', 1]], [[0, 65_536, 'a', 1]],
                         [[-1, 5, 'a', 1]], [[0, 9, 'a', 1], [9, 19, 'b', 2]],
                         [[10, 19, 'a', 1], [0, 9, 'b', 2]],
                         [[0, _LARGE, 'a', 1]], [[0, 9, 'a', _LARGE]],
                         [[0, 9, 7, 1]])),
        *({
            'works': {
                'a': value
            }
        } for value in (1e308, -1.0, None)),
    )
]
_ODD_SUSPECTS = [['x', [['a', 1e308]], {}, False],
                 ['x', [['a', -1e308]], {}, False],
                 ['x', [], {
                     't': 1e308
                 }, False], ['x', [], {
                     't' * 257: 5.0
                 }, False], ['x' * 257, [], {}, False],
                 ['x', [['a' * 257, 5.0]], {}, False]]


def _encode(values) -> list[bytes]:
    return [json.dumps(value).encode() for value in values]


def _make_odd_configurations() -> list[bytes]:
    fields = platformhelp.make_configuration(9)
    text = json.dumps(fields)
    route = fields['Routes']['report']
    name = 'TimeoutMs'
    found = [
        text.replace(f'"{name}": {json.dumps(route[name])}', f'"{name}": {odd}')
        for odd in ('0', '-1', '"nan"', 'NaN', '1' + '0' * 5_000)
    ]
    found.append(text.replace('"Version": 9', f'"Version": {_LARGE}'))
    assert all(item != text for item in found)
    return [item.encode() for item in found
           ] + [text.encode()[:-1] + b',"L":' + _NESTED + b'}']


class DocumentsTest(unittest.TestCase):

    def test_an_odd_registration_is_refused_before_a_connection_opens_it(self):
        valid = documents.parse_server('i', json.dumps(_SERVER).encode(), 0.0)
        self.assertIsInstance(valid, tables.Server)
        nested = [
            json.dumps(_SERVER)[:-1].encode() + b',"L":' + item + b'}'
            for item in (_NESTED, _NESTED_OBJECTS)
        ]
        for data in (*_ODD_BYTES, *nested, *_encode(_ODD_SERVERS)):
            with self.subTest(data=data[:200]):
                self.assertIsInstance(documents.parse_server('i', data, 0.0),
                                      str)

    def test_each_address_that_is_taken_can_be_given_to_a_connection(self):
        for address in ('127.0.0.1:1', 'localhost:65535', 'a_b.example:9',
                        '[::1]:1', 'a' * 63 + ':1'):
            found = documents.parse_server(
                'i',
                json.dumps(_SERVER | {
                    'Addr': address
                }).encode(), 0.0)
            self.assertEqual(found.address, address)
            connections.Pool(address, connections.PoolLimits(), clocks.Clock())
        result = connections.Pool('[::1]:1', connections.PoolLimits(),
                                  clocks.Clock()).acquire(True, True, 200.0)
        self.assertIsInstance(result, outcomes.Failed)

    def test_a_name_can_not_be_that_of_another_servers_lifetime(self):
        without = {
            name: value for name, value in _SERVER.items() if name != 'born'
        }
        self.assertIsInstance(
            documents.parse_server('i@5',
                                   json.dumps(without).encode(), 0.0), str)

    def test_odd_configurations_are_refused(self):
        for data in (*_ODD_BYTES, *_make_odd_configurations()):
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
        valid = (_PEER, _ASSIGNMENT, _SUSPECT)
        odd = (_ODD_PEERS, _ODD_ASSIGNMENTS, _ODD_SUSPECTS)
        for read, value, others in zip(readers, valid, odd, strict=True):
            read(json.dumps(value).encode())
            for data in (*_ODD_BYTES, *_encode(others)):
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
