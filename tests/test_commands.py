"""The command line against an administration API on a real connection."""

import contextlib
import errno
import io
import os
import shutil
import socket
import tempfile
import threading
import unittest
from unittest import mock

from absl import flags
from absl.testing import flagsaver
from cheroot import wsgi

from lentilmoor import commands
from lentilmoor import consoles
from lentilmoor import statuses
from tests import adminhelp

_ExitCode = consoles.ExitCode


class CommandsTestCase(unittest.TestCase):

    def setUp(self):
        self.desk = adminhelp.Desk()
        self.app = self.desk.app
        self.server = wsgi.Server(('127.0.0.1', 0), self._serve, numthreads=2)
        self.server.expiration_interval = 0.02
        self.server.prepare()
        thread = threading.Thread(target=self.server.serve)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(self.server.stop)
        self.folder = tempfile.mkdtemp()
        self.addCleanup(shutil.rmtree, self.folder)
        self.address = f'127.0.0.1:{self.server.bind_addr[1]}'
        self.token = self.desk.make_token('shop')
        self.out = self.err = ''

    def _serve(self, environ, start_response):
        return self.app(environ, start_response)

    def run_command(self, *arguments, admin=None, token=None):
        """Runs a command; returns its exit code and keeps what it wrote."""
        out, err = io.StringIO(), io.StringIO()
        environment = {
            'LENTILMOOR_TOKEN': self.token if token is None else token
        }
        with contextlib.ExitStack() as stack:
            stack.enter_context(flagsaver.flagsaver())
            stack.enter_context(mock.patch.dict(os.environ, environment))
            stack.enter_context(contextlib.redirect_stdout(out))
            stack.enter_context(contextlib.redirect_stderr(err))
            words = flags.FLAGS(
                ['lentilmoor', *arguments, f'--admin={admin or self.address}'])
            code = commands.main(words)
        self.out, self.err = out.getvalue(), err.getvalue()
        return code

    def write(self, text, name='branch.yaml'):
        path = os.path.join(self.folder, name)
        with open(path, 'w', encoding='utf-8') as file:
            file.write(text)
        return path


class SettingsTest(CommandsTestCase):

    def test_put_get_diff_and_history(self):
        path = self.write(adminhelp.BRANCH)
        self.assertEqual(self.run_command('settings', 'put', 'shop', path),
                         _ExitCode.DONE)
        version = self.out.split()[1]
        self.assertEqual(self.run_command('settings', 'get', 'shop'),
                         _ExitCode.DONE)
        self.assertEqual(self.out, adminhelp.BRANCH)
        self.assertEqual(self.err, f'version {version}\n')
        path = self.write(adminhelp.BRANCH + '# New.\n')
        self.assertEqual(self.run_command('settings', 'diff', 'shop', path),
                         _ExitCode.DONE)
        self.assertIn('+# New.', self.out)
        self.assertEqual(self.run_command('settings', 'put', 'shop', path),
                         _ExitCode.CONFLICT)
        self.assertIn(f'--base={version}', self.err)
        code = self.run_command('settings', 'put', 'shop', path,
                                f'--base={version}')
        self.assertEqual(code, _ExitCode.DONE)
        self.run_command('settings', 'history', 'shop')
        self.assertEqual(len(self.out.splitlines()), 3)
        self.run_command('settings', 'history', 'shop', version)
        self.assertEqual(self.out, adminhelp.BRANCH)

    def test_each_problem_is_printed(self):
        path = self.write(adminhelp.BRANCH.replace('9001', '900000'))
        self.assertEqual(self.run_command('settings', 'put', 'shop', path),
                         _ExitCode.REFUSED)
        self.assertIn('line 7: services.stock.servers.0.address', self.err)

    def test_put_waits_until_it_is_in_force(self):
        path = self.write(adminhelp.BRANCH)
        self.desk.applied['shop'] = statuses.Applied(10**9, 1, 1)
        code = self.run_command('settings', 'put', 'shop', path, '--wait_s=5')
        self.assertEqual(code, _ExitCode.DONE)
        self.assertIn('in force at 1 of 1 entries', self.out)
        self.desk.applied['shop'] = statuses.Applied(10**9, 1, 2)
        code = self.run_command('settings', 'put', 'shop', path,
                                '--wait_s=0.01')
        self.assertEqual(code, _ExitCode.UNAVAILABLE)
        self.assertIn('1 of 2 entries only', self.err)

    def test_reply_that_is_lost_is_settled_by_sending_again(self):
        lost = []

        def app(environ, start_response):
            chunks = self.desk.app(environ, start_response)
            if environ['REQUEST_METHOD'] == 'PUT' and not lost:
                lost.append(True)
                # Any other error would be answered, and SystemExit would stop
                # the whole server.
                raise ConnectionResetError(errno.ECONNRESET, 'no answer')
            return chunks

        self.app = app
        path = self.write(adminhelp.BRANCH)
        with contextlib.redirect_stderr(io.StringIO()):
            code = self.run_command('settings', 'put', 'shop', path)
        self.assertEqual(code, _ExitCode.DONE)
        self.assertTrue(lost)
        self.assertEqual(len(self.desk.spread), 2)

    def test_unknown_stays_unknown_if_nothing_settles_it(self):
        self.run_command('status')
        self.desk.state.switches.park_writes = 1_000
        path = self.write(adminhelp.BRANCH)
        self.assertEqual(self.run_command('settings', 'put', 'shop', path),
                         _ExitCode.UNKNOWN)

    def test_stored_value_that_does_not_parse_is_told(self):
        path = self.write(adminhelp.BRANCH)
        self.run_command('settings', 'put', 'shop', path)
        version = int(self.out.split()[1])
        self.desk.store.swap('teams/shop/branch', b'garbage', version)
        self.run_command('settings', 'get', 'shop')
        self.assertIn('does not parse', self.err)


