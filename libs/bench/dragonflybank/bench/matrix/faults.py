"""The faults of the matrix.

The coroutine of a fault puts it in force, sets ``cell_run.fault_started`` and
returns when the fault has ended.
"""

__all__ = ["FAULTS", "Fault", "combine_faults"]

import asyncio
from collections.abc import Awaitable, Callable

import attrs

from dragonflybank.bench.matrix.cell_run import CellRun
from dragonflybank.bench.matrix.client import Job
from dragonflybank.bench.matrix.layout import (
    BILLED_CLASS,
    FAR_REGION,
    HOME_REGION,
    REPEATABLE_CLASS,
)
from dragonflybank.config.topology import HostSpec
from dragonflybank.model.topology import VmState
from dragonflybank.model.work import Outcome

# Longer than a lease of 15 s, so that all leases expire.
LONGER_THAN_LEASE_S = 17.0
# Longer than a lease with its safety margin.
STORE_OUTAGE_S = 21.0
# Longer than the detection of a dead host (3 s) and the first claims after it.
LONGER_THAN_TAKEOVER_S = 6.0
# Clients of the store time out after 2 s, so they have given up by then.
STORE_DELAY_S = 2.5
STORE_SLOW_DURATION_S = 10.0
LOST_REPLIES_DURATION_S = 4.0
PARTITION_DURATION_S = 15.0
VMLIST_LAG_S = 10.0
WAVE_JOBS = 12
ANY_FINAL_OUTCOME = frozenset({Outcome.DONE, Outcome.FAILED, Outcome.NOT_RUN})


@attrs.frozen
class Fault:
    """A row of the matrix.

    Attributes:
        name: Name in test names.
        title: Heading of the row in the fault matrix page.
        inject: Coroutine that runs the fault from its start to its end.
        two_regions: Whether the deployment needs two regions.
        extra_outcomes: Outcomes other than ``done`` that work which is not
            repeatable may have.
    """

    name: str
    title: str
    inject: Callable[[CellRun], Awaitable[None]]
    two_regions: bool = False
    extra_outcomes: frozenset[Outcome] = frozenset()


def combine_faults(
    first: Fault, second: Fault, *, delay_s: float = 0.0
) -> Fault:
    """Returns a fault that consists of two faults.

    Args:
        first: Fault that starts at once.
        second: Fault that starts after the delay. With a delay, it affects
            the host that has taken over from the one of the first fault.
        delay_s: Delay of the second fault in seconds.
    """

    async def inject(cell_run: CellRun) -> None:
        async def inject_second() -> None:
            if delay_s:
                await asyncio.sleep(delay_s)
                cell_run.select_successor()
            await second.inject(cell_run)

        await asyncio.gather(first.inject(cell_run), inject_second())

    return Fault(
        f"{first.name}_and_{second.name}",
        f"{first.title}, and {second.title}"
        + (" at the successor" if delay_s else " at once"),
        inject,
        first.two_regions or second.two_regions,
        first.extra_outcomes | second.extra_outcomes,
    )


async def _kill_host(cell_run: CellRun) -> None:
    cell_run.deployment.kill(cell_run.host)
    cell_run.fault_started.set()


async def _pause_host(cell_run: CellRun) -> None:
    host = cell_run.host
    cell_run.deployment.pause(host)
    cell_run.fault_started.set()
    await asyncio.sleep(LONGER_THAN_LEASE_S)
    cell_run.deployment.resume(host)


async def _replace_host(cell_run: CellRun) -> None:
    spec = cell_run.deployment.hosts[cell_run.host].spec
    cell_run.deployment.kill(cell_run.host)
    cell_run.fault_started.set()
    number = len(cell_run.deployment.hosts)
    new = HostSpec(f"new{number}", spec.region, spec.failure_domain)
    await cell_run.deployment.start_host(new)
    cell_run.deployment.vmlist.remove(spec.name)


async def _lose_worker(cell_run: CellRun) -> None:
    worker = cell_run.worker
    await worker.set_faults(killed=True)
    cell_run.fault_started.set()
    await asyncio.sleep(LONGER_THAN_TAKEOVER_S)
    await worker.set_faults(killed=False)


async def _pause_worker(cell_run: CellRun) -> None:
    worker = cell_run.worker
    await worker.set_faults(frozen=True)
    cell_run.fault_started.set()
    await asyncio.sleep(LONGER_THAN_LEASE_S)
    await worker.set_faults(frozen=False)


