"""Calls of the administration API, as the command line makes them."""

import dataclasses
import json
from typing import Any

import urllib3

from lentilmoor import clocks
from lentilmoor import httpclient
from lentilmoor import outcomes
from lentilmoor import problems

_MAX_ANSWER_BYTES = 64 * 1024 * 1024

_Reason = outcomes.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Where the API is and who asks.

    Attributes:
      address: host:port.
      token: Bearer token; empty for the open pages.
      timeout_s: Time limit of a call, seconds.
    """

    address: str
    token: str = ''
    timeout_s: float = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What the API answered, good or bad.

    Attributes:
      status: HTTP status code.
      etag: The version in its entity tag; '' if there is none.
      warning: A stored value that does not parse, if one was met.
      text: The body.
    """

    status: int
    etag: str
    warning: str
    text: str

    @property
    def is_good(self) -> bool:
        """Whether the request was carried out."""
        return 200 <= self.status < 300

    @property
    def members(self) -> Any:
        """The body, parsed as JSON; empty if it is none."""
        try:
            return json.loads(self.text)
        except ValueError:
            return {}


Result = Answer | outcomes.NotRun | outcomes.Unknown


def call(target: Target,
         method: str,
         path: str,
         body: str = '',
         headers: dict[str, str] | None = None) -> Result:
    """Makes a call.

    Args:
      target: Where to, and as whom.
      method: HTTP method.
      path: Path and query, encoded.
      body: Body of a change.
      headers: More header fields.

    Returns:
      The answer; NotRun if there was no connection or a call that changes
      nothing got no answer; Unknown if a change got none or only a part.
    """
    sent = {'Authorization': f'Bearer {target.token}'} if target.token else {}
    try:
        with _make_pool(target) as pool:
            response = pool.urlopen(method,
                                    path,
                                    body=body.encode(),
                                    headers=sent | (headers or {}),
                                    preload_content=False,
                                    redirect=False,
                                    retries=False)
            data = response.read(_MAX_ANSWER_BYTES)
            response.release_conn()
    except (urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
            urllib3.exceptions.LocationParseError) as error:
        return outcomes.NotRun(_Reason.CONNECT_FAILED, str(error))
    except (urllib3.exceptions.HTTPError, OSError) as error:
        return _lost(method, str(error))
    told = response.headers.get(problems.OUTCOME_HEADER)
    if told == problems.Outcome.UNKNOWN.value:
        reason = response.headers.get(problems.REASON_HEADER)
        return problems.parse(told, reason, data)
    return Answer(response.status,
                  response.headers.get('ETag', '').strip('"'),
                  response.headers.get('Lentilmoor-Settings-Problem', ''),
                  data.decode(errors='replace'))


def _make_pool(target: Target) -> httpclient.ConnectionPool:
    url = urllib3.util.parse_url(f'http://{target.address}')
    return httpclient.ConnectionPool(url.host,
                                     url.port,
                                     timeout=target.timeout_s,
                                     clock=clocks.Clock(),
                                     max_body_bytes=_MAX_ANSWER_BYTES)


def _lost(method: str, detail: str) -> outcomes.NotRun | outcomes.Unknown:
    if method == 'GET':
        return outcomes.NotRun(_Reason.CONNECTION_LOST, detail)
    return outcomes.Unknown(_Reason.CONNECTION_LOST, detail)
