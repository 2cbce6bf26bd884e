"""Configurations of the soak, numbered, with keys that callers draw.

Each configuration has a queue named after its version, the lasting key, and a
key named after its version that the next but one withdraws.
"""

__all__ = ["LASTING_KEY", "UNKNOWN_KEY", "draw_key", "make_configuration"]

import random
from collections.abc import Iterable

import attrs

from dragonflybank.cell.jobs import CellConfig, Queue, Service
from dragonflybank.cell.teams import Team, key_digest

LASTING_KEY = "lasting"
UNKNOWN_KEY = "never-in-force"


def make_configuration(
    version: int, hostname: str, queues: Iterable[Queue], service: str
) -> tuple[CellConfig, dict[str, list[str]]]:
    """Returns a configuration and the API keys of its teams.

    Args:
        version: Its number.
        hostname: Hostname of the queues.
        queues: Queues of all configurations.
        service: Name of the only service.
    """
    lasting = tuple(queues)
    extra = attrs.evolve(
        lasting[0], name=f"extra-{version}", prefix=f"/extra-{version}/"
    )
    keys = {
        "lasting": [LASTING_KEY],
        "rotating": [f"key-{n}" for n in (version - 1, version)],
    }
    cfg = CellConfig(
        version,
        {hostname: (*lasting, extra)},
        {service: Service(service)},
        teams={
            name: Team(name, tuple(map(key_digest, found)))
            for name, found in keys.items()
        },
    )
    return cfg, keys


def draw_key(version: int, rng: random.Random) -> str:
    """Returns a key in force, a withdrawn one or one that never was."""
    keys = (f"key-{version}", f"key-{version - 2}", UNKNOWN_KEY)
    return rng.choices((LASTING_KEY, *keys), (7, 1, 1, 1))[0]
