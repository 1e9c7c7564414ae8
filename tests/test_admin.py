"""The administration API: scopes, races, outages, bad input, drains."""

import dataclasses
import json
import unittest

from lentilmoor import models
from lentilmoor import pages
from tests import adminhelp

_PATH = '/v1/teams/shop/branch'


class AdminTestCase(unittest.TestCase):

    def setUp(self):
        self.desk = adminhelp.Desk()
        self.token = self.desk.make_token('shop')

    def call(self, method, path, body=b'', token=None, app=None, **headers):
        token = self.token if token is None else token
        return self.desk.call(method, path, token, body, app, **headers)

    def put(self, text=adminhelp.BRANCH, expected=None, path=_PATH, **options):
        if expected is None:
            return self.call('PUT', path, text, If_None_Match='*', **options)
        return self.call('PUT', path, text, If_Match=expected, **options)


class BranchTest(AdminTestCase):

    def test_round_trip_by_etag(self):
        created = self.put()
        self.assertEqual(created.status, 201)
        self.assertEqual(created.headers['Lentilmoor-Outcome'], 'answered')
        shown = self.call('GET', _PATH)
        self.assertEqual(shown.body.decode(), adminhelp.BRANCH)
        self.assertEqual(shown.headers['ETag'], created.headers['ETag'])
        changed = self.put(adminhelp.BRANCH + '# More.\n',
                           shown.headers['ETag'])
        self.assertEqual(changed.status, 200)
        self.assertNotEqual(changed.headers['ETag'], shown.headers['ETag'])
        self.assertEqual([record.version for record in self.desk.spread],
                         [created.json['version'], changed.json['version']])
        self.assertEqual(self.desk.spread[1],
                         self.desk.store.read('teams/shop/branch'))

    def test_two_operators_race(self):
        etag = self.put().headers['ETag']
        won = self.put(adminhelp.BRANCH + '# One.\n', etag)
        lost = self.put(adminhelp.BRANCH + '# Two.\n',
                        etag,
                        token=self.desk.make_token('shop', 'bob'))
        self.assertEqual((won.status, lost.status), (200, 412))
        self.assertEqual(lost.headers['ETag'], won.headers['ETag'])
        self.assertEqual(lost.json['current'], won.json['version'])
        self.assertEqual(lost.headers['Lentilmoor-Outcome'], 'not-run')
        again = self.put()
        self.assertEqual(again.status, 412)

    def test_lost_reply_of_the_store(self):
        etag = self.put().headers['ETag']
        self.desk.state.switches.lose_replies = 2
        self.assertEqual(self.put(adminhelp.BRANCH + '#\n', etag).status, 200)

    def test_outage_in_the_middle_of_a_put(self):
        etag = self.put().headers['ETag']
        text = adminhelp.BRANCH + '# New.\n'

        def swap(key, value, expected):
            if key == 'teams/shop/branch':
                self.desk.state.switches.outage = True
            return self.desk.store.swap(key, value, expected)

        app = self.desk.make_app(dataclasses.replace(self.desk.store,
                                                     swap=swap))
        answer = self.put(text, etag, app=app)
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.headers['Lentilmoor-Outcome'], 'not-run')
        self.assertEqual(answer.headers['Retry-After'], '1')
        self.desk.state.switches.outage = False
        self.assertEqual(self.call('GET', _PATH).headers['ETag'], etag)
        self.assertEqual(self.put(text, etag).status, 200)

    def test_unsettled_write_is_unknown_and_sending_again_settles_it(self):
        etag = self.put().headers['ETag']
        text = adminhelp.BRANCH + '# New.\n'

        def swap(key, value, expected):
            if key == 'teams/shop/branch':
                self.desk.state.switches.park_writes = 1_000
            return self.desk.store.swap(key, value, expected)

        app = self.desk.make_app(dataclasses.replace(self.desk.store,
                                                     swap=swap))
        answer = self.put(text, etag, app=app)
        self.assertEqual(answer.status, 504)
        self.assertEqual(answer.headers['Lentilmoor-Outcome'], 'unknown')
        self.assertNotIn('Retry-After', answer.headers)
        self.desk.state.switches.park_writes = 0
        self.desk.state.deliver_parked()
        again = self.put(text, etag)
        self.assertEqual((again.status, again.json['changed']), (200, False))

    def test_every_field_error_is_listed_with_its_line(self):
        text = adminhelp.BRANCH.replace('9001',
                                        '900000').replace('id: s-2', 'id: S2')
        answer = self.put(text)
        self.assertEqual(answer.status, 422)
        self.assertEqual(answer.headers['Content-Type'],
                         'application/problem+json')
        self.assertEqual(len(answer.json['errors']), 2)
        self.assertIn('line 7: services.stock.servers.0.address',
                      answer.json['errors'][0])
        self.assertEqual(answer.json['reason'], 'invalid')

    def test_malformed_yaml_names_its_line(self):
        answer = self.put(adminhelp.BRANCH.replace('    servers:', '  servers'))
        self.assertEqual(answer.status, 422)
        self.assertRegex(answer.json['errors'][0], r'line [5-6], column \d+')

    def test_dry_run_shows_the_difference_and_changes_nothing(self):
        etag = self.put().headers['ETag']
        path = _PATH + '?dry_run=1'
        text = adminhelp.BRANCH + '# New.\n'
        answer = self.put(text, etag, path)
        self.assertEqual(answer.status, 200)
        self.assertIn('+# New.', answer.json['diff'])
        self.assertEqual(self.put('team: x', etag, path).status, 422)
        self.assertEqual(self.put(text, '"77"', path).status, 412)
        self.assertEqual(self.call('GET', _PATH).headers['ETag'], etag)
        self.assertEqual(len(self.desk.spread), 1)

    def test_preconditions(self):
        self.put()
        self.assertEqual(self.call('PUT', _PATH, adminhelp.BRANCH).status, 428)
        for tag in ('*', '7', 'W/"7"', '"7", "8"', '"x"', '""', '"0"',
                    '"' + '9' * 30 + '"', '"٣"'):
            with self.subTest(tag):
                self.assertEqual(self.put(expected=tag).status, 400)
        both = self.call('PUT',
                         _PATH,
                         adminhelp.BRANCH,
                         If_Match='"7"',
                         If_None_Match='*')
        self.assertEqual(both.status, 400)

    def test_body_limits(self):
        large = self.put(b'x' * (pages.MAX_BODY_BYTES + 1))
        self.assertEqual(large.status, 413)
        cut = self.put(CONTENT_LENGTH='1000')
        self.assertEqual(cut.status, 400)
        self.assertIn('cut off', cut.json['detail'])
        for length in ('', '-1', 'x'):
            self.assertEqual(self.put(CONTENT_LENGTH=length).status, 411)
        self.assertEqual(self.put(b'\xff').status, 400)
        self.assertEqual(self.call('GET', _PATH).status, 404)

    def test_a_value_that_does_not_parse(self):
        version = self.put().json['version']
        latest = self.put(adminhelp.BRANCH + '#\n', f'"{version}"')
        broken = self.desk.store.swap('teams/shop/branch', b'garbage',
                                      latest.json['version'])
        shown = self.call('GET', _PATH)
        self.assertEqual(shown.body.decode(), adminhelp.BRANCH)
        self.assertEqual(shown.headers['ETag'], f'"{broken.version}"')
        self.assertIn('not a branch',
                      shown.headers['Lentilmoor-Settings-Problem'])
        mended = self.put(expected=shown.headers['ETag'])
        self.assertEqual(mended.status, 200)

    def test_history(self):
        first = self.put().headers['ETag']
        second = self.put(adminhelp.BRANCH + '#\n', first).headers['ETag']
        lines = self.call('GET', '/v1/teams/shop/history').json
        self.assertEqual([f'"{line["version"]}"' for line in lines],
                         [first, second])
        self.assertEqual(lines[0]['author'], 'ann')
        old = self.call('GET', '/v1/teams/shop/history/' + first.strip('"'))
        self.assertEqual(old.body.decode(), adminhelp.BRANCH)
        new = self.call('GET', '/v1/teams/shop/history/' + second.strip('"'))
        self.assertEqual(new.body.decode(), adminhelp.BRANCH + '#\n')
        for version in ('0', '999', 'x', '٣'):
            path = '/v1/teams/shop/history/' + version
            self.assertEqual(self.call('GET', path).status, 404)


