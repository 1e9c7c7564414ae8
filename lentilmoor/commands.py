"""The command line: runs an entry, checks files, calls the administration API.

Exit codes are in `consoles.ExitCode`. A token comes from a file or the
environment, never from an argument, which others on the instance could read.
"""

from collections.abc import Callable
import dataclasses
import sys

from absl import app
from absl import flags

from lentilmoor import consoles
from lentilmoor import exceptions
from lentilmoor import models
from lentilmoor import operations

_ExitCode = consoles.ExitCode


@dataclasses.dataclass(frozen=True, slots=True)
class _Command:
    """One command.

    Attributes:
      run: Carries it out.
      usage: Its arguments, as shown to people; '[X]' may be left out.
    """

    run: Callable[..., int]
    usage: str = ''

    def accepts(self, arguments: list[str]) -> bool:
        """Returns whether the number of arguments is right."""
        words = self.usage.split()
        needed = [word for word in words if not word.startswith('[')]
        return len(needed) <= len(arguments) <= len(words)


def run() -> None:
    """Runs the command line; the installed script calls this."""
    app.run(lambda arguments: sys.exit(main(arguments)),
            flags_parser=_parse_flags)


def main(arguments: list[str]) -> int:
    """Carries out a command.

    Args:
      arguments: Program name and the arguments that are no flags.

    Returns:
      The process's exit code: a `consoles.ExitCode`, or that of an entry.
    """
    words = arguments[1:]
    for size in (2, 1):
        command = _COMMANDS.get(' '.join(words[:size]))
        if command is not None and len(words) >= size:
            if not command.accepts(words[size:]):
                return consoles.fail(
                    _ExitCode.USAGE, 'expected: lentilmoor '
                    f'{" ".join(words[:size])} {command.usage}')
            return command.run(*words[size:])
    return consoles.fail(_ExitCode.USAGE, _show_usage())


def _parse_flags(arguments: list[str]) -> list[str]:
    try:
        return flags.FLAGS(arguments)
    except flags.Error as error:
        sys.exit(consoles.fail(_ExitCode.USAGE, str(error)))


def _run_entry() -> int:
    settings = consoles.read_process()
    if settings is None:
        return _ExitCode.REFUSED
    # Its imports are heavy, and no other command needs them.
    # pylint: disable-next=import-outside-toplevel
    from lentilmoor import entries
    return entries.run(settings)


def _check(path: str) -> _ExitCode:
    text = consoles.read_file(path)
    if text is None:
        return _ExitCode.REFUSED
    is_branch = any(line.startswith('team:') for line in text.splitlines())
    parse = models.parse_team if is_branch else models.parse_process
    try:
        parse(text)
    except exceptions.SettingsError as error:
        for problem in error.problems:
            print(f'{path}: {problem}', file=sys.stderr)
        return _ExitCode.REFUSED
    print(f'{path}: a valid {"branch" if is_branch else "process file"}')
    return _ExitCode.DONE


def _show_usage() -> str:
    lines = [
        f'  lentilmoor {name} {command.usage}'.rstrip()
        for name, command in _COMMANDS.items()
    ]
    return '\n'.join(['usage:', *lines, 'Flags: lentilmoor --help'])


_COMMANDS = {
    'entry':
        _Command(_run_entry),
    'check':
        _Command(_check, 'FILE'),
    'settings get':
        _Command(operations.get_settings, 'TEAM'),
    'settings put':
        _Command(operations.put_settings, 'TEAM FILE'),
    'settings diff':
        _Command(operations.diff_settings, 'TEAM FILE'),
    'settings history':
        _Command(operations.show_history, 'TEAM [VERSION]'),
    'settings applied':
        _Command(operations.show_applied, 'TEAM'),
    'status':
        _Command(operations.show_status),
    'owner':
        _Command(operations.show_owner, 'TEAM/SERVICE KEY'),
    'drain':
        _Command(operations.drain, 'TEAM/SERVICE SERVER'),
    'quarantine list':
        _Command(operations.list_quarantine),
    'quarantine release':
        _Command(operations.release_quarantine, 'FINGERPRINT'),
    'credential make':
        _Command(operations.make_credential, 'TEAM NAME'),
    'credential revoke':
        _Command(operations.revoke_credential, 'TEAM NAME'),
    'credential list':
        _Command(operations.list_credentials, 'TEAM'),
}
