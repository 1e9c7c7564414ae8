"""Values and keys that another writer may have put in the store."""

import dataclasses
import json

from lentilmoor.platform import documents
from tests import platformhelp

SERVER = {
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
PEER = ['e', '127.0.0.1:5', False, 'a']
ASSIGNMENT = {
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
SUSPECT = ['x', [['a', 5.0]], {'t': 5.0}, False]
NESTED = b'[' * 100_000 + b']' * 100_000
NESTED_OBJECTS = b'{"a":' * 3_000 + b'1' + b'}' * 3_000
_LARGE = 10**30

ODD_ADDRESSES = ('127.0.0.1:0', '127.0.0.1:65536', '127.0.0.1:99999',
                 '127.0.0.1:080', '127.0.0.1:' + '9' * 25, '127.0.0.1:' +
                 '9' * 5_000, '127.0.0.1:-1', '127.0.0.1:', '127.0.0.1', ':80',
                 '', '[::1:80', '::1:80', '[1]:80', 'a' * 300 + '.example:80',
                 'a.' * 150 + 'b:80', 'a..b:80', '.a:80', 'a\0b:80', 'a b:80',
                 'a:80\n', '\u0661.0.0.1:80', '127.0.0.1:\u0668\u0660',
                 '\u00e4.example:80', 'user@127.0.0.1:80', '127.0.0.1/x:80',
                 '127.0.0.1:80:81', 'a:8\r\nX:1')
# Bytes that are no value of any key.
ODD_BYTES = (b'', b'\xff\x00', b'{', b'null', b'7', b'"x"', b'[]', b'{}',
             b'[null, null, null, null]', b'"\\ud800"', b'NaN', b'1e400',
             b'1' + b'0' * 5_000, NESTED, NESTED_OBJECTS, b'x' * 1_000_000)
ODD_SERVERS = [
    SERVER | fields for fields in (
        *({
            'Addr': address
        } for address in ODD_ADDRESSES),
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
ODD_PEERS = [
    *([PEER[0], address, *PEER[2:]] for address in ODD_ADDRESSES),
    ['', *PEER[1:]], ['e' * 257, *PEER[1:]], [*PEER[:3], 'a' * 257], PEER[:2],
    [*PEER[:2], 1, 'a']
]
ODD_ASSIGNMENTS = [
    ASSIGNMENT | fields for fields in (
        *({
            'addresses': {
                'a': address
            }
        } for address in ODD_ADDRESSES),
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
ODD_SUSPECTS = [['x', [['a', 1e308]], {}, False],
                ['x', [['a', -1e308]], {}, False],
                ['x', [], {
                    't': 1e308
                }, False], ['x', [], {
                    't' * 257: 5.0
                }, False], ['x' * 257, [], {}, False],
                ['x', [['a' * 257, 5.0]], {}, False]]


def encode(values: list) -> list[bytes]:
    """Returns values as they are written to the store."""
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
           ] + [text.encode()[:-1] + b',"L":' + NESTED + b'}']


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of value in the store.

    Attributes:
      key: A key.
      valid: A valid value of it.
      odd: Values that must be refused.
      field: The field of a snapshot that has the valid value.
      name: Its name there.
    """

    key: str
    valid: bytes
    odd: list[bytes]
    field: str
    name: str


def _make_kind(key: str, valid: object, odd: list, field: str,
               name: str) -> Kind:
    return Kind(key, json.dumps(valid).encode(), encode(odd), field, name)


_FINGERPRINT = 'f' * 32
KINDS = (
    _make_kind('servers/i', SERVER, ODD_SERVERS, 'servers', 'i@5'),
    _make_kind('lentilmoor/entry/e', PEER, ODD_PEERS, 'entries', 'e'),
    _make_kind('lentilmoor/coordinator/x', PEER, ODD_PEERS, 'coordinators',
               'x'),
    _make_kind('lentilmoor/assignment/x', ASSIGNMENT, ODD_ASSIGNMENTS,
               'assignments', 'x'),
    _make_kind(f'lentilmoor/suspect/{_FINGERPRINT}', SUSPECT, ODD_SUSPECTS,
               'suspects', _FINGERPRINT),
)
CONFIGURATION = json.dumps(platformhelp.make_configuration(9)).encode()
ODD_CONFIGURATIONS = _make_odd_configurations()
ODD_KEYS = ('servers/', 'servers/\u0661', 'servers/a b', 'servers/a\r\nb',
            'servers/\ud800', 'servers/' + 'a' * 5_000, 'lentilmoor/entry/',
            'lentilmoor/coordinator/\ud800', 'lentilmoor/assignment/\0',
            'lentilmoor/suspect/', 'lentilmoor/suspect/xyz',
            'lentilmoor/suspect/' + 'g' * 32)
