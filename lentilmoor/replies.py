"""Replies of the control actor to those who wait for them."""

from concurrent import futures
import contextlib


def give(reply: futures.Future, result: object) -> None:
    """Gives a result to whoever waits, unless nobody does any more.

    Who waited may have given up at its deadline and cancelled the future, at
    any moment; that is no fault of the actor.

    Args:
      reply: Where the result is waited for.
      result: The result.
    """
    with contextlib.suppress(futures.InvalidStateError):
        reply.set_result(result)