class ScopeTest(AdminTestCase):

    def test_another_team_is_neither_read_nor_changed_nor_told_apart(self):
        self.put()
        other = self.desk.make_token('other')
        operator = self.desk.make_token('operator', 'root')
        for token in (other, operator):
            for method, path in (('GET', 'branch'), ('PUT', 'branch'),
                                 ('GET', 'history'), ('GET', 'history/1'),
                                 ('GET', 'applied'),
                                 ('GET', 'services/stock/owner?key=k'),
                                 ('POST', 'services/stock/servers/s-1/drain'),
                                 ('DELETE',
                                  'services/stock/servers/s-1/drain')):
                with self.subTest(method + path):
                    answers = [
                        self.call(method,
                                  f'/v1/teams/{team}/{path}',
                                  'team: shop',
                                  token,
                                  If_Match='"1"') for team in ('shop', 'nobody')
                    ]
                    self.assertEqual(answers[0].status, 403)
                    self.assertEqual(answers[0], answers[1])
        self.assertEqual(len(self.desk.spread), 1)

    def test_no_or_wrong_credential(self):
        for token in ('', 'shop.ann.wrong', 'nonsense'):
            for path in (_PATH, '/v1/status', '/v1/no-such-page', '/'):
                answer = self.call('GET', path, token=token)
                self.assertEqual(answer.status, 401)
                self.assertEqual(answer.headers['WWW-Authenticate'], 'Bearer')

    def test_health_readiness_and_metrics_are_open(self):
        for path in ('/healthz', '/readyz', '/metrics'):
            self.assertEqual(self.call('GET', path, token='').status, 200)
        self.desk.ready = False
        self.assertEqual(self.call('GET', '/readyz', token='').status, 503)
        self.assertEqual(self.call('GET', '/healthz', token='').status, 200)
        head = self.call('HEAD', '/healthz', token='')
        self.assertEqual((head.status, head.body), (200, b''))

    def test_status_and_quarantine_show_only_the_own_team(self):
        status = self.call('GET', '/v1/status').json
        self.assertEqual([shard['shard'] for shard in status['shards']],
                         ['shop/stock/0'])
        self.assertEqual(status['problems'], [])
        held = self.call('GET', '/v1/quarantine').json
        self.assertEqual([item['fingerprint'] for item in held], ['aa'])
        operator = self.desk.make_token('operator', 'root')
        status = self.call('GET', '/v1/status', token=operator).json
        self.assertEqual(len(status['shards']), 3)

    def test_release_of_the_own_team_only(self):
        release = '/v1/quarantine/{}/release'
        self.assertEqual(self.call('POST', release.format('bb')).status, 404)
        self.assertEqual(self.call('POST', release.format('zz')).status, 404)
        self.assertEqual(self.call('POST', release.format('aa')).status, 200)
        self.assertEqual(self.desk.released, ['aa'])

    def test_operator_makes_a_team_and_a_team_its_credentials(self):
        operator = self.desk.make_token('operator', 'root')
        path = '/v1/teams/new/credentials/first'
        made = self.call('POST', path, token=operator)
        self.assertEqual(made.status, 201)
        created = self.put('team: new\n',
                           path='/v1/teams/new/branch',
                           token=made.json['token'])
        self.assertEqual(created.status, 201)
        self.assertEqual(self.call('POST', path, token=operator).status, 409)
        second = self.call('POST',
                           '/v1/teams/new/credentials/second',
                           token=made.json['token'])
        self.assertEqual(second.status, 201)
        self.assertEqual(self.call('POST', path).status, 403)
        bad = self.call('POST', '/v1/teams/new/credentials/A.b', token=operator)
        self.assertEqual(bad.status, 422)
        gone = self.call('DELETE', path, token=second.json['token'])
        self.assertEqual(gone.status, 200)
        names = self.call('GET', '/v1/teams/new/credentials', token=operator)
        self.assertEqual([item['name'] for item in names.json], ['second'])

    def test_outage_leaves_what_needs_no_store(self):
        self.call('GET', '/v1/status')
        self.desk.state.switches.outage = True
        self.desk.time.advance(60_000)
        self.assertEqual(self.call('GET', '/v1/status').status, 200)
        self.assertEqual(self.call('GET', _PATH).status, 503)
        self.assertEqual(
            self.call('GET', _PATH, token='unseen.ann.x').status, 503)

    def test_unknown_pages_and_methods(self):
        self.assertEqual(self.call('GET', '/v1/nothing').status, 404)
        answer = self.call('POST', _PATH)
        self.assertEqual((answer.status, answer.headers['Allow']),
                         (405, 'GET, PUT'))
        many = '&'.join(f'a{n}=1' for n in range(100))
        self.assertEqual(self.call('GET', f'/v1/status?{many}').status, 400)


