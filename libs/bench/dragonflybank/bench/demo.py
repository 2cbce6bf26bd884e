"""Demonstration: both deployments with one host killed and one drained.

For each deployment, stand-ins and six scheduler hosts run as processes on
the loopback address. They serve lookups and jobs while one host is killed and
one is drained. The answers are checked against what the stand-in workers
recorded.
"""

__all__ = ["main", "run_demo"]

import asyncio
import itertools
import pathlib
import signal
import sys
import time

from dragonflybank.bench.callers import Callers
from dragonflybank.bench.deployment import LoopbackDeployment, wait_until
from dragonflybank.model.work import Outcome, WorkKind
from dragonflybank.operators.render import Report, report_to_text
from dragonflybank.standins.invariants import check_all
from dragonflybank.standins.records import HostDrained

DEPLOYMENTS = ("saarinen-koivisto", "vandenbroucke")
LOOKUPS = 400
CONCURRENT_LOOKUPS = 20
JOBS_PER_CLASS = 12
LOOKUP_RUN_S = 0.02
JOB_RUN_S = 0.8
RECOVERY_TIMEOUT_S = 30.0
QUERIES = (
    "show finished limit 5",
    "explain job {team}/{key}",
    "stage calmer: set class.{lookup}.priority = 90",
    "diff calmer",
    "apply calmer",
    "show hosts",
)


def main() -> None:
    """Runs the demonstration; exits with 1 if any answer is wrong."""
    violations = [asyncio.run(run_demo(name)) for name in DEPLOYMENTS]
    total = sum(violations)
    print(f"\ndemo: {total} violations, {'failed' if total else 'passed'}")
    sys.exit(1 if total else 0)


async def run_demo(name: str) -> int:
    """Runs one deployment and returns the number of violations."""
    print(f"\n=== {name}")
    deployment = LoopbackDeployment(pathlib.Path("deployments") / name)
    callers = Callers(lambda: _urls_in_rotation(deployment), seed=1)
    try:
        await deployment.start()
        await deployment.wait_until_ready()
        print(
            f"{len(deployment.hosts)} hosts are ready,"
            f" {len(deployment.topology.workers)} workers are owned"
        )
        drained = await _send_load_and_remove_hosts(deployment, callers)
        await _print_operator_session(deployment, callers)
        return await _check_answers(deployment, callers, drained)
    finally:
        await callers.close()
        await deployment.stop()


async def _send_load_and_remove_hosts(deployment, callers) -> HostDrained:
    """Sends lookups and jobs while a host is killed and one is drained."""
    jobs = asyncio.gather(*_job_requests(deployment, callers))
    lookups = asyncio.gather(*_lookup_requests(deployment, callers))
    # One host of the first region is killed, one of the last is drained.
    names = [spec.name for spec in deployment.topology.hosts]
    await wait_until(
        _lookups_answered(callers, LOOKUPS // 4), timeout_s=RECOVERY_TIMEOUT_S
    )
    print(f"killing {names[0]}")
    deployment.hosts[names[0]].process.signal(signal.SIGKILL)
    await wait_until(
        _lookups_answered(callers, LOOKUPS // 2), timeout_s=RECOVERY_TIMEOUT_S
    )
    print(f"draining {names[-1]}")
    drained = await _drain(deployment, names[-1])
    print(f"{names[-1]} exited {drained.exited_at - drained.at:.1f} s later")
    await lookups
    await jobs
    await wait_until(deployment.is_ready, timeout_s=RECOVERY_TIMEOUT_S)
    return drained


async def _drain(deployment, name: str) -> HostDrained:
    host = deployment.hosts[name]
    drain_began_at = time.time()
    # A load balancer sees the readiness check fail. Here the host leaves the
    # rotation at once.
    host.is_in_rotation = False
    host.process.signal(signal.SIGTERM)
    await host.process.wait()
    return HostDrained(drain_began_at, host.url, time.time())


async def _print_operator_session(deployment, callers) -> None:
    """Prints the replies to some operator commands."""
    job = next(a for a in callers.answers if a.key)
    lookup = _classes_of_kind(deployment, lookups=True)[0]
    for query in QUERIES:
        text = query.format(team=job.team, key=job.key, lookup=lookup.name)
        reply = await callers.run_query(text)
        print(f"\n> {text}")
        print(_format_reply(reply))


async def _check_answers(deployment, callers, drained) -> int:
    records = [
        record
        for program in ("workers", "store", "vmlist")
        for record in await deployment.read_records(program)
    ]
    records.append(drained)
    violations = check_all(records, callers.answers)
    outcomes = {
        outcome: sum(1 for a in callers.answers if a.outcome is outcome)
        for outcome in (*Outcome, None)
    }
    summary = ", ".join(
        f"{outcome.value if outcome else 'no answer'} {count}"
        for outcome, count in outcomes.items()
        if count
    )
    print(f"\nanswers: {summary}")
    for violation in violations:
        print(f"VIOLATION {violation}")
    print(f"{deployment_name(deployment)}: {len(violations)} violations")
    return len(violations)


def deployment_name(deployment: LoopbackDeployment) -> str:
    """Returns the name of a deployment."""
    return deployment.topology.name


def _job_requests(deployment, callers):
    teams = [team.name for team in deployment.config.teams]
    for wc in _classes_of_kind(deployment, lookups=False):
        for number in range(JOBS_PER_CLASS):
            yield callers.run_job(
                teams[number % len(teams)],
                f"{wc.name}-{number}",
                wc.name,
                run_s=JOB_RUN_S,
            )


def _lookup_requests(deployment, callers):
    teams = itertools.cycle(team.name for team in deployment.config.teams)
    lookup = _classes_of_kind(deployment, lookups=True)[0]
    semaphore = asyncio.Semaphore(CONCURRENT_LOOKUPS)

    async def send_one(team: str) -> None:
        async with semaphore:
            await callers.send_lookup(team, lookup.name, run_s=LOOKUP_RUN_S)

    return [send_one(team) for team in itertools.islice(teams, LOOKUPS)]


def _classes_of_kind(deployment, *, lookups: bool):
    return [
        wc
        for wc in deployment.config.classes
        if (wc.kind is WorkKind.LOOKUP) == lookups
    ]


def _lookups_answered(callers, count: int):
    async def condition() -> bool:
        return sum(1 for a in callers.answers if not a.key) >= count

    return condition


def _urls_in_rotation(deployment) -> list[str]:
    return [
        host.url
        for host in deployment.hosts.values()
        if host.process.is_running and host.is_in_rotation
    ]


def _format_reply(reply: dict) -> str:
    if reply.get("code"):
        return f"refused with {reply['code']}: {reply.get('detail', '')}"
    rows = reply["rows"]
    columns = tuple(rows[0]) if rows else ()
    cells = tuple(tuple(row.values()) for row in rows)
    return report_to_text(
        Report(columns, cells, reply["text"], tuple(reply["notes"]))
    )


if __name__ == "__main__":
    main()
