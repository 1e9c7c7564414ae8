"""Tests of the pick of a route: by lease, map, home and liveness."""

import unittest

from lentilmoor import outcomes
from lentilmoor import routes
from lentilmoor import slices
from lentilmoor import tables
from tests import pathhelp

_Reason = outcomes.Reason
_SETTINGS = pathhelp.make_settings()


def _pick(route=None, relays=None, now=0.0, avoid=(), draws=(0.0,), busy=None):
    draws = iter(draws * 2)
    chance = routes.Chance(lambda: next(draws), lambda name:
                           (busy or {}).get(name, 0))
    snapshot = pathhelp.make_snapshot(_SETTINGS, route, relays)
    return routes.pick_route(snapshot, pathhelp.SHARD, 1, now,
                             pathhelp.ENTRY_ID, frozenset(avoid), chance)


class KeyedTest(unittest.TestCase):

    def test_the_owner_gets_it_under_the_fence_of_the_lease(self):
        route = _pick(pathhelp.make_route('b', epoch=7, sequence=9))
        self.assertIsInstance(route, routes.Straight)
        self.assertEqual((route.server.id, route.epoch, route.sequence),
                         ('b', 7, 9))

    def test_without_lease_map_or_owner_it_is_held(self):
        self.assertEqual(_pick(), routes.Hold(_Reason.NO_LEASE))
        self.assertEqual(_pick(pathhelp.make_route(map=None)),
                         routes.Hold(_Reason.NO_LEASE))
        self.assertEqual(_pick(pathhelp.make_route('')),
                         routes.Hold(_Reason.NO_OWNER))
        self.assertEqual(_pick(pathhelp.make_route('gone')),
                         routes.Hold(_Reason.NO_OWNER))

    def test_an_owner_is_never_replaced_because_it_failed(self):
        self.assertEqual(
            _pick(pathhelp.make_route('a'), avoid='a').server.id, 'a')

    def test_at_the_end_of_the_lease_only_delegates_dispatch(self):
        names = (pathhelp.ENTRY_ID, 'e2', 'e3')
        route = pathhelp.make_route(expires_at=100.0, delegates=names)
        relays = {'e2': 'x:2', 'e3': 'x:3', pathhelp.ENTRY_ID: 'x:1'}
        self.assertIsInstance(_pick(route, relays, 99.9), routes.Straight)
        self.assertEqual(_pick(route, relays, 100.0), routes.Relay('e2', 'x:2'))
        self.assertEqual(_pick(route, relays, 100.0, ('e2',)),
                         routes.Relay('e3', 'x:3'))
        self.assertEqual(_pick(route, relays, 100.0, ('e2', 'e3')),
                         routes.Hold(_Reason.NO_LEASE))
        self.assertEqual(_pick(route, {}, 100.0), routes.Hold(_Reason.NO_LEASE))

    def test_a_contended_server_is_reached_by_its_home(self):
        server = routes.ServerRoute('a',
                                    'x:9',
                                    homes=('e2', 'e3'),
                                    contended=True)
        route = pathhelp.make_route('a', servers={'a': server})
        relays = {'e2': 'x:2', 'e3': 'x:3'}
        self.assertEqual(_pick(route, relays), routes.Relay('e2', 'x:2', 'a'))
        self.assertEqual(_pick(route, relays, avoid=('e2',)),
                         routes.Relay('e3', 'x:3', 'a'))
        for avoided in (_pick(route, relays,
                              avoid=('e2', 'e3')), _pick(route, {})):
            self.assertIsInstance(avoided, routes.Straight)


class UnkeyedTest(unittest.TestCase):

    def test_the_less_busy_of_two_is_picked(self):
        route = pathhelp.make_route(keyed=False)
        for busy, name in (({'a': 3}, 'b'), ({'b': 3}, 'a')):
            picked = _pick(route, draws=(0.0, 0.9), busy=busy)
            self.assertEqual(picked.server.id, name)

    def test_servers_that_failed_or_are_not_live_are_left_out(self):
        for liveness in tables.Liveness:
            if liveness is tables.Liveness.LIVE:
                continue
            servers = {
                'a': pathhelp.make_server_route(liveness),
                'b': routes.ServerRoute('b', 'x:2')
            }
            route = pathhelp.make_route(keyed=False, servers=servers)
            self.assertEqual(_pick(route).server.id, 'b')
            self.assertEqual(_pick(route, avoid=('b',)),
                             routes.Hold(_Reason.NO_SERVER))


if __name__ == '__main__':
    unittest.main()


class RelayedTest(unittest.TestCase):
    """A request that another entry handed over is never handed on."""

    def _pick(self, shard, server='', now=0.0):
        snapshot = routes.Snapshot({}, {shard.id: shard}, {'e2': 'x:2'}, {})
        return routes.pick_relayed(snapshot, shard.id, 1, now, server)

    def test_owner_decides_where_there_are_keys(self):
        rows = {
            name: routes.ServerRoute(name, 'x:9', ('e2',), contended=True)
            for name in ('a', 'b')
        }
        shard = routes.ShardRoute('t/s/0',
                                  True,
                                  rows,
                                  map=slices.make_map(('a', 'b'), 1),
                                  expires_at=9.0)
        self.assertEqual(self._pick(shard, 'b').server.id, 'a')

    def test_the_other_entry_decides_where_there_are_none(self):
        rows = {name: routes.ServerRoute(name, 'x:9') for name in ('a', 'b')}
        shard = routes.ShardRoute('t/s/0',
                                  False,
                                  rows,
                                  map=slices.make_map(('a', 'b'), 1),
                                  expires_at=9.0)
        self.assertEqual(self._pick(shard, 'b').server.id, 'b')
        self.assertEqual(self._pick(shard, 'c'),
                         routes.Hold(outcomes.Reason.NO_OWNER))

    def test_without_a_lease_it_is_given_back(self):
        shard = routes.ShardRoute('t/s/0', True, {}, expires_at=9.0)
        self.assertEqual(self._pick(shard, 'a', now=9.0),
                         routes.Hold(outcomes.Reason.NO_LEASE))
