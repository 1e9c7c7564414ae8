"""What commands share: flags, files, calls, exit codes, error messages."""

from collections.abc import Callable
import enum
import http
import os
import sys
from typing import Any

from absl import flags

from lentilmoor import clients
from lentilmoor import exceptions
from lentilmoor import models
from lentilmoor import outcomes

_ADMIN = flags.DEFINE_string(
    'admin', os.environ.get('LENTILMOOR_ADMIN', '127.0.0.1:8081'),
    'Address of an entry\'s administration API; $LENTILMOOR_ADMIN.')
_TOKEN_FILE = flags.DEFINE_string(
    'token_file', '', 'File with the token; else $LENTILMOOR_TOKEN.')
_SETTINGS = flags.DEFINE_string(
    'settings', '', 'Settings file of an entry (entry, credential make).')
_JSON = flags.DEFINE_bool('json', False, 'Print the answer as it came.')

_CHANGE_ATTEMPTS = 3


class ExitCode(enum.IntEnum):
    """What the process ends with."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    UNKNOWN = 5


_HTTP_CODES = {
    http.HTTPStatus.CONFLICT: ExitCode.CONFLICT,
    http.HTTPStatus.PRECONDITION_FAILED: ExitCode.CONFLICT,
    http.HTTPStatus.SERVICE_UNAVAILABLE: ExitCode.UNAVAILABLE,
}
_PASSING = (http.HTTPStatus.SERVICE_UNAVAILABLE, http.HTTPStatus.UNAUTHORIZED,
            http.HTTPStatus.INTERNAL_SERVER_ERROR)


def has_settings() -> bool:
    """Returns whether --settings was given."""
    return bool(_SETTINGS.value)


def read_process() -> models.ProcessSettings | None:
    """Returns the process settings that --settings names, if valid."""
    path = _SETTINGS.value
    if not path:
        warn('expected --settings=FILE')
        return None
    text = read_file(path)
    if text is None:
        return None
    try:
        return models.parse_process(text)
    except exceptions.SettingsError as error:
        for problem in error.problems:
            warn(f'{path}: {problem}')
        return None


def read_file(path: str) -> str | None:
    """Returns a file's text; None, after a message, if it can't be read."""
    try:
        with open(path, encoding='utf-8') as file:
            return file.read()
    except (OSError, UnicodeDecodeError) as error:
        warn(f'{path}: {error}')
        return None


def call(method: str,
         path: str,
         body: str = '',
         headers: dict[str, str] | None = None) -> clients.Result:
    """Calls the API that --admin names with the token that was given."""
    target = clients.Target(_ADMIN.value, _read_token())
    return clients.call(target, method, path, body, headers)


def change(method: str,
           path: str,
           body: str = '',
           headers: dict[str, str] | None = None) -> clients.Result:
    """Makes a change that the API settles when it is sent again."""
    answer = call(method, path, body, headers)
    unknown = None
    for _ in range(_CHANGE_ATTEMPTS - 1):
        if isinstance(answer, outcomes.Unknown):
            unknown = answer
        if unknown is None or not _is_passing(answer):
            break
        answer = call(method, path, body, headers)
    return unknown if unknown and _is_passing(answer) else answer


def _is_passing(answer: clients.Result) -> bool:
    """Returns whether an answer leaves open what an earlier attempt did."""
    if isinstance(answer, clients.Answer):
        return answer.status in _PASSING
    return True


def is_good(answer: clients.Result) -> bool:
    """Returns whether a call was carried out."""
    return isinstance(answer, clients.Answer) and answer.is_good


def print_answer(answer: clients.Result, form: Callable[[Any],
                                                        str]) -> ExitCode:
    """Prints an answer in a form for people, or explains why not."""
    if not is_good(answer):
        return explain(answer)
    print(answer.text.rstrip('\n') if _JSON.value else form(answer.members))
    return ExitCode.DONE


def explain(answer: clients.Result) -> ExitCode:
    """Says on standard error why a call was not carried out."""
    if isinstance(answer, outcomes.Unknown):
        return fail(ExitCode.UNKNOWN,
                    f'the outcome is not known: {answer.detail}')
    if isinstance(answer, outcomes.NotRun):
        return fail(ExitCode.UNAVAILABLE, f'not done: {answer.detail}')
    members = answer.members
    warn(f'{answer.status}: {members.get("detail", answer.text[:200])}')
    for problem in members.get('errors', ()):
        warn(f'  {problem}')
    if 'current' in members:
        warn(f'  its version is {members["current"]}; read it, then put with '
             f'--base={members["current"]}')
    return _HTTP_CODES.get(answer.status, ExitCode.REFUSED)


def make_table(*columns: str) -> Callable[[Any], str]:
    """Returns a form that shows a list of objects, a line each."""

    def form(members: Any) -> str:
        rows = [columns
               ] + [[str(item[name]) for name in columns] for item in members]
        return '\n'.join('\t'.join(row) for row in rows)

    return form


def warn(text: str) -> None:
    """Writes a line on standard error."""
    print(text, file=sys.stderr)


def fail(code: ExitCode, text: str) -> ExitCode:
    """Writes a line on standard error and returns the exit code."""
    warn(text)
    return code


def _read_token() -> str:
    if _TOKEN_FILE.value:
        return (read_file(_TOKEN_FILE.value) or '').strip()
    return os.environ.get('LENTILMOOR_TOKEN', '')
