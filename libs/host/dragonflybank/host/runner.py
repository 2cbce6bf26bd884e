"""Reserves, starts, stops and resolves tasks on workers of any owner."""

__all__ = ["HostTaskRunner", "ReservationResult", "reserve_locally"]

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
class ReservationResult:
    """Reservations made for tasks of a job.

    Attributes:
        reservations: The reservations.
        shortage: Why there are fewer than wanted; empty if there are enough.
    """

    reservations: tuple[Reservation, ...]
    shortage: str = ""


def reserve_locally(
    host,
    need: Resources,
    count: int,
    *,
    avoid: Collection[str],
    now: float,
    policy: PlacementPolicy,
    subject: str,
    hold_s: float,
) -> "ReservationResult":
    """Reserves resources on the workers that a host owns.

    Args:
        host: The scheduler host.
        need: Resources of each task.
        count: Number of tasks.
        avoid: Workers that are used only if no other one fits.
        now: Current time, seconds since 1970.
        policy: Chooses among the workers.
        subject: Subject of the logged decisions.
        hold_s: Lifetime of the reservations in seconds.

    Returns:
        At most ``count`` reservations, and the reason if there are fewer.
    """
    held: list[Reservation] = []
    shortage = ""
    refused: set[str] = set()
    while len(held) < count:
        candidates = [
            c
            for c in host.owned_workers.task_candidates(now)
            if c.name not in refused
        ]
        chosen = policy.choose(need, candidates, now, avoid=avoid)
        if isinstance(chosen, Failure):
            chosen = policy.choose(need, candidates, now)
        if isinstance(chosen, Failure):
            shortage = chosen.failure().detail
            break
        choice = chosen.unwrap()
        reserved = host.owned_workers.session(choice.name).reserve(
            need, now, hold_s=hold_s
        )
        if isinstance(reserved, Failure):
            refused.add(choice.name)
            continue
        held.append(reserved.unwrap())
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
    return ReservationResult(tuple(held), shortage)


class HostTaskRunner(TaskRunner):
    """Runs the tasks of this host's shards on workers of any owner."""

    def __init__(self, host, policy: PlacementPolicy):
        self._host = host
        self._policy = policy
        self._rng = random.Random(f"{host.name}/runner")
        self._known_owners: dict[str, str] = {}

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
        shortage = "no host reports enough free resources"
        for owner in self._hosts_to_reserve_at(size, now):
            missing = count - len(held)
            if missing <= 0:
                break
            if owner == self._host.name:
                local = reserve_locally(
                    self._host,
                    size,
                    missing,
                    avoid=avoid,
                    now=now,
                    policy=self._policy,
                    subject=subject,
                    hold_s=self._host.settings.intervals.hold_s,
                )
                held += local.reservations
                shortage = local.shortage or shortage
            else:
                held += await self._reserve_at_peer(
                    owner, wc, size, missing, avoid
                )
        self._known_owners.update({r.worker: r.host for r in held})
        if held:
            return Success(tuple(held))
        # The shard home logs the decision to wait, with this reason.
        return failure(Code.NO_WORKER, shortage, retry_after_s=0.5)

    async def release(self, reservations: Sequence[Reservation]) -> None:
        """See `TaskRunner.release`."""
        for owner, group in _group_by(reservations, lambda r: r.host):
            if owner == self._host.name:
                self._host.owned_workers.release(group)
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
        owner = self._last_known_owner(start.worker, now)
        req = messages.StartRequest(start, spec.work_class, spec.payload)
        if owner == self._host.name:
            return await self._host.owned_workers.start(req)
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
            self._stop_at_owner(owner, group)
            for owner, group in _group_by(
                starts, lambda s: self._last_known_owner(s.worker, now)
            )
        ]
        replies = await asyncio.gather(*calls)
        failed = next((r for r in replies if isinstance(r, Failure)), None)
        return failed or Success(None)

    async def resolve(
        self, start: StartRecord, *, now: float
    ) -> Result[Resolution, Problem]:
        """See `TaskRunner.resolve`."""
        owner = self._current_owner(start.worker, now)
        if owner == self._host.name:
            return await self._host.owned_workers.resolve(start)
        if not owner:
            return failure(Code.NO_WORKER, f"no host owns {start.worker}")
        return await self._host.links.call(
            owner, messages.ResolveRequest(start), timeout_s=RESOLVE_TIMEOUT_S
        )

    async def _stop_at_owner(self, owner, group) -> Result:
        if owner == self._host.name:
            return await self._host.owned_workers.stop(group)
        return await self._host.links.call(
            owner,
            messages.StopRequest(tuple(group)),
            timeout_s=START_TIMEOUT_S,
        )

    def _hosts_to_reserve_at(self, size: Resources, now: float) -> list[str]:
        own = self._host.capacity_summary(now)
        summaries = self._host.fresh_summaries(now)
        in_region = reservation_hosts(size, own, summaries, now, self._rng)
        if in_region:
            return in_region
        # Once this region has no free resources at all, waiting for it would
        # cost more than using the link to another region.
        elsewhere = [
            s.host
            for s in summaries
            if s.region != own.region and s.largest.slots >= size.slots
        ]
        return self._rng.sample(elsewhere, min(1, len(elsewhere)))

    async def _reserve_at_peer(self, owner, wc, size, count, avoid):
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

    def _last_known_owner(self, worker: str, now: float) -> str:
        session = self._host.owned_workers.session(worker)
        if session is not None and session.is_owned:
            return self._host.name
        return self._known_owners.get(worker) or self._current_owner(
            worker, now
        )

    def _current_owner(self, worker: str, now: float) -> str:
        session = self._host.owned_workers.session(worker)
        if session is not None and session.is_owned:
            return self._host.name
        row = self._host.fleet.find_worker(worker)
        region = row.region if row else self._host.settings.region
        hosts = self._host.membership.live_hosts(region, now)
        hosts = hosts or self._host.membership.live_hosts(None, now)
        return rank_members(worker, hosts)[0] if hosts else ""


def _group_by(items, key):
    """Returns pairs of a key and the items with this key."""
    ordered = sorted(items, key=key)
    return [(k, list(g)) for k, g in itertools.groupby(ordered, key)]
