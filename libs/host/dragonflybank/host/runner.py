"""Reserves, starts, stops and resolves tasks at owned and remote workers."""

__all__ = ["HostTaskRunner", "Room", "reserve_here"]

import asyncio
import itertools
import random
import secrets
from collections.abc import Collection, Sequence

import attrs
from returns.result import Failure, Result, Success

from dragonflybank.cluster import messages
from dragonflybank.jobs.home import TaskRunner
from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.model.decisions import Decision
from dragonflybank.model.hashing import rank_members
from dragonflybank.model.leases import Reservation, Resolution, StartReply
from dragonflybank.model.resources import Resources
from dragonflybank.model.work import JobSpec, StartRecord, WorkClass
from dragonflybank.policy.placement import PlacementPolicy
from dragonflybank.policy.routing import reservation_hosts

RESERVE_TIMEOUT_S = 1.0
START_TIMEOUT_S = 4.0
RESOLVE_TIMEOUT_S = 6.0


@attrs.frozen
class Room:
    """Room held for tasks of a job.

    Attributes:
        held: Reservations.
        why: Why there are no more, empty if there are enough.
    """

    held: tuple[Reservation, ...]
    why: str = ""


def reserve_here(
    host,
    need: Resources,
    count: int,
    *,
    avoid: Collection[str],
    now: float,
    policy: PlacementPolicy,
    subject: str,
    hold_s: float,
) -> "Room":
    """Holds room on the workers that a host owns.

    Args:
        host: The scheduler host.
        need: Resources of each task.
        count: Number of tasks.
        avoid: Workers that are taken only if there is no other.
        now: Present time, seconds since 1970.
        policy: Chooses among the workers.
        subject: What the room is for, in the decisions' log.
        hold_s: Time for which the room is held, in seconds.

    Returns:
        At most ``count`` reservations, and why there are not more.
    """
    held: list[Reservation] = []
    why = ""
    refused: set[str] = set()
    while len(held) < count:
        candidates = [
            c for c in host.owner.task_candidates(now) if c.name not in refused
        ]
        chosen = policy.choose(need, candidates, now, avoid=avoid)
        if isinstance(chosen, Failure):
            chosen = policy.choose(need, candidates, now)
        if isinstance(chosen, Failure):
            why = chosen.failure().detail
            break
        choice = chosen.unwrap()
        room = host.owner.session(choice.name).reserve(need, now, hold_s=hold_s)
        if isinstance(room, Failure):
            refused.add(choice.name)
            continue
        held.append(room.unwrap())
        host.decisions.add(
            Decision(
                now,
                "reserve",
                subject,
                choice.name,
                choice.reason,
                choice.passed_over,
            )
        )
    return Room(tuple(held), why)


