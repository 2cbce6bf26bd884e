"""HTTP client of scheduler hosts with failover.

Every host can serve every call. A call that a host certainly did not receive
is sent to the next host. A call whose answer was lost is sent to the next host
only if it may be repeated: jobs are identified by team and key, so submitting
a job twice does not run it twice.
"""

__all__ = ["Call", "HostClient"]

import json
from collections.abc import Sequence
from typing import Any

import aiohttp
import attrs
from returns.result import Failure, Result, Success

from dragonflybank.cli.answers import decode_answer, unknown_unless_proved
from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.model.work import Answer, answer_for_problem

CONNECT_TIMEOUT_S = 2.0
# Added to the time that the host may take to reply.
REPLY_MARGIN_S = 5.0
# Enough for the largest result that the store accepts (1 MB) as escaped JSON.
MAX_ANSWER_BYTES = 16 * 1024 * 1024


@attrs.frozen
class Call:
    """A call to a scheduler host.

    Attributes:
        method: HTTP method.
        path: Path with query string.
        body: JSON body; None for no body.
        wait_s: Time that the host may take to reply, in seconds.
        may_repeat: Whether the call may be repeated after a lost answer.
    """

    method: str
    path: str
    body: Any = None
    wait_s: float = 0.0
    may_repeat: bool = True

    @property
    def has_effect(self) -> bool:
        """Whether the call may change the state of a host."""
        return self.method != "GET"


class HostClient:
    """Calls several scheduler hosts in turn until one of them answers.

    Args:
        urls: Base URLs in order of preference.
        connect_timeout_s: Timeout for a new connection in seconds.
        reply_margin_s: Time in addition to that of a call, in seconds.
    """

    def __init__(
        self,
        urls: Sequence[str],
        *,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        reply_margin_s: float = REPLY_MARGIN_S,
    ):
        self._urls = tuple(url.rstrip("/") for url in urls)
        self._connect_timeout_s = connect_timeout_s
        self._reply_margin_s = reply_margin_s

    async def request_answer(self, call: Call) -> Answer:
        """Calls the hosts and returns the verified answer.

        The outcome is "unknown" if no answer proves another outcome.
        """
        earlier_loss: Problem | None = None
        last = answer_for_problem(Problem(Code.UNREACHABLE, "no host is given"))
        for url in self._urls:
            outcome = (await self._request(url, call)).bind(decode_answer)
            match outcome:
                case Success(Answer(code=Code.DRAINING) as answer):
                    # The host did not accept the work; another host may.
                    last = answer
                case Success(answer):
                    return (
                        unknown_unless_proved(answer, earlier_loss)
                        if earlier_loss
                        else answer
                    )
                case Failure(Problem(code=Code.UNREACHABLE) as failed):
                    last = answer_for_problem(failed)
                case Failure(failed):
                    # If the call has no effect, a lost answer does not matter.
                    earlier_loss = failed if call.has_effect else earlier_loss
                    last = answer_for_problem(failed)
                    if not call.may_repeat:
                        break
        return answer_for_problem(earlier_loss) if earlier_loss else last

    async def request_document(self, call: Call) -> Result[Any, Problem]:
        """Calls the hosts and returns the JSON body of the first reply."""
        earlier_loss: Problem | None = None
        last = Problem(Code.UNREACHABLE, "no host is given")
        for url in self._urls:
            match await self._request(url, call):
                case Success(document) if earlier_loss and _is_error_reply(
                    document
                ):
                    return failure(
                        Code.ANSWER_LOST,
                        f"an earlier call may have taken effect"
                        f" ({earlier_loss.detail}); the last one was refused:"
                        f" {document.get('detail', '')}",
                    )
                case Success(document):
                    return Success(document)
                case Failure(Problem(code=Code.UNREACHABLE) as failed):
                    last = failed
                case Failure(failed):
                    earlier_loss = failed
        return Failure(earlier_loss or last)

    async def _request(self, url: str, call: Call) -> Result[Any, Problem]:
        """Calls one host and returns the parsed body.

        The problem is ``UNREACHABLE`` if nothing was sent, ``ANSWER_LOST`` if
        the host may have received the call.
        """
        timeout = aiohttp.ClientTimeout(
            total=call.wait_s + self._reply_margin_s + self._connect_timeout_s,
            sock_connect=self._connect_timeout_s,
        )
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(
                    call.method, url + call.path, json=call.body
                ) as resp,
            ):
                return _parse_body(url, await _read_body(resp))
        except (aiohttp.ClientConnectorError, aiohttp.InvalidURL) as exc:
            return failure(Code.UNREACHABLE, f"{url}: {exc}")
        except aiohttp.ConnectionTimeoutError as exc:
            return failure(Code.UNREACHABLE, f"{url}: {exc}")
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            return failure(
                Code.ANSWER_LOST, f"{url}: {type(exc).__name__} {exc}"
            )


async def _read_body(resp: aiohttp.ClientResponse) -> bytes:
    body = await resp.content.read(MAX_ANSWER_BYTES)
    while chunk := await resp.content.read(MAX_ANSWER_BYTES - len(body)):
        body += chunk
    return body


def _parse_body(url: str, body: bytes) -> Result[Any, Problem]:
    try:
        return Success(json.loads(body))
    except (ValueError, RecursionError):
        return failure(Code.ANSWER_LOST, f"{url}: the answer is not JSON")


def _is_error_reply(document: Any) -> bool:
    return isinstance(document, dict) and document.get("code") != Code.OK
