"""Tests of settings in force: never an older version, never a broken one."""

import dataclasses
import random
import unittest

from lentilmoor import branches
from lentilmoor import clocks
from lentilmoor import controltables
from lentilmoor import evidence
from lentilmoor import gossip
from lentilmoor import inbox
from lentilmoor import models
from lentilmoor import settingswork
from lentilmoor import shardclaims
from lentilmoor import stores
from lentilmoor import tables as rows
from tests import pathhelp

_TEXT = """\
team: shop
services:
  stock:
    servers:
    - {id: a, address: '127.0.0.1:9001', failure_domain: d}
"""
_KEY = branches.make_key('shop')
_NOW = 1_000.0


def _make_tables() -> controltables.ControlTables:
    clock = clocks.ManualTime(_NOW).clock()
    own = rows.Instance(pathhelp.ENTRY_ID, 'x:1', 'x:2', 'north', 'd')
    settings = models.ProcessSettings(
        instance='e1',
        region='north',
        failure_domain='d',
        callers='127.0.0.1:0',
        peers='127.0.0.1:0',
        relay='127.0.0.1:0',
        admin='127.0.0.1:0',
        store=models.StoreSettings(addresses=['127.0.0.1:1']),
        peer_secret_file='none')
    calls = controltables.Calls(
        **{
            field.name: lambda *_: True
            for field in dataclasses.fields(controltables.Calls)
        })
    return controltables.ControlTables(
        own=own,
        settings=settings,
        clock=clock,
        calls=calls,
        dispatcher=pathhelp.make_dispatcher(
            pathhelp.make_snapshot(pathhelp.make_settings()), clock),
        gossip=gossip.make_gossip(own, 1, _NOW, random.Random(1)),
        liveness=evidence.LivenessTable(own.id, 'd'),
        claims=shardclaims.ShardClaims(clock, lambda *_: None))


class SettingsTest(unittest.TestCase):

    def setUp(self):
        super().setUp()
        self.tables = _make_tables()

    def _find(self, version, text=_TEXT, key=_KEY, value=None):
        header = branches.Header(number=version, author='ops', at_ms=0.0)
        value = value if value is not None else branches.dump(header, text)
        record = stores.Record(key, value, version)
        settingswork.take_found(self.tables, inbox.BranchesFound((record,)),
                                _NOW)

    def _services(self):
        return set(self.tables.dispatcher.snapshot.services)

    def test_a_newer_version_comes_into_force(self):
        self._find(3)
        self.assertEqual(self._services(), {('shop', 'stock')})
        self.assertEqual(set(self.tables.shards), {'shop/stock/0'})
        self._find(4, _TEXT.replace('stock', 'parts'))
        self.assertEqual(self._services(), {('shop', 'parts')})
        self.assertEqual(set(self.tables.shards), {'shop/parts/0'})

    def test_an_older_version_never_does(self):
        self._find(4)
        for version in (1, 3, 4):
            self._find(version, _TEXT.replace('stock', 'parts'))
            self.assertEqual(self._services(), {('shop', 'stock')})
            self.assertEqual(self.tables.branches['shop'].version, 4)

    def test_a_value_that_does_not_parse_keeps_the_last_good_one(self):
        self._find(3)
        bad = (b'', b'\xff\xfe', b'no header', b'{"number": 1}\nteam: shop',
               branches.dump(branches.Header(number=4, author='ops', at_ms=0.0),
                             _TEXT.replace('stock', 'Not A Name')))
        for version, value in enumerate(bad, 4):
            self._find(version, value=value)
            self.assertEqual(self._services(), {('shop', 'stock')}, value)
            self.assertEqual(self.tables.branches['shop'].version, 3)
            self.assertIn('shop', self.tables.problems)
        self._find(50, _TEXT.replace('stock', 'parts'))
        self.assertEqual(self._services(), {('shop', 'parts')})
        self.assertEqual(self.tables.problems, {})

    def test_a_branch_of_another_team_in_ones_key_is_refused(self):
        self._find(3, key=branches.make_key('other'))
        self.assertNotIn('shop', self.tables.branches)
        self.assertNotIn('other', self.tables.branches)
        self.assertEqual(self.tables.shards, {})

    def test_a_change_of_one_team_leaves_another_alone(self):
        self._find(3)
        state = self.tables.shards['shop/stock/0']
        self._find(1, _TEXT.replace('shop', 'cafe'), branches.make_key('cafe'))
        self.assertIs(self.tables.shards['shop/stock/0'], state)
        self.assertIn(('cafe', 'stock'), self._services())

    def test_servers_that_went_are_forgotten(self):
        self._find(3)
        self._find(4, _TEXT.replace('id: a', 'id: b').replace('9001', '9002'))
        self.assertEqual(set(self.tables.liveness.servers),
                         {('shop/stock/0', 'b')})

    def test_the_stores_silence_is_noted_and_changes_nothing(self):
        self._find(3)
        settingswork.take_store(self.tables, inbox.StoreSeen(False), _NOW)
        self.assertFalse(self.tables.store_answers)
        self.assertEqual(self._services(), {('shop', 'stock')})


class UnknownRecordTest(unittest.TestCase):

    def test_other_keys_are_no_branches(self):
        for key in ('teams/x', 'teams/../branch', 'shards/shop',
                    'teams//branch', 'teams/Shop/branch'):
            self.assertIsNone(branches.read_team(key), key)


if __name__ == '__main__':
    unittest.main()
