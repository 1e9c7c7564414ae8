"""Exceptions of this package: broken invariants and invalid input.

Failures that occur in operation are returned as values (see `outcomes`).
"""


class LentilmoorError(Exception):
    """Base class of all exceptions of this package."""


class InvariantError(LentilmoorError):
    """An invariant is violated, so the process must stop."""


class SettingsError(LentilmoorError):
    """Settings failed validation.

    Attributes:
      problems: One text per problem: the field or line, and what was expected
        there.
    """

    def __init__(self, problems: list[str]):
        super().__init__('; '.join(problems))
        self.problems = problems
