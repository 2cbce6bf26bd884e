"""Topology of a deployment: regions, racks, workers, scheduler hosts.

Demonstrations, benchmarks and stand-ins build a deployment from a topology
file. A running scheduler host reads the same information from the VM list.
"""

__all__ = [
    "HostSpec",
    "Latencies",
    "Rack",
    "Topology",
    "check_topology",
    "decode_topology",
    "host_settings",
    "load_topology",
    "one_way_latency_s",
]

import pathlib
from collections.abc import Iterable, Mapping
from typing import Any

import attrs
from returns.result import Result

from dragonflybank.config.decode import combine_problems, decode, parse_json
from dragonflybank.config.settings import (
    Address,
    RegionLatency,
    Seed,
    Settings,
)
from dragonflybank.config.validation import (
    IP_ADDRESS,
    PORT,
    ValidationFault,
    ValidationRules,
    at_least,
    between,
    duplicate_faults,
    not_empty,
)
from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.model.resources import Resources
from dragonflybank.model.topology import VmInfo


@attrs.frozen
class Rack:
    """A rack of workers.

    Attributes:
        name: Unique name.
        region: Region.
        failure_domain: Failure domain.
    """

    name: str
    region: str
    failure_domain: str


@attrs.frozen
class HostSpec:
    """A scheduler host of the deployment.

    Attributes:
        name: Unique name.
        region: Region.
        failure_domain: Failure domain.
        http: Address for callers; with port 0 the kernel chooses the port.
        peer: Address for other hosts; with port 0 the kernel chooses the port.
    """

    name: str
    region: str
    failure_domain: str
    http: Address = Address()
    peer: Address = Address()


@attrs.frozen
class Latencies:
    """One-way latencies of the network in seconds.

    Attributes:
        within_region_s: Between two failure domains of a region.
        between_regions_s: Between two regions.
        client_s: Between callers and scheduler hosts.
    """

    within_region_s: float
    between_regions_s: float
    client_s: float


@attrs.frozen
class Topology:
    """A deployment.

    Attributes:
        name: Name of the deployment.
        regions: Names of the regions.
        racks: Racks of workers.
        workers: Workers; the slots and connections in their sizes are those of
            their executors.
        hosts: Scheduler hosts.
        latencies: One-way latencies.
        price_per_mb: Cost of transferring one MB between two regions, in units
            of cost.
    """

    name: str
    regions: tuple[str, ...]
    racks: tuple[Rack, ...]
    workers: tuple[VmInfo, ...]
    hosts: tuple[HostSpec, ...]
    latencies: Latencies
    price_per_mb: float = 0.0


def load_topology(path: str | pathlib.Path) -> Result[Topology, Problem]:
    """Returns the topology in a file, or all faults as one problem."""
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        return failure(
            Code.BAD_SETTINGS, str(exc), accepted="a readable JSON file"
        )
    return decode_topology(text)


def decode_topology(text: str) -> Result[Topology, Problem]:
    """Returns a topology from JSON text, or all faults as one problem."""
    return parse_json(text, code=Code.BAD_SETTINGS).bind(
        lambda document: _decode(document).alt(combine_problems)
    )


def check_topology(document: Any) -> tuple[Problem, ...]:
    """Returns a problem for each fault of a parsed topology."""
    return _decode(document).swap().value_or(())


def one_way_latency_s(topology: Topology, left: str, right: str) -> float:
    """Returns the one-way latency between two regions in seconds."""
    if left == right:
        return topology.latencies.within_region_s
    return topology.latencies.between_regions_s


def host_settings(
    topology: Topology,
    host: HostSpec,
    *,
    store_url: str,
    vmlist_url: str,
    seeds: tuple[Seed, ...] = (),
) -> Settings:
    """Returns the settings of a scheduler host in a loopback run.

    Args:
        topology: The deployment.
        host: The host.
        store_url: Base URL of the configuration store.
        vmlist_url: Base URL of the VM list.
        seeds: Hosts to contact to join the cluster; their peer ports must be
            known.
    """
    return Settings(
        name=host.name,
        region=host.region,
        store_url=store_url,
        vmlist_url=vmlist_url,
        failure_domain=host.failure_domain,
        http=host.http,
        peer=host.peer,
        seeds=seeds,
        price_per_mb=topology.price_per_mb,
        latencies=tuple(
            RegionLatency(
                (host.region, other), topology.latencies.between_regions_s
            )
            for other in topology.regions
            if other != host.region
        ),
    )


def _decode(document: Any) -> Result[Topology, tuple[Problem, ...]]:
    return decode(document, Topology, _RULES, code=Code.BAD_SETTINGS)


def _check_topology(found: Mapping[str, Any]) -> Iterable[ValidationFault]:
    for field in ("racks", "workers", "hosts"):
        rows = found.get(field, ())
        yield from duplicate_faults(field, (row.name for row in rows))
        for index, row in enumerate(rows):
            if row.region not in found.get("regions", (row.region,)):
                yield ValidationFault(
                    f"{field}[{index}].region",
                    row.region,
                    f"one of {', '.join(found['regions'])}",
                )
    yield from _check_racks_of_workers(found)


def _check_racks_of_workers(
    found: Mapping[str, Any],
) -> Iterable[ValidationFault]:
    racks = {rack.name: rack for rack in found.get("racks", ())}
    for index, worker in enumerate(found.get("workers", ())):
        rack = racks.get(worker.rack)
        if rack is None:
            accepted = "the name of a rack"
        elif rack.region != worker.region:
            accepted = f"a rack of {worker.region}"
        else:
            continue
        yield ValidationFault(f"workers[{index}].rack", worker.rack, accepted)


_LATENCY = between(0, 10, "s")
_RULES = ValidationRules(
    fields={
        Resources: {f.name: at_least(0) for f in attrs.fields(Resources)},
        Latencies: {f.name: _LATENCY for f in attrs.fields(Latencies)},
        VmInfo: {"address": IP_ADDRESS, "port": PORT},
        Address: {"address": IP_ADDRESS, "port": PORT},
        Topology: {
            "regions": not_empty("region"),
            "workers": not_empty("worker"),
            "hosts": not_empty("scheduler host"),
            "price_per_mb": at_least(0),
        },
    },
    checks={Topology: _check_topology},
)
