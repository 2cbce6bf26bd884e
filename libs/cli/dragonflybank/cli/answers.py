"""Answers of scheduler hosts: decoding, verification, exit status.

The exit status depends on the outcome: 0 done (also for a job accepted by
``submit`` without ``--wait-s``), 10 pending, 11 refused, 12 not run,
13 unknown, 14 failed. It is 2 for wrong arguments.
"""

__all__ = [
    "EXIT_STATUS",
    "answer_as_text",
    "decode_answer",
    "exit_status",
    "unknown_unless_proved",
    "verify_result",
]

from typing import Any

import attrs
from returns.result import Result, Success

from dragonflybank.config.decode import combine_problems, decode
from dragonflybank.config.validation import ValidationRules
from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.model.hashing import digest
from dragonflybank.model.work import Answer, Outcome, answer_for_problem

EXIT_STATUS = {
    Outcome.DONE: 0,
    Outcome.PENDING: 10,
    Outcome.REFUSED: 11,
    Outcome.NOT_RUN: 12,
    Outcome.UNKNOWN: 13,
    Outcome.FAILED: 14,
}
_FIELDS = {field.name for field in attrs.fields(Answer)}
# Codes that report the state in the job's journal. They are conclusive even if
# the answer to an earlier call was lost.
_CODES_FROM_JOURNAL = (Code.CANCELLED_BEFORE_START, Code.KEY_REUSED)


def decode_answer(document: Any) -> Result[Answer, Problem]:
    """Decodes and verifies the answer in a response.

    Args:
        document: Parsed JSON body; unknown fields are ignored.

    Returns:
        The answer, or ``ANSWER_LOST`` if it is malformed or incomplete.
    """
    if isinstance(document, dict):
        document = {k: v for k, v in document.items() if k in _FIELDS}
    decoded = decode(
        document, Answer, ValidationRules({}, {}), code=Code.ANSWER_LOST
    )
    return decoded.alt(combine_problems).bind(verify_result)


def verify_result(answer: Answer) -> Result[Answer, Problem]:
    """Checks the length and digest of the result in an answer.

    Returns:
        The answer, or ``ANSWER_LOST`` if its result is damaged.
    """
    if answer.outcome is not Outcome.DONE:
        return Success(answer)
    body = answer.result.encode(errors="surrogatepass")
    if len(body) != answer.length:
        return failure(
            Code.ANSWER_LOST,
            f"the result has {len(body)} bytes, {answer.length} were announced",
            field="length",
        )
    if digest(body) != answer.digest:
        return failure(
            Code.ANSWER_LOST,
            "the digest of the result differs from the one announced",
            field="digest",
        )
    return Success(answer)


def unknown_unless_proved(answer: Answer, earlier_loss: Problem) -> Answer:
    """Replaces a refusal by ``ANSWER_LOST`` if the work may have run.

    A refusal by one host does not prove that the work did not run if another
    host may have accepted an earlier call.

    Args:
        answer: Answer to the last call.
        earlier_loss: Why the answer to an earlier call is missing.
    """
    if answer.outcome not in (Outcome.REFUSED, Outcome.NOT_RUN):
        return answer
    if answer.code in _CODES_FROM_JOURNAL:
        return answer
    detail = (
        f"an earlier call may have been accepted ({earlier_loss.detail});"
        f" the last one was refused: {answer.detail}"
    )
    return answer_for_problem(
        Problem(Code.ANSWER_LOST, detail, retry_after_s=answer.retry_after_s),
        ask=answer.ask,
    )


def exit_status(answer: Answer) -> int:
    """Returns the exit status that belongs to an answer.

    Example:
        >>> exit_status(Answer(Outcome.UNKNOWN, Code.ANSWER_LOST))
        13
    """
    return EXIT_STATUS[answer.outcome]


def answer_as_text(answer: Answer) -> str:
    """Formats an answer for people; only the result if the work is done."""
    if answer.outcome is Outcome.DONE:
        return answer.result
    parts = [f"{answer.outcome} (code {int(answer.code)} {answer.code.name})"]
    parts += [f"state {answer.state}"] if answer.state else []
    parts += [answer.detail] if answer.detail else []
    parts += [f"field {answer.field}"] if answer.field else []
    parts += [f"accepted is {answer.accepted}"] if answer.accepted else []
    if answer.retry_after_s:
        parts.append(f"retry after {answer.retry_after_s:g} s")
    return "; ".join(parts)
