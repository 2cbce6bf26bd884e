"""A host process whose time of day can be shifted.

The offset in seconds is in the file that an environment variable names, which
is read at the start and on a real-time signal. The daemon itself is unchanged.
"""

__all__ = ["CLOCK_SIGNAL", "CLOCK_VARIABLE", "main"]

import os
import pathlib
import signal
import time

from dragonflybank.adapter.__main__ import main as run_host

# Not used by the daemon; SIGUSR1 and SIGUSR2 are taken by mode's worker.
CLOCK_SIGNAL = signal.SIGRTMIN + 1
CLOCK_VARIABLE = "DRAGONFLYBANK_SOAK_CLOCK"


def main() -> None:
    """Runs a host until SIGTERM."""
    path = pathlib.Path(os.environ[CLOCK_VARIABLE])
    true_time = time.time
    offset_s = 0.0

    def read_offset(*_) -> None:
        nonlocal offset_s
        offset_s = float(path.read_text() or 0.0)

    read_offset()
    signal.signal(CLOCK_SIGNAL, read_offset)
    time.time = lambda: true_time() + offset_s
    run_host()


if __name__ == "__main__":
    main()
