"""Pages of one team: its branch, its history, drains and credentials."""

import http

from lentilmoor import branches
from lentilmoor import changes
from lentilmoor import credentials
from lentilmoor import drains
from lentilmoor import exceptions
from lentilmoor import histories
from lentilmoor import hooks
from lentilmoor import outcomes
from lentilmoor import pages
from lentilmoor import stores

PROBLEM_HEADER = 'Lentilmoor-Settings-Problem'

_MAX_HEADER_CHARS = 500
_Reason = outcomes.Reason
_Status = http.HTTPStatus
_Failed = outcomes.Failed


def show_branch(call: hooks.Call) -> pages.Reply:
    """Shows the newest version that parses, with the key's version as ETag."""
    reading = changes.read(call.hooks.store, call.team)
    if isinstance(reading, _Failed):
        return pages.reply_failure(changes.not_begun(reading))
    if reading.record is None:
        return _reply_missing('this team has no branch yet')
    headers = (('ETag', pages.make_etag(reading.version)),)
    if reading.problem:
        shown = ascii(reading.problem)[:_MAX_HEADER_CHARS]
        headers += ((PROBLEM_HEADER, shown),)
    text = reading.branch.text if reading.branch else ''
    return pages.Reply(_Status.OK, text.encode(), headers, pages.YAML)


def put_branch(call: hooks.Call) -> pages.Reply:
    """Changes the branch, or with ?dry_run=1 checks and shows the change."""
    expected = pages.read_precondition(call.request)
    if isinstance(expected, pages.Reply):
        return expected
    text = pages.read_body(call.request)
    if isinstance(text, pages.Reply):
        return text
    change = changes.Change(call.team, text, expected.version,
                            call.request.author)
    if call.request.query.get('dry_run', '0') not in ('', '0'):
        return _try_change(call, change)
    return _reply_change(call, changes.put(call.hooks.store, change,
                                           call.clock))


def list_history(call: hooks.Call) -> pages.Reply:
    """Lists the versions that are kept and the current one, oldest first."""
    reading = changes.read(call.hooks.store, call.team)
    if isinstance(reading, _Failed):
        return pages.reply_failure(changes.not_begun(reading))
    lines = histories.list_lines(call.hooks.store, call.team)
    if isinstance(lines, _Failed):
        return pages.reply_failure(changes.not_begun(lines))
    current = reading.branch
    if current is not None and not reading.problem:
        lines = (*(line for line in lines if line.version < current.version),
                 changes.make_line(current))
    return pages.reply_json([line.model_dump() for line in lines])


def show_version(call: hooks.Call) -> pages.Reply:
    """Shows the text of a version that is kept, or of the current one."""
    wanted = call.parts['version']
    if not wanted.isdecimal() or not wanted.isascii():
        return _reply_missing('no such version')
    version = int(wanted)
    reading = changes.read(call.hooks.store, call.team)
    if isinstance(reading, _Failed):
        return pages.reply_failure(changes.not_begun(reading))
    branch = reading.branch
    if branch is None or branch.version != version:
        copy = histories.read_copy(call.hooks.store, call.team, version)
        if isinstance(copy, _Failed):
            return pages.reply_failure(changes.not_begun(copy))
        branch = _parse_copy(call.team, copy)
    if branch is None:
        return _reply_missing('this version does not parse')
    return pages.Reply(_Status.OK, branch.text.encode(),
                       (('ETag', pages.make_etag(version)),), pages.YAML)


def start_drain(call: hooks.Call) -> pages.Reply:
    """Marks a server as leaving."""
    return _mark(call, leaving=True)


def stop_drain(call: hooks.Call) -> pages.Reply:
    """Takes the mark off a server."""
    return _mark(call, leaving=False)


def list_credentials(call: hooks.Call) -> pages.Reply:
    """Lists the names of a team's credentials."""
    found = credentials.read(call.hooks.store, call.team)
    if isinstance(found, _Failed):
        return pages.reply_failure(changes.not_begun(found))
    return pages.reply_json([{
        'name': item.name,
        'made_ms': item.made_ms
    } for item in found.table.credentials])


