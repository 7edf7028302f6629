"""Ends the test process when its threads do not, so that a run has a verdict."""

import faulthandler

ENDING_S = 60.0


def pytest_sessionfinish():
    """Print every thread and exit with status 1 if the process is not gone in time.

    A thread that waits for ever would keep the process after its last test; the
    tests of the stand-ins' servers say which of them end.
    """
    faulthandler.dump_traceback_later(ENDING_S, exit=True)
