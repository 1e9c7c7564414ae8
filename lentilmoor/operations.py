"""Commands over the administration API."""

import http
import os
import sys
import time
from typing import Any
import urllib.parse

from absl import flags

from lentilmoor import clients
from lentilmoor import clocks
from lentilmoor import consoles
from lentilmoor import credentials
from lentilmoor import models
from lentilmoor import outcomes
from lentilmoor import stores

_BASE = flags.DEFINE_integer(
    'base',
    0,
    'settings put: version that the file is based on; 0: the first one.',
    lower_bound=0)
_WAIT_S = flags.DEFINE_float(
    'wait_s',
    0.0,
    'settings put: seconds to wait for it to be in force at all entries.',
    lower_bound=0.0)
_UNDO = flags.DEFINE_bool('undo', False, 'drain: take the mark off again.')

_POLL_S = 0.2
_ExitCode = consoles.ExitCode
_STORE_CODES = {
    outcomes.Reason.STORE_UNAVAILABLE: _ExitCode.UNAVAILABLE,
    outcomes.Reason.TIMED_OUT: _ExitCode.UNKNOWN,
    outcomes.Reason.CONFLICT: _ExitCode.CONFLICT,
}


def get_settings(team: str) -> _ExitCode:
    """Prints a team's branch; its version goes to standard error."""
    answer = consoles.call('GET', _team_path(team, 'branch'))
    if not consoles.is_good(answer):
        return consoles.explain(answer)
    if answer.warning:
        consoles.warn('the stored value does not parse; shown is the last good '
                      f'version: {answer.warning}')
    consoles.warn(f'version {answer.etag}')
    sys.stdout.write(answer.text)
    return _ExitCode.DONE


def put_settings(team: str, path: str) -> _ExitCode:
    """Changes a team's branch, from the version that --base names."""
    text = consoles.read_file(path)
    if text is None:
        return _ExitCode.REFUSED
    answer = _put(team, text, str(_BASE.value) if _BASE.value else '')
    if not consoles.is_good(answer):
        return consoles.explain(answer)
    version = answer.members['version']
    print(f'version {version}')
    return _await_applied(team, version) if _WAIT_S.value else _ExitCode.DONE


def diff_settings(team: str, path: str) -> _ExitCode:
    """Checks a file against a team's branch and shows the difference."""
    text = consoles.read_file(path)
    if text is None:
        return _ExitCode.REFUSED
    current = consoles.call('GET', _team_path(team, 'branch'))
    absent = isinstance(
        current, clients.Answer) and current.status == http.HTTPStatus.NOT_FOUND
    if not absent and not consoles.is_good(current):
        return consoles.explain(current)
    answer = _put(team, text, current.etag, '?dry_run=1')
    if not consoles.is_good(answer):
        return consoles.explain(answer)
    sys.stdout.write(answer.members['diff'])
    return _ExitCode.DONE


def show_history(team: str, version: str = '') -> _ExitCode:
    """Lists the versions that are kept, or prints one."""
    path = _team_path(team, 'history')
    if version:
        answer = consoles.call(
            'GET', f'{path}/{urllib.parse.quote(version, safe="")}')
        return consoles.print_answer(answer, lambda _: answer.text.rstrip('\n'))
    return consoles.print_answer(
        consoles.call('GET', path),
        consoles.make_table('version', 'number', 'author'))


def show_applied(team: str) -> _ExitCode:
    """Says how many entries have which version in force."""
    return consoles.print_answer(
        consoles.call('GET', _team_path(team, 'applied')), lambda members:
        f'version {members["version"]}: {members["in_force"]} of '
        f'{members["entries"]} entries')


def show_status() -> _ExitCode:
    """Prints the state of the deployment as the entry sees it."""
    return consoles.print_answer(consoles.call('GET', '/v1/status'),
                                 _format_status)


def show_owner(service: str, key: str) -> _ExitCode:
    """Says which server owns a key."""
    path = _service_path(service)
    if not path:
        return consoles.fail(_ExitCode.USAGE, 'expected TEAM/SERVICE')
    query = urllib.parse.urlencode({'key': key})
    return consoles.print_answer(
        consoles.call('GET', f'{path}/owner?{query}'),
        lambda members: f'{members["server"] or "none, its slice moves"} '
        f'(shard {members["shard"]}, epoch {members["epoch"]}, '
        f'sequence {members["sequence"]})')


def drain(service: str, server: str) -> _ExitCode:
    """Marks a server as leaving, or takes the mark off."""
    path = _service_path(service)
    if not path:
        return consoles.fail(_ExitCode.USAGE, 'expected TEAM/SERVICE')
    method = 'DELETE' if _UNDO.value else 'POST'
    name = urllib.parse.quote(server, safe='')
    answer = consoles.change(method, f'{path}/servers/{name}/drain')
    return consoles.print_answer(
        answer, lambda members: f'version {members["version"]}')