async def _fail_worker_tasks(cell_run: CellRun) -> None:
    worker = cell_run.worker
    await worker.set_faults(fails_everything=True)
    cell_run.fault_started.set()
    await asyncio.sleep(LONGER_THAN_TAKEOVER_S)
    await worker.set_faults(fails_everything=False)


async def _stop_store(cell_run: CellRun) -> None:
    await cell_run.deployment.store.set_faults(down=True)
    cell_run.fault_started.set()
    await asyncio.sleep(STORE_OUTAGE_S)
    await cell_run.deployment.store.set_faults(down=False)


async def _slow_store(cell_run: CellRun) -> None:
    await cell_run.deployment.store.set_faults(delay_s=STORE_DELAY_S)
    cell_run.fault_started.set()
    await asyncio.sleep(STORE_SLOW_DURATION_S)
    await cell_run.deployment.store.set_faults(delay_s=0.0)


async def _lose_store_replies(cell_run: CellRun) -> None:
    await cell_run.deployment.store.set_faults(drop_reply=True)
    cell_run.fault_started.set()
    await asyncio.sleep(LOST_REPLIES_DURATION_S)
    await cell_run.deployment.store.set_faults(drop_reply=False)


async def _stop_store_responses(cell_run: CellRun) -> None:
    await cell_run.deployment.store.set_faults(silence=True)
    cell_run.fault_started.set()


async def _stop_responses(cell_run: CellRun) -> None:
    deployment = cell_run.deployment
    for server in (
        deployment.store,
        deployment.vmlist,
        *deployment.workers.values(),
    ):
        await server.set_faults(silence=True)
    deployment.relays.stop_forwarding()
    cell_run.fault_started.set()


async def _partition_regions(cell_run: CellRun) -> None:
    regions = {
        name: host.spec.region
        for name, host in cell_run.deployment.hosts.items()
    }
    cell_run.deployment.relays.drops_messages = lambda sender, receiver: (
        {regions.get(sender), regions.get(receiver)}
        == {HOME_REGION, FAR_REGION}
    )
    cell_run.fault_started.set()
    await asyncio.sleep(PARTITION_DURATION_S)
    cell_run.deployment.relays.drops_messages = lambda sender, receiver: False


async def _delay_vm_list(cell_run: CellRun) -> None:
    """A worker reports at once that it leaves; the VM list reports it late."""
    deployment, worker = cell_run.deployment, cell_run.worker
    deployment.vmlist.lag_s = VMLIST_LAG_S
    deployment.vmlist.set_state(worker.name, VmState.LEAVING)
    await worker.set_faults(leaving=True)
    cell_run.fault_started.set()
    await asyncio.sleep(VMLIST_LAG_S)
    await worker.set_faults(leaving=False)
    deployment.vmlist.lag_s = 0.0
    deployment.vmlist.set_state(worker.name, VmState.LIVE)


async def _race_operators(cell_run: CellRun) -> None:
    """Three operators apply changes of the same path concurrently."""
    cell_run.fault_started.set()
    hosts = cell_run.deployment.live_hosts()
    names = [f"race{n}-{len(cell_run.deployment.records())}" for n in range(3)]

    async def apply_change(number: int) -> int:
        name, host = names[number], hosts[number % len(hosts)]
        text = (
            f"stage {name}: "
            f"set class.{REPEATABLE_CLASS}.priority = {number + 20}"
        )
        await cell_run.client.run_command(text, name, host=host)
        await all_staged.wait()
        reply = await cell_run.client.run_command(
            f"apply {name}", name, host=host
        )
        return reply["code"]

    all_staged = asyncio.Barrier(len(names))
    codes = await asyncio.gather(*(apply_change(number) for number in range(3)))
    cell_run.check(sorted(codes) == [0, 208, 208], f"race ended with {codes}")


async def _cancel_wave(cell_run: CellRun) -> None:
    """Twelve jobs are submitted and cancelled concurrently."""
    cell_run.fault_started.set()
    jobs = [
        Job(
            f"wave-{n}",
            (BILLED_CLASS, REPEATABLE_CLASS)[n % 2],
            ANY_FINAL_OUTCOME,
            run_s=3.0,
        )
        for n in range(WAVE_JOBS)
    ]

    async def submit_and_cancel(job: Job) -> None:
        await cell_run.client.submit(job)
        await cell_run.client.cancel(job)
        await cell_run.client.wait_until_final(job)

    await asyncio.gather(*(submit_and_cancel(job) for job in jobs))


