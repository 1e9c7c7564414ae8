"""The administration API: a WSGI app on an entry's administration address.

Health, readiness and metrics are open there; all else asks for a credential
(see `credentials`). A team's credential reaches that team's pages only, and
the answer to any other is the same whether the other team exists or not.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import http
import re
from typing import Any

from lentilmoor import clocks
from lentilmoor import credentials
from lentilmoor import hooks
from lentilmoor import metrics
from lentilmoor import outcomes
from lentilmoor import pages
from lentilmoor import statuses
from lentilmoor import teampages

MAX_KEY_CHARS = 4_096

_Reason = outcomes.Reason
_Status = http.HTTPStatus

App = Callable[[dict[str, Any], Any], Iterable[bytes]]


@dataclasses.dataclass(frozen=True, slots=True)
class _Route:
    """Handlers of a path by method.

    Attributes:
      match: Matches the whole path.
      handlers: By method.
      is_open: Whether no credential is asked for.
      for_operator: Whether the operator may use another team's page.
    """

    match: Callable[[str], re.Match[str] | None]
    handlers: dict[str, hooks.Handler]
    is_open: bool = False
    for_operator: bool = False


def make_app(given: hooks.AdminHooks, clock: clocks.Clock) -> App:
    """Returns the WSGI app.

    Args:
      given: The entry that it is part of.
      clock: The entry's time.
    """

    def app(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        try:
            request = pages.read_request(environ)
            reply = _answer(given, clock, request)
        except ValueError as error:
            reply = pages.reply_error(_Status.BAD_REQUEST, _Reason.BAD_REQUEST,
                                      str(error))
        return pages.send(reply, environ['REQUEST_METHOD'], start_response)

    return app


def _answer(given: hooks.AdminHooks, clock: clocks.Clock,
            request: pages.Request) -> pages.Reply:
    route, parts = _find_route(request.path)
    if route is None or not route.is_open:
        identity = given.verify(pages.read_token(request))
        if isinstance(identity, outcomes.Failed):
            return _refuse_token(identity)
        request = dataclasses.replace(request, identity=identity)
        if 'team' in parts and not _may_use(identity, route, parts['team']):
            return pages.reply_error(_Status.FORBIDDEN, _Reason.NOT_AUTHORIZED,
                                     'not within this credential\'s scope')
    if route is None:
        return pages.reply_error(_Status.NOT_FOUND, _Reason.NOT_FOUND,
                                 'no such page')
    method = 'GET' if request.method == 'HEAD' else request.method
    handler = route.handlers.get(method)
    if handler is None:
        allowed = ', '.join(sorted(route.handlers))
        return pages.reply_error(_Status.METHOD_NOT_ALLOWED,
                                 _Reason.BAD_REQUEST, f'expected {allowed}',
                                 (('Allow', allowed),))
    return handler(hooks.Call(given, clock, request, parts))


def _find_route(path: str) -> tuple[_Route | None, dict[str, str]]:
    for route in _ROUTES:
        match = route.match(path)
        if match:
            return route, match.groupdict()
    return None, {}


def _may_use(identity: credentials.Identity, route: _Route, team: str) -> bool:
    if identity.is_operator:
        return route.for_operator
    return identity.may_use(team)


def _refuse_token(failed: outcomes.Failed) -> pages.Reply:
    if failed.reason is not _Reason.NOT_AUTHORIZED:
        return pages.reply_failure(failed)
    return pages.reply_error(_Status.UNAUTHORIZED, failed.reason, failed.detail,
                             (('WWW-Authenticate', 'Bearer'),))


def _show_health(_call: hooks.Call) -> pages.Reply:
    return pages.Reply(_Status.OK, b'ok\n', content_type=pages.TEXT)


def _show_readiness(call: hooks.Call) -> pages.Reply:
    if call.hooks.is_ready():
        return pages.Reply(_Status.OK, b'ready\n', content_type=pages.TEXT)
    return pages.Reply(_Status.SERVICE_UNAVAILABLE,
                       b'not ready\n',
                       content_type=pages.TEXT)


def _show_metrics(call: hooks.Call) -> pages.Reply:
    return pages.Reply(_Status.OK,
                       call.hooks.show_metrics(),
                       content_type=metrics.CONTENT_TYPE)


def _show_status(call: hooks.Call) -> pages.Reply:
    status = call.hooks.read_status()
    identity = call.request.identity
    if not identity.is_operator:
        status = statuses.narrow(status, identity.team)
    return pages.reply_json(statuses.show(status))


def _show_applied(call: hooks.Call) -> pages.Reply:
    applied = call.hooks.count_applied(call.team)
    return pages.reply_json({
        'team': call.team,
        'version': applied.version,
        'in_force': applied.entries,
        'entries': applied.total,
    })


def _show_owner(call: hooks.Call) -> pages.Reply:
    key = call.request.query.get('key', '')
    if not 0 < len(key) <= MAX_KEY_CHARS:
        return pages.reply_error(_Status.BAD_REQUEST, _Reason.MISSING_KEY,
                                 'expected ?key=KEY')
    owner = call.hooks.find_owner(call.team, call.parts['service'], key)
    if isinstance(owner, outcomes.Failed):
        return pages.reply_failure(owner)
    return pages.reply_json(statuses.show(owner))


def _list_quarantine(call: hooks.Call) -> pages.Reply:
    return pages.reply_json(statuses.show(_visible_quarantine(call)))


def _release_quarantine(call: hooks.Call) -> pages.Reply:
    wanted = call.parts['fingerprint']
    held = any(item.fingerprint == wanted for item in _visible_quarantine(call))
    if not held or not call.hooks.release_quarantine(wanted):
        return pages.reply_error(_Status.NOT_FOUND, _Reason.NOT_FOUND,
                                 'no such request is held')
    call.hooks.logger.info('quarantine_released',
                           fingerprint=wanted,
                           author=call.request.author)
    return pages.reply_json({'fingerprint': wanted, 'released': True})


def _visible_quarantine(call: hooks.Call) -> list[statuses.Quarantined]:
    identity = call.request.identity
    return [
        item for item in call.hooks.list_quarantine()
        if identity.is_operator or statuses.belongs(item, identity.team)
    ]


def _route(pattern: str, handlers: dict[str, hooks.Handler],
           **options: bool) -> _Route:
    parts = re.sub(r'\{(\w+)\}', r'(?P<\1>[^/]+)', pattern)
    return _Route(re.compile(parts).fullmatch, handlers, **options)


_TEAM = '/v1/teams/{team}'
_SERVER = _TEAM + '/services/{service}/servers/{server}'
_ROUTES = (
    _route('/healthz', {'GET': _show_health}, is_open=True),
    _route('/readyz', {'GET': _show_readiness}, is_open=True),
    _route('/metrics', {'GET': _show_metrics}, is_open=True),
    _route('/v1/status', {'GET': _show_status}),
    _route('/v1/quarantine', {'GET': _list_quarantine}),
    _route('/v1/quarantine/{fingerprint}/release',
           {'POST': _release_quarantine}),
    _route(_TEAM + '/branch', {
        'GET': teampages.show_branch,
        'PUT': teampages.put_branch
    }),
    _route(_TEAM + '/history', {'GET': teampages.list_history}),
    _route(_TEAM + '/history/{version}', {'GET': teampages.show_version}),
    _route(_TEAM + '/applied', {'GET': _show_applied}),
    _route(_TEAM + '/services/{service}/owner', {'GET': _show_owner}),
    _route(_SERVER + '/drain', {
        'POST': teampages.start_drain,
        'DELETE': teampages.stop_drain
    }),
    _route(_TEAM + '/credentials', {'GET': teampages.list_credentials},
           for_operator=True),
    _route(_TEAM + '/credentials/{name}', {
        'POST': teampages.make_credential,
        'DELETE': teampages.revoke_credential
    },
           for_operator=True),
)
