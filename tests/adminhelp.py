"""An administration API over a store in process, for tests."""

import dataclasses
import io
import json

from lentilmoor import admin
from lentilmoor import clocks
from lentilmoor import credentials
from lentilmoor import hooks
from lentilmoor import logs
from lentilmoor import outcomes
from lentilmoor import statuses
from lentilmoor import verifiers
from standins import store_state

BRANCH = """\
# Kept as written: 鈦.
team: shop
services:
  stock:
    servers:
    - id: s-1  # First.
      address: 127.0.0.1:9001
      failure_domain: taipei-a
    - {id: s-2, address: '127.0.0.1:9002', failure_domain: taipei-b}
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What the app answered."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self):
        return json.loads(self.body)


class Desk:
    """An app, the store behind it and what it told the entry."""

    def __init__(self):
        self.time = clocks.ManualTime(at=5_000.0)
        self.clock = self.time.clock()
        self.state = store_state.StoreState(self.clock)
        self.store = store_state.open_store(self.state, self.clock)
        self.ready = True
        self.spread = []
        self.released = []
        self.log = io.StringIO()
        self.held = (statuses.Quarantined('aa', 'shop/stock', 2, True),
                     statuses.Quarantined('bb', 'other/x', 2, True))
        self.applied = {'shop': statuses.Applied(0, 0, 1)}
        self.app = self.make_app(self.store)

    def make_app(self, store):
        """Returns an app over another adapter of the same store."""
        return admin.make_app(
            hooks.AdminHooks(store=store,
                             verify=verifiers.make_verifier(store, self.clock),
                             is_ready=lambda: self.ready,
                             show_metrics=lambda: b'up 1.0\n',
                             read_status=self._read_status,
                             find_owner=self._find_owner,
                             count_applied=lambda team: self.applied[team],
                             list_quarantine=lambda: self.held,
                             release_quarantine=self._release,
                             spread_now=self.spread.append,
                             logger=logs.make_logger('entry-1', self.log)),
            self.clock)

    def make_token(self, team, name='ann'):
        """Makes a credential and returns its token."""
        identity = credentials.Identity(team, name)
        return credentials.make(self.store, identity, self.clock).show()

    def call(self, method, path, token='', body=b'', app=None, **headers):
        """Calls the app; header names have underscores for hyphens."""
        body = body.encode() if isinstance(body, str) else body
        path, _, query = path.partition('?')
        environ = {
            'REQUEST_METHOD': method,
            'PATH_INFO': path,
            'QUERY_STRING': query,
            'CONTENT_LENGTH': str(len(body)),
            'wsgi.input': io.BytesIO(body),
            'HTTP_AUTHORIZATION': f'Bearer {token}' if token else '',
        }
        for name, value in headers.items():
            if name.isupper():
                environ[name] = value
            else:
                environ[f'HTTP_{name.upper()}'] = value
        started = []
        chunks = (app or self.app)(environ,
                                   lambda *given: started.append(given))
        status, sent = started[0]
        return Answer(int(status.split()[0]), dict(sent), b''.join(chunks))

    def _read_status(self):
        shards = (statuses.ShardStatus('shop/stock/0', 'entry-1', 3, 9, 2),
                  statuses.ShardStatus('shopping/x/0', 'entry-1', 1, 1, 2),
                  statuses.ShardStatus('other/x/0', 'entry-2', 1, 1, 2))
        return statuses.Status('entry-1',
                               self.ready,
                               shards=shards,
                               problems=(statuses.SettingsProblem(
                                   'other', 'secret'),))

    def _find_owner(self, team, service, key):
        if (team, service) != ('shop', 'stock'):
            return outcomes.Failed(outcomes.Reason.NOT_FOUND, 'no such service')
        return statuses.Owner('shop/stock/0', 's-1', 3, 9, key)

    def _release(self, fingerprint):
        self.released.append(fingerprint)
        return True
