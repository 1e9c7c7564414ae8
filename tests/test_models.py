"""Settings at the border: what is refused, with the line and field named."""

import unittest

import hypothesis
from hypothesis import strategies

from lentilmoor import documents
from lentilmoor import exceptions
from lentilmoor import models

_BRANCH = """\
team: shop  # A comment.
services:
  stock:
    classes: [{name: shop-floor}, {name: sync, priority: 5}]
    servers:
    - id: s-1  # First.
      address: 127.0.0.1:9001
      failure_domain: taipei-a
    - {id: s-2, address: '127.0.0.1:9002', failure_domain: taipei-b}
"""
_PROCESS = """\
instance: entry-1
region: north
failure_domain: taipei-a
callers: 127.0.0.1:0
peers: 127.0.0.1:0
relay: 127.0.0.1:0
admin: '[::1]:0'
store: {addresses: ['127.0.0.1:7000']}
peer_secret_file: secret
"""


def _problems(text, parse=models.parse_team):
    try:
        parse(text)
    except exceptions.SettingsError as error:
        return error.problems
    return []


class ParseTest(unittest.TestCase):

    def test_good_files(self):
        stock = models.parse_team(_BRANCH).services['stock']
        self.assertEqual([server.leaving for server in stock.servers],
                         [False, False])
        self.assertEqual(models.parse_process(_PROCESS).admin, '[::1]:0')

    def test_each_problem_names_its_line_and_field(self):
        text = _BRANCH.replace('127.0.0.1:9001', 'localhost:9001')
        text = text.replace('priority: 5', 'priority: high')
        problems = _problems(text)
        self.assertEqual(len(problems), 2)
        self.assertIn('line 4: services.stock.classes.1.priority', problems[0])
        self.assertIn('line 7: services.stock.servers.0.address', problems[1])
        self.assertIn('expected IP:port', problems[1])

    def test_malformed_yaml_names_its_line(self):
        problems = _problems(_BRANCH.replace('    servers:', '   servers:'))
        self.assertRegex(problems[0], r'line [4-6], column \d+: ')

    def test_wrong_fields(self):
        for old, new, expected in (
            ('stock:', 'Stock:', 'Stock'),
            ('id: s-1', 'id: s-2', 'ids must be unique'),
            ('9001', '9002', 'addresses must be unique'),
            ('id: s-1', 'id: 17', 'line 6: services.stock.servers.0.id'),
            ('classes', 'clases', 'Extra inputs'),
            ('{name: sync', '{name: shop-floor', 'class names'),
            ('  stock:', '  stock:\n    shards: true', 'shards'),
            ('  stock:', '  stock:\n    grants: {renew_ms: 400}', 'twice'),
            ('  stock:', '  stock:\n    limits: {deadline_ms: 70000}', 'most'),
            ('failure_domain: taipei-a', 'shard: 1', 'failure_domain'),
        ):
            text = _BRANCH.replace(old, new, 1)
            with self.subTest(new):
                self.assertIn(expected, ' '.join(_problems(text)))

    def test_process_file(self):
        for old, new, expected in (
            ('127.0.0.1:7000', '7000', 'line 8: store.addresses.0'),
            ('entry-1', 'Entry 1', 'line 1: instance'),
            ('peer_secret_file', 'peer_secret', 'peer_secret_file'),
            ('region', 'trace: {exporter: file}\nregion', 'needs a path'),
            ('127.0.0.1:0', '127.0.0.1:70000', 'expected IP:port'),
        ):
            with self.subTest(new):
                text = _PROCESS.replace(old, new, 1)
                problems = _problems(text, models.parse_process)
                self.assertIn(expected, ' '.join(problems))

    def test_documents_that_are_no_settings(self):
        deep = '[' * 20_000
        unfolding = 'a: &a [1, 1]\n' + ''.join(
            f'{chr(98 + i)}: &{chr(98 + i)} [*{chr(97 + i)}, *{chr(97 + i)}]\n'
            for i in range(24))
        for text in ('', '[]', 'team', '\x00', deep, unfolding, 'a: &a [*a]',
                     'a: 1\na: 2', '? [1]\n: 2', 'a: !!python/tuple []',
                     'x' * (models.MAX_BRANCH_BYTES + 1)):
            with self.subTest(text[:20]):
                self.assertTrue(_problems(text))

    def test_duplicate_key_names_its_line(self):
        problems = _problems(_BRANCH + '  stock: {}\n')
        self.assertEqual(problems, ["line 10, column 3: key 'stock' stands "
                                    'twice'])  # yapf: disable

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(strategies.text(max_size=40), strategies.integers(0, 300))
    def test_any_text_parses_or_is_refused(self, text, at):
        _problems(_BRANCH[:at] + text + _BRANCH[at:])


class SetFlagTest(unittest.TestCase):

    def test_only_the_flag_changes(self):
        for index, style in enumerate(('block', 'flow')):
            with self.subTest(style):
                path = ('services', 'stock', 'servers', index)
                text = documents.set_flag(_BRANCH, path, 'leaving', True)
                servers = models.parse_team(text).services['stock'].servers
                self.assertEqual([server.leaving for server in servers],
                                 [index == 0, index == 1])
                self.assertIn('# First.', text)
                back = documents.set_flag(text, path, 'leaving', False)
                self.assertEqual(models.parse_team(back),
                                 models.parse_team(_BRANCH))

    def test_characters_outside_ascii_and_the_basic_plane(self):
        text = _BRANCH.replace('A comment', '鈦粉 𝄞 é')
        path = ('services', 'stock', 'servers', 1)
        text = documents.set_flag(text, path, 'leaving', True)
        servers = models.parse_team(text).services['stock'].servers
        self.assertTrue(servers[1].leaving)

    def test_no_such_mapping(self):
        for path in (('services', 'x'), ('services', 'stock', 'servers', 7),
                     ('team',)):
            self.assertIsNone(documents.set_flag(_BRANCH, path, 'leaving',
                                                 True))
