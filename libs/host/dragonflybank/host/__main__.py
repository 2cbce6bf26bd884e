"""Runs a scheduler host: ``python -m dragonflybank.host SETTINGS.json``.

The program prints one line of JSON with its HTTP and peer ports, logs to
standard error and drains on SIGTERM.
"""

__all__ = ["main"]

import json
import logging
import sys

import attrs
import mode
from returns.result import Failure

from dragonflybank.config.settings import load_settings
from dragonflybank.host.daemon import SchedulerHost

LOG_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


def main() -> None:
    """Runs a host with the settings file of the command line until SIGTERM."""
    if len(sys.argv) != 2:
        sys.exit("usage: python -m dragonflybank.host SETTINGS.json")
    loaded = load_settings(sys.argv[1])
    if isinstance(loaded, Failure):
        sys.exit(json.dumps(attrs.asdict(loaded.failure())))
    logging.basicConfig(
        level=logging.INFO, format=LOG_FORMAT, stream=sys.stderr
    )
    host = SchedulerHost(loaded.unwrap(), on_ports=_print_ports)
    worker = mode.Worker(
        host,
        loglevel="INFO",
        override_logging=False,
        redirect_stdouts=False,
        quiet=True,
    )
    worker.execute_from_commandline()


def _print_ports(http_port: int, peer_port: int) -> None:
    line = {"http_port": http_port, "peer_port": peer_port}
    print(json.dumps(line), flush=True)


if __name__ == "__main__":
    main()
