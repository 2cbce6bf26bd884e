"""HTTP client of scheduler hosts with failover.

Every host can take every call. A call that was certainly not received goes to
the next host. A call whose answer was lost goes to the next host only if
repeating it is harmless: the same team and key is the same work.
"""

__all__ = ["Call", "HostClient"]

import json
from collections.abc import Sequence
from typing import Any

import aiohttp
import attrs
from returns.result import Failure, Result, Success

from dragonflybank.cli.answers import decode_answer, keeps_doubt
from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.model.work import Answer, answer_for_problem

CONNECT_TIMEOUT_S = 2.0
# Added to the time that the host itself may take.
MARGIN_S = 5.0
# Covers the largest result that the store holds (1 MB) as escaped JSON.
ANSWER_BYTES_MAX = 16 * 1024 * 1024


@attrs.frozen
class Call:
    """One call of a scheduler host.

    Attributes:
        method: HTTP method.
        path: Path with query.
        body: JSON body; None for no body.
        wait_s: Time that the host may take, in seconds.
        may_repeat: Whether a second call has no second effect.
    """

    method: str
    path: str
    body: Any = None
    wait_s: float = 0.0
    may_repeat: bool = True

    @property
    def has_effect(self) -> bool:
        """Whether the call may change something."""
        return self.method != "GET"


class HostClient:
    """Calls the first of some scheduler hosts that answers.

    Args:
        urls: Base URLs in order of preference.
        connect_timeout_s: Time-out of a new connection in seconds.
        margin_s: Time in addition to a call's own, in seconds.
    """

    def __init__(
        self,
        urls: Sequence[str],
        *,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        margin_s: float = MARGIN_S,
    ):
        self._urls = tuple(url.rstrip("/") for url in urls)
        self._connect_timeout_s = connect_timeout_s
        self._margin_s = margin_s

    async def answer(self, call: Call) -> Answer:
        """Returns the verified answer to a call.

        The outcome is "unknown" if no host gave an answer that proves more.
        """
        lost: Problem | None = None
        last = answer_for_problem(Problem(Code.UNREACHABLE, "no host is given"))
        for url in self._urls:
            outcome = (await self._document(url, call)).bind(decode_answer)
            match outcome:
                case Success(Answer(code=Code.DRAINING) as answer):
                    # Proved not accepted here; another host may take it.
                    last = answer
                case Success(answer):
                    return keeps_doubt(answer, lost) if lost else answer
                case Failure(Problem(code=Code.UNREACHABLE) as failed):
                    last = answer_for_problem(failed)
                case Failure(failed):
                    # A lost answer to a call without effect leaves no doubt.
                    lost = failed if call.has_effect else lost
                    last = answer_for_problem(failed)
                    if not call.may_repeat:
                        break
        return answer_for_problem(lost) if lost else last

    async def document(self, call: Call) -> Result[Any, Problem]:
        """Returns the JSON body of the first host that answers."""
        lost: Problem | None = None
        last = Problem(Code.UNREACHABLE, "no host is given")
        for url in self._urls:
            match await self._document(url, call):
                case Success(document) if lost and _is_refusal(document):
                    return failure(
                        Code.ANSWER_LOST,
                        f"an earlier call may have taken effect"
                        f" ({lost.detail}); the last one was refused:"
                        f" {document.get('detail', '')}",
                    )
                case Success(document):
                    return Success(document)
                case Failure(Problem(code=Code.UNREACHABLE) as failed):
                    last = failed
                case Failure(failed):
                    lost = failed
        return Failure(lost or last)

    async def _document(self, url: str, call: Call) -> Result[Any, Problem]:
        """Returns a parsed body; ``UNREACHABLE`` if nothing was sent."""
        timeout = aiohttp.ClientTimeout(
            total=call.wait_s + self._margin_s + self._connect_timeout_s,
            sock_connect=self._connect_timeout_s,
        )
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(
                    call.method, url + call.path, json=call.body
                ) as resp,
            ):
                return _parsed(url, await _whole_body(resp))
        except (aiohttp.ClientConnectorError, aiohttp.InvalidURL) as exc:
            return failure(Code.UNREACHABLE, f"{url}: {exc}")
        except aiohttp.ConnectionTimeoutError as exc:
            return failure(Code.UNREACHABLE, f"{url}: {exc}")
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            return failure(
                Code.ANSWER_LOST, f"{url}: {type(exc).__name__} {exc}"
            )


async def _whole_body(resp: aiohttp.ClientResponse) -> bytes:
    body = await resp.content.read(ANSWER_BYTES_MAX)
    while chunk := await resp.content.read(ANSWER_BYTES_MAX - len(body)):
        body += chunk
    return body


def _parsed(url: str, body: bytes) -> Result[Any, Problem]:
    try:
        return Success(json.loads(body))
    except (ValueError, RecursionError):
        return failure(Code.ANSWER_LOST, f"{url}: the answer is not JSON")


def _is_refusal(document: Any) -> bool:
    return isinstance(document, dict) and document.get("code") != Code.OK
