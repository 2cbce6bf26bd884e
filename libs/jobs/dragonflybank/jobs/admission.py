"""Admission of new jobs to a shard."""

__all__ = ["check_reused_key", "check_shard_size", "check_spec"]

import msgspec
from returns.result import Result

from dragonflybank.jobs.entries import Tombstone
from dragonflybank.jobs.journal import Journal
from dragonflybank.jobs.retention import spec_digest
from dragonflybank.jobs.runner import SchedulingRules
from dragonflybank.jobs.transitions import new_entry
from dragonflybank.jobs.value import EncodedItem, Item
from dragonflybank.jobs.value_size import ACCEPT_LIMIT_BYTES, MAX_SPEC_BYTES
from dragonflybank.model.codes import Code, failure
from dragonflybank.model.resources import fits
from dragonflybank.model.work import JobSpec, WorkClass, WorkKind

# A full shard shrinks with each job that ends or is removed. The time is not
# computed from its jobs, since there are many refusals at a load peak.
RETRY_AFTER_S = 30.0


def check_spec(spec: JobSpec, rules: SchedulingRules) -> Result | None:
    """Returns why a job can never be accepted, or None."""
    wc = rules.work_class(spec.work_class)
    if wc is None or wc.kind is WorkKind.LOOKUP:
        return failure(
            Code.BAD_REQUEST,
            f"{spec.work_class} is not a class of batch work",
            field="work_class",
        )
    if spec.tasks < 1:
        return failure(
            Code.BAD_REQUEST,
            f"{spec.tasks} tasks",
            field="tasks",
            accepted="at least 1",
        )
    if len(msgspec.msgpack.encode(spec)) > MAX_SPEC_BYTES:
        return failure(
            Code.BAD_REQUEST,
            "the spec of the job is too large",
            field="payload",
            accepted=f"at most {MAX_SPEC_BYTES} bytes in total",
        )
    if _projected_bytes(spec) > ACCEPT_LIMIT_BYTES:
        return failure(
            Code.BAD_REQUEST,
            f"{spec.tasks} tasks are too many for one job",
            field="tasks",
        )
    largest = rules.largest_worker()
    if largest is not None and not fits(spec.size, largest):
        return failure(
            Code.CAN_NEVER_RUN,
            "no worker can hold a task of this size",
            field="resources",
            accepted=f"at most {largest}",
        )
    limit = rules.max_running(spec.team)
    needed = spec.tasks if wc.kind is WorkKind.GANG else 1
    if limit is not None and needed > limit:
        return failure(
            Code.OVER_QUOTA,
            f"the team may run {limit} tasks at the same time in this shard",
            field="tasks",
            accepted=f"at most {limit}",
        )
    return None


def check_shard_size(spec: JobSpec, journal: Journal) -> Result | None:
    """Returns why the shard has no space for a job, or None."""
    size = journal.table.projected_bytes + _projected_bytes(spec)
    if size <= ACCEPT_LIMIT_BYTES:
        return None
    return failure(
        Code.OVERLOADED,
        f"the shard's journal is full ({size} of {ACCEPT_LIMIT_BYTES} bytes)",
        retry_after_s=RETRY_AFTER_S,
    )


def check_reused_key(spec: JobSpec, present: Item) -> Result | None:
    """Returns the refusal of a reused key, or None for the same spec."""
    used_digest = (
        present.spec_digest
        if isinstance(present, Tombstone)
        else spec_digest(present.record.spec)
    )
    if used_digest == spec_digest(spec):
        return None
    return failure(
        Code.KEY_REUSED,
        f"{spec.team}/{spec.key} was already used for another job",
        field="key",
    )


def _projected_bytes(spec: JobSpec) -> int:
    item = EncodedItem.from_item(
        new_entry(spec, WorkClass(spec.work_class), 0.0)
    )
    return len(item.encoded) + item.growth