def list_quarantine() -> _ExitCode:
    """Lists requests that are held for what crashes servers."""
    return consoles.print_answer(
        consoles.call('GET', '/v1/quarantine'),
        consoles.make_table('fingerprint', 'service', 'crashes', 'blocked'))


def release_quarantine(fingerprint: str) -> _ExitCode:
    """Lets a held request through again."""
    name = urllib.parse.quote(fingerprint, safe='')
    answer = consoles.call('POST', f'/v1/quarantine/{name}/release')
    return consoles.print_answer(answer, lambda _: f'released {fingerprint}')


def make_credential(team: str, name: str) -> _ExitCode:
    """Makes a credential and prints its token."""
    if consoles.has_settings():
        settings = consoles.read_process()
        if settings is None:
            return _ExitCode.REFUSED
        return _make_in_store(settings, team, name)
    answer = consoles.call('POST', _credential_path(team, name))
    if isinstance(answer, outcomes.Unknown):
        consoles.warn(f'revoke {name} and make another: its token is lost')
    return consoles.print_answer(answer, lambda members: members['token'])


def revoke_credential(team: str, name: str) -> _ExitCode:
    """Removes a credential."""
    answer = consoles.call('DELETE', _credential_path(team, name))
    return consoles.print_answer(answer, lambda _: f'revoked {name}')


def list_credentials(team: str) -> _ExitCode:
    """Lists the names of a team's credentials."""
    return consoles.print_answer(
        consoles.call('GET', _team_path(team, 'credentials')),
        consoles.make_table('name'))


def _make_in_store(settings: models.ProcessSettings, team: str,
                   name: str) -> _ExitCode:
    """Makes a credential without the API: the way to the first operator's."""
    identity = credentials.parse_token(f'{team}.{name}.')
    if identity is None:
        return consoles.fail(
            _ExitCode.REFUSED, 'expected names of lower case, digits '
            'and hyphens')
    clock = clocks.Clock()
    store = stores.connect_store(settings.store, clock,
                                 f'command-{os.getpid()}')
    token = credentials.make(store, identity.identity, clock)
    if isinstance(token, outcomes.Failed):
        return consoles.fail(_STORE_CODES.get(token.reason, _ExitCode.REFUSED),
                             f'{token.reason.value}: {token.detail}')
    print(token.show())
    return _ExitCode.DONE


def _put(team: str, text: str, etag: str, query: str = '') -> clients.Result:
    precondition = ({
        'If-Match': f'"{etag}"'
    } if etag else {
        'If-None-Match': '*'
    })
    path = _team_path(team, 'branch') + query
    return consoles.change('PUT', path, text, precondition)


def _await_applied(team: str, version: int) -> _ExitCode:
    ends = time.monotonic() + _WAIT_S.value
    while True:
        answer = consoles.call('GET', _team_path(team, 'applied'))
        if not consoles.is_good(answer):
            return consoles.explain(answer)
        total = answer.members['entries']
        reached = 0
        if answer.members['version'] >= version:
            reached = answer.members['in_force']
        if total and reached == total:
            print(f'in force at {reached} of {total} entries')
            return _ExitCode.DONE
        if time.monotonic() >= ends:
            return consoles.fail(
                _ExitCode.UNAVAILABLE,
                f'in force at {reached} of {total} entries only')
        time.sleep(_POLL_S)


def _format_status(members: Any) -> str:
    lines = [
        f'{members["instance"]}: {"ready" if members["ready"] else "not ready"}'
        f', store heard {members["store_age_ms"]:.0f} ms ago'
    ]
    for entry in members['entries']:
        lines.append(f'entry {entry["instance"]} {entry["liveness"]} '
                     f'{entry["region"]}/{entry["failure_domain"]}')
    for shard in members['shards']:
        lines.append(f'shard {shard["shard"]} granted by '
                     f'{shard["grantor"] or "nobody"}, epoch {shard["epoch"]}, '
                     f'sequence {shard["sequence"]}')
        for server in shard['servers']:
            mark = ', leaving' if server['leaving'] else ''
            lines.append(f'  server {server["id"]} {server["liveness"]}{mark}, '
                         f'{server["share"]:.1%} of the keys, '
                         f'{server["in_flight"]} running')
    for item in members['problems']:
        lines.append(f'problem in {item["team"]}: {item["detail"]}')
    return '\n'.join(lines)


def _team_path(team: str, page: str) -> str:
    return f'/v1/teams/{urllib.parse.quote(team, safe="")}/{page}'


def _service_path(service: str) -> str:
    team, slash, name = service.partition('/')
    if not slash or not team or not name:
        return ''
    return _team_path(team, f'services/{urllib.parse.quote(name, safe="")}')


def _credential_path(team: str, name: str) -> str:
    return _team_path(team, f'credentials/{urllib.parse.quote(name, safe="")}')