class ServerTest(AdminTestCase):

    _DRAIN = '/v1/teams/shop/services/stock/servers/{}/drain'

    def _leaving(self):
        text = self.call('GET', _PATH).body.decode()
        self.assertIn('# First.', text)
        servers = models.parse_team(text).services['stock'].servers
        return [server.id for server in servers if server.leaving]

    def test_drain_marks_the_server_in_the_branch(self):
        self.put()
        drained = self.call('POST', self._DRAIN.format('s-1'))
        self.assertEqual(drained.status, 200)
        self.assertEqual(self._leaving(), ['s-1'])
        self.assertEqual(len(self.desk.spread), 2)
        again = self.call('POST', self._DRAIN.format('s-1'))
        self.assertEqual((again.status, again.json['changed']), (200, False))
        last = self.call('POST', self._DRAIN.format('s-2'))
        self.assertEqual(last.status, 422)
        self.assertIn('last server', last.json['errors'][0])
        self.assertEqual(
            self.call('DELETE', self._DRAIN.format('s-1')).status, 200)
        self.assertEqual(self._leaving(), [])

    def test_drain_races_with_a_change(self):
        self.put()
        raced = []

        def swap(key, value, expected):
            if key == 'teams/shop/branch' and not raced:
                raced.append(True)
                self.put(adminhelp.BRANCH + '# Theirs.\n', f'"{expected}"')
            return self.desk.store.swap(key, value, expected)

        app = self.desk.make_app(dataclasses.replace(self.desk.store,
                                                     swap=swap))
        self.assertEqual(
            self.call('POST', self._DRAIN.format('s-2'), app=app).status, 200)
        self.assertEqual(self._leaving(), ['s-2'])
        self.assertIn(b'# Theirs.', self.call('GET', _PATH).body)

    def test_drain_of_shared_yaml_is_refused(self):
        text = adminhelp.BRANCH.replace('    - {id: s-2', '    - &two {id: s-2')
        self.put(text + '  copy:\n    servers: [*two]\n')
        answer = self.call('POST', self._DRAIN.format('s-2'))
        self.assertEqual(answer.status, 422)
        self.assertIn('shares its YAML', answer.json['errors'][0])

    def test_drain_of_the_unknown(self):
        drain = self._DRAIN.format('s-1')
        self.assertEqual(self.call('POST', drain).status, 404)
        self.put()
        self.assertEqual(
            self.call('POST', self._DRAIN.format('s-9')).status, 404)

    def test_owner(self):
        path = '/v1/teams/shop/services/{}/owner?key={}'
        owner = self.call('GET', path.format('stock', 'lot%2F1+%C3%A9'))
        self.assertEqual(owner.json['point'], 'lot/1 é')
        self.assertEqual(self.call('GET', path.format('stock', '')).status, 400)
        self.assertEqual(self.call('GET', path.format('x', 'k')).status, 404)

    def test_applied_counts_entries(self):
        self.desk.applied['shop'] = adminhelp.statuses.Applied(7, 2, 3)
        shown = self.call('GET', '/v1/teams/shop/applied').json
        self.assertEqual(shown, {
            'team': 'shop',
            'version': 7,
            'in_force': 2,
            'entries': 3
        })

    def test_a_line_is_logged_only_for_a_change(self):
        etag = self.put().headers['ETag']
        self.put(expected=etag)
        self.put('team: x', etag)
        written = self.desk.log.getvalue().splitlines()
        lines = [json.loads(line) for line in written]
        self.assertEqual([line['event'] for line in lines],
                         ['settings_accepted'])
