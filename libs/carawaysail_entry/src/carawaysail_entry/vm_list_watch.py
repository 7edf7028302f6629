"""A thread that reads the platform's VM list while this daemon should."""

import collections.abc
import threading

from carawaysail_platform import errors, vmlist
from carawaysail_runtime import logs

POLL_S = 2.0

Took = collections.abc.Callable[[tuple[vmlist.Vm, ...]], None]


class VmWatch:
    """Reads the VM list; the first daemons of a data centre do, the rest hear of it.

    Parameters
    ----------
    source : vmlist.VmList
        The list.
    took : callable
        Takes each reading, from this thread.
    is_watcher : callable
        Tells whether this daemon reads for its data centre.
    """

    def __init__(
        self,
        source: vmlist.VmList,
        took: Took,
        is_watcher: collections.abc.Callable[[], bool],
    ) -> None:
        self._source = source
        self._took = took
        self._is_watcher = is_watcher
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="vmlist", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Let the thread end at its next step."""
        self._stop.set()

    def _run(self) -> None:
        is_out = False
        while not self._stop.wait(POLL_S):
            try:
                self._took(self._source.read() if self._is_watcher() else ())
                is_out = False
            except errors.BadAnswerError as exc:
                if not is_out:
                    logs.log_error("vmlist", "List unavailable.", exc)
                is_out = True