async def _exceed_declared_sizes(cell_run: CellRun) -> None:
    """Tasks use much more memory, cores and time than declared."""
    cell_run.fault_started.set()
    oversized = {"memory_mb": 7000}
    jobs = (
        Job("huge-table", REPEATABLE_CLASS, run_s=2.0, extra_load=oversized),
        Job(
            "huge-billed",
            BILLED_CLASS,
            frozenset({Outcome.FAILED}) | cell_run.fault.extra_outcomes,
            run_s=2.0,
            extra_load=oversized,
        ),
        Job(
            "long-table", REPEATABLE_CLASS, run_s=12.0, extra_load={"cores": 8}
        ),
    )
    await asyncio.gather(
        *(cell_run.client.submit_and_wait(job) for job in jobs)
    )


async def _submit_unplaceable_jobs(cell_run: CellRun) -> None:
    """Jobs are submitted that are too large for any worker."""
    cell_run.fault_started.set()
    jobs = (
        Job(
            f"never-{wc}",
            wc,
            frozenset({Outcome.NOT_RUN}),
            resources={"cores": 1000, "memory_mb": 1e6},
        )
        for wc in (BILLED_CLASS, REPEATABLE_CLASS)
    )
    await asyncio.gather(
        *(cell_run.client.submit_and_wait(job) for job in jobs)
    )


_UNKNOWN_OUTCOME = frozenset({Outcome.UNKNOWN})
_FAILED_OUTCOME = frozenset({Outcome.FAILED})

KILLED = Fault("killed", "process killed", _kill_host)
PAUSED = Fault(
    "paused", "process paused past its leases and woken", _pause_host
)
REPLACED = Fault("replaced", "scheduler host replaced", _replace_host)
WORKER_LOST = Fault(
    "worker_lost", "worker lost", _lose_worker, extra_outcomes=_UNKNOWN_OUTCOME
)
WORKER_PAUSED = Fault(
    "worker_paused",
    "worker paused past its leases and woken",
    _pause_worker,
    extra_outcomes=_UNKNOWN_OUTCOME | _FAILED_OUTCOME,
)
WORKER_SICK = Fault(
    "worker_sick",
    "worker fails everything it starts",
    _fail_worker_tasks,
    extra_outcomes=_FAILED_OUTCOME,
)
STORE_DOWN = Fault("store_down", "store down long", _stop_store)
STORE_SLOW = Fault("store_slow", "store slow", _slow_store)
ANSWERS_LOST = Fault(
    "answer_lost", "store effect with the answer lost", _lose_store_replies
)
WATCH_SILENT = Fault("watch_silent", "watch gone silent", _stop_store_responses)
LIST_LATE = Fault("list_late", "VM list late", _delay_vm_list)
SILENT = Fault(
    "silent", "connections silent for good while new ones work", _stop_responses
)
CUT = Fault(
    "cut", "regions cut from each other", _partition_regions, two_regions=True
)
RACE = Fault("race", "operators racing", _race_operators)
WAVE_FAULT = Fault("wave", "cancellations in waves", _cancel_wave)
SIZES = Fault(
    "sizes", "declared sizes and run times far off", _exceed_declared_sizes
)
NEVER = Fault("never", "jobs that can never run", _submit_unplaceable_jobs)

FAULTS = (
    KILLED,
    PAUSED,
    REPLACED,
    WORKER_LOST,
    WORKER_PAUSED,
    WORKER_SICK,
    STORE_DOWN,
    STORE_SLOW,
    ANSWERS_LOST,
    WATCH_SILENT,
    LIST_LATE,
    SILENT,
    CUT,
    RACE,
    WAVE_FAULT,
    SIZES,
    NEVER,
    combine_faults(KILLED, KILLED, delay_s=LONGER_THAN_TAKEOVER_S),
    combine_faults(PAUSED, PAUSED, delay_s=LONGER_THAN_TAKEOVER_S),
    combine_faults(KILLED, STORE_DOWN),
    combine_faults(PAUSED, STORE_DOWN),
    combine_faults(KILLED, ANSWERS_LOST),
    combine_faults(PAUSED, ANSWERS_LOST),
    combine_faults(KILLED, WORKER_LOST),
    combine_faults(KILLED, SILENT),
    combine_faults(PAUSED, STORE_SLOW),
    combine_faults(CUT, STORE_DOWN),
    combine_faults(KILLED, CUT),
)
