"""Thread that polls the platform's VM list while this daemon is a watcher."""

import collections.abc
import threading

from carawaysail_platform import errors, vmlist
from carawaysail_runtime import logs

POLL_PERIOD_S = 2.0

OnVmList = collections.abc.Callable[[tuple[vmlist.Vm, ...]], None]


class VmListWatch:
    """Polls the VM list; non-watchers get the leaving VMs by gossip.

    Only the watchers of a data centre read the list, so the load on the platform does
    not grow with the number of daemons.

    Parameters
    ----------
    vm_list : vmlist.VmList
        Client of the platform's VM list.
    on_vm_list : callable
        Called in this thread with the VMs of each reading; with an empty tuple while
        this daemon is not a watcher.
    is_watcher : callable
        Returns whether this daemon reads the list for its data centre.
    """

    def __init__(
        self,
        vm_list: vmlist.VmList,
        on_vm_list: OnVmList,
        is_watcher: collections.abc.Callable[[], bool],
    ) -> None:
        self._vm_list = vm_list
        self._on_vm_list = on_vm_list
        self._is_watcher = is_watcher
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="vmlist", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Make the thread end before its next reading; does not wait for it."""
        self._stop.set()

    def _run(self) -> None:
        is_unavailable = False
        while not self._stop.wait(POLL_PERIOD_S):
            try:
                self._on_vm_list(self._vm_list.read() if self._is_watcher() else ())
                is_unavailable = False
            except errors.BadAnswerError as exc:
                if not is_unavailable:
                    logs.log_error("vmlist", "VM list unavailable.", exc)
                is_unavailable = True
