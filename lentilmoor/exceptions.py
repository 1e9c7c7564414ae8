"""Exceptions of this package: broken invariants, and bad input at the border.

Operational failures are values (see `outcomes`).
"""


class LentilmoorError(Exception):
    """Base of every exception raised by this package."""


class InvariantError(LentilmoorError):
    """An invariant is broken; the process must stop."""


class SettingsError(LentilmoorError):
    """Settings failed validation.

    Attributes:
      problems: One line per problem: the field or line, and what was expected.
    """

    def __init__(self, problems: list[str]):
        super().__init__('; '.join(problems))
        self.problems = problems