class HostTaskRunner(TaskRunner):
    """Runs the tasks of this host's shards at workers of any owner."""

    def __init__(self, host, policy: PlacementPolicy):
        self._host = host
        self._policy = policy
        self._rng = random.Random(f"{host.name}/runner")
        self._owners: dict[str, str] = {}

    async def reserve(
        self,
        spec: JobSpec,
        wc: WorkClass,
        count: int,
        size: Resources,
        *,
        avoid: Sequence[str],
        now: float,
    ) -> Result[tuple[Reservation, ...], Problem]:
        """See `TaskRunner.reserve`."""
        subject = f"{spec.team}/{spec.key}"
        held: list[Reservation] = []
        why = "no host has summarised enough room"
        for owner in self._owners_to_ask(size, now):
            missing = count - len(held)
            if missing <= 0:
                break
            if owner == self._host.name:
                here = reserve_here(
                    self._host,
                    size,
                    missing,
                    avoid=avoid,
                    now=now,
                    policy=self._policy,
                    subject=subject,
                    hold_s=self._host.settings.intervals.hold_s,
                )
                held += here.held
                why = here.why or why
            else:
                held += await self._reserve_at(owner, wc, size, missing, avoid)
        self._owners.update({r.worker: r.host for r in held})
        if held:
            return Success(tuple(held))
        # The home writes the decision to wait, with this reason.
        return failure(Code.NO_WORKER, why, retry_after_s=0.5)

    async def release(self, reservations: Sequence[Reservation]) -> None:
        """See `TaskRunner.release`."""
        for owner, group in _by(reservations, lambda r: r.host):
            if owner == self._host.name:
                self._host.owner.release(group)
            else:
                await self._host.links.call(
                    owner,
                    messages.ReleaseRequest(tuple(group)),
                    timeout_s=RESERVE_TIMEOUT_S,
                )

    async def start(
        self, start: StartRecord, spec: JobSpec, *, now: float
    ) -> Result[StartReply, Problem]:
        """See `TaskRunner.start`."""
        owner = self._owner_of(start.worker, now)
        req = messages.StartRequest(start, spec.work_class, spec.payload)
        if owner == self._host.name:
            return await self._host.owner.start(req)
        reply = await self._host.links.call(
            owner, req, timeout_s=START_TIMEOUT_S
        )
        return reply.map(lambda found: found.reply)

    async def stop(
        self, starts: Sequence[StartRecord]
    ) -> Result[None, Problem]:
        """See `TaskRunner.stop`."""
        now = self._host.clock()
        calls = [
            self._stop_at(owner, group)
            for owner, group in _by(
                starts, lambda s: self._owner_of(s.worker, now)
            )
        ]
        replies = await asyncio.gather(*calls)
        failed = next((r for r in replies if isinstance(r, Failure)), None)
        return failed or Success(None)

    async def resolve(
        self, start: StartRecord, *, now: float
    ) -> Result[Resolution, Problem]:
        """See `TaskRunner.resolve`."""
        owner = self._present_owner(start.worker, now)
        if owner == self._host.name:
            return await self._host.owner.resolve(start)
        if not owner:
            return failure(Code.NO_WORKER, f"no host owns {start.worker}")
        return await self._host.links.call(
            owner, messages.ResolveRequest(start), timeout_s=RESOLVE_TIMEOUT_S
        )

    async def _stop_at(self, owner, group) -> Result:
        if owner == self._host.name:
            return await self._host.owner.stop(group)
        return await self._host.links.call(
            owner,
            messages.StopRequest(tuple(group)),
            timeout_s=START_TIMEOUT_S,
        )

    def _owners_to_ask(self, size: Resources, now: float) -> list[str]:
        own = self._host.capacity(now)
        summaries = self._host.fresh_summaries(now)
        near = reservation_hosts(size, own, summaries, now, self._rng)
        if near:
            return near
        # Waiting for the own region would cost more than the link once the
        # region has no room at all.
        far = [
            s.host
            for s in summaries
            if s.region != own.region and s.largest.slots >= size.slots
        ]
        return self._rng.sample(far, min(1, len(far)))

    async def _reserve_at(self, owner, wc, size, count, avoid):
        reply = await self._host.links.call(
            owner,
            messages.ReserveRequest(
                secrets.token_hex(8),
                wc.name,
                size,
                count,
                tuple(avoid),
                self._host.settings.intervals.hold_s,
            ),
            timeout_s=RESERVE_TIMEOUT_S,
        )
        return reply.map(lambda found: list(found.reservations)).value_or([])

    def _owner_of(self, worker: str, now: float) -> str:
        session = self._host.owner.session(worker)
        if session is not None and session.is_owned:
            return self._host.name
        return self._owners.get(worker) or self._present_owner(worker, now)

    def _present_owner(self, worker: str, now: float) -> str:
        session = self._host.owner.session(worker)
        if session is not None and session.is_owned:
            return self._host.name
        row = self._host.fleet.worker(worker)
        region = row.region if row else self._host.settings.region
        hosts = self._host.membership.live_hosts(region, now)
        hosts = hosts or self._host.membership.live_hosts(None, now)
        return rank_members(worker, hosts)[0] if hosts else ""


def _by(items, key):
    """Returns pairs of a key and the items that have it."""
    ordered = sorted(items, key=key)
    return [(k, list(g)) for k, g in itertools.groupby(ordered, key)]