class OtherCommandsTest(CommandsTestCase):

    def test_drain_owner_status_quarantine(self):
        self.run_command('settings', 'put', 'shop',
                         self.write(adminhelp.BRANCH))
        for arguments, expected in (
            (('drain', 'shop/stock', 's-1'),
             'version'), (('drain', 'shop/stock', 's-1', '--undo'), 'version'),
            (('owner', 'shop/stock', 'lot 1/é'), 's-1 (shard shop/stock/0'),
            (('status',), 'shard shop/stock/0 granted by entry-1, epoch 3'),
            (('status', '--json'), '{"instance": "entry-1"'),
            (('quarantine', 'list'),
             'aa\tshop/stock'), (('quarantine', 'release', 'aa'),
                                 'released aa'), (('credential', 'list',
                                                   'shop'), 'ann')):
            with self.subTest(arguments):
                self.assertEqual(self.run_command(*arguments), _ExitCode.DONE)
                self.assertIn(expected, self.out)
        self.assertEqual(self.run_command('drain', 'shop/stock', 's-9'),
                         _ExitCode.REFUSED)
        self.assertIn('404: no server s-9', self.err)

    def test_credentials(self):
        self.run_command('credential', 'make', 'shop', 'bob')
        token = self.out.strip()
        self.assertEqual(self.run_command('status', token=token),
                         _ExitCode.DONE)
        self.run_command('credential', 'revoke', 'shop', 'bob')
        self.desk.time.advance(60_000)
        self.assertEqual(self.run_command('status', token=token),
                         _ExitCode.REFUSED)
        path = self.write(self.token + '\n', 'token')
        self.assertEqual(
            self.run_command('status', f'--token_file={path}', token=''),
            _ExitCode.DONE)

    def test_no_connection(self):
        with socket.create_server(('127.0.0.1', 0)) as free:
            address = f'127.0.0.1:{free.getsockname()[1]}'
        path = self.write(adminhelp.BRANCH)
        for arguments in (('status',), ('settings', 'put', 'shop', path)):
            self.assertEqual(self.run_command(*arguments, admin=address),
                             _ExitCode.UNAVAILABLE)
        self.assertEqual(self.run_command('status', admin='not an address'),
                         _ExitCode.UNAVAILABLE)

    def test_usage(self):
        for arguments in ((), ('nonsense',), ('settings',), ('check',),
                          ('owner', 'shop', 'key'), ('status', 'more')):
            with self.subTest(arguments):
                self.assertEqual(self.run_command(*arguments), _ExitCode.USAGE)
                self.assertTrue(self.err)

    def test_check(self):
        path = self.write(adminhelp.BRANCH)
        self.assertEqual(self.run_command('check', path), _ExitCode.DONE)
        path = self.write('instance: entry-1\nport: 7\n')
        self.assertEqual(self.run_command('check', path), _ExitCode.REFUSED)
        self.assertIn(f'{path}: line 2: port: Extra inputs', self.err)
        self.assertEqual(self.run_command('check', path + 'x'),
                         _ExitCode.REFUSED)

    def test_entry_needs_valid_settings(self):
        self.assertEqual(self.run_command('entry'), _ExitCode.REFUSED)
        path = self.write('instance: entry-1\n')
        self.assertEqual(self.run_command('entry', f'--settings={path}'),
                         _ExitCode.REFUSED)
        self.assertIn('region: Field required', self.err)