def make_credential(call: hooks.Call) -> pages.Reply:
    """Makes a credential and shows its token, this once."""
    identity = _read_identity(call)
    if identity is None:
        return pages.reply_error(_Status.UNPROCESSABLE_ENTITY, _Reason.INVALID,
                                 'names are lower case, digits and hyphens')
    token = credentials.make(call.hooks.store, identity, call.clock)
    if isinstance(token, _Failed):
        return pages.reply_failure(token)
    _log(call, 'credential_made', name=identity.name)
    return pages.reply_json({'token': token.show()}, _Status.CREATED)


def revoke_credential(call: hooks.Call) -> pages.Reply:
    """Removes a credential."""
    identity = credentials.Identity(call.team, call.parts['name'])
    failed = credentials.revoke(call.hooks.store, identity)
    if failed is not None:
        return pages.reply_failure(failed)
    _log(call, 'credential_revoked', name=identity.name)
    return pages.reply_json({'name': identity.name, 'revoked': True})


def _try_change(call: hooks.Call, change: changes.Change) -> pages.Reply:
    draft = changes.check(call.hooks.store, change, call.clock)
    if not isinstance(draft, changes.Draft):
        if isinstance(draft, _Failed):
            draft = changes.not_begun(draft)
        return _reply_change(call, draft)
    return pages.reply_json({
        'team': change.team,
        'dry_run': True,
        'replaces': change.expected,
        'diff': branches.diff(draft.before, change.text),
    })


def _reply_change(call: hooks.Call, result: changes.Result) -> pages.Reply:
    if isinstance(result, _Failed):
        return pages.reply_failure(result)
    if isinstance(result, changes.Rejected):
        return pages.reply_error(_Status.UNPROCESSABLE_ENTITY,
                                 _Reason.INVALID,
                                 'the settings are not valid',
                                 errors=list(result.problems))
    if isinstance(result, changes.Outrun):
        return pages.reply_error(_Status.PRECONDITION_FAILED,
                                 _Reason.CONFLICT,
                                 'the branch has another version',
                                 (('ETag', pages.make_etag(result.current)),),
                                 current=result.current)
    return _reply_accepted(call, result)


def _reply_accepted(call: hooks.Call,
                    accepted: changes.Accepted) -> pages.Reply:
    branch = accepted.branch
    call.hooks.spread_now(
        stores.Record(branches.make_key(call.team),
                      branches.dump(branch.header, branch.text),
                      branch.version))
    if accepted.changed:
        _log(call, 'settings_accepted', version=branch.version)
    first = accepted.changed and branch.header.number == 1
    shown = changes.make_line(branch).model_dump()
    return pages.reply_json({
        'team': call.team,
        'changed': accepted.changed
    } | shown, _Status.CREATED if first else _Status.OK,
                            (('ETag', pages.make_etag(branch.version)),))


def _mark(call: hooks.Call, leaving: bool) -> pages.Reply:
    mark = drains.Mark(call.team, call.parts['service'], call.parts['server'],
                       leaving)
    return _reply_change(
        call,
        drains.put_mark(call.hooks.store, mark, call.request.author,
                        call.clock))


def _read_identity(call: hooks.Call) -> credentials.Identity | None:
    token = credentials.parse_token(f'{call.team}.{call.parts["name"]}.')
    return token.identity if token else None


def _parse_copy(team: str, copy: histories.Copy) -> branches.Branch | None:
    record = stores.Record(branches.make_key(team), copy.value,
                           copy.line.version)
    try:
        return branches.parse(record)
    except exceptions.SettingsError:
        return None


def _reply_missing(detail: str) -> pages.Reply:
    return pages.reply_error(_Status.NOT_FOUND, _Reason.NOT_FOUND, detail)


def _log(call: hooks.Call, event: str, **fields: object) -> None:
    call.hooks.logger.info(event,
                           team=call.team,
                           author=call.request.author,
                           **fields)
