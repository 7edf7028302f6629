"""The process of a daemon, around its own end."""

import signal
import subprocess
import sys

import testtools

SIGNAL_WHILE_THE_INTERPRETER_ENDS = """
import os, signal
from carawaysail_fleet import daemon

class Late:
    def __init__(self, kill, pid):
        self.kill, self.pid = kill, pid

    def __del__(self):
        self.kill(self.pid, {number})

class Daemon:
    def __init__(self, *args):
        pass

    async def run(self):
        signal.signal({number}, lambda *args: None)

late = Late(os.kill, os.getpid())
daemon.Daemon = Daemon
daemon.run(None, None, None)
"""
"""Sends itself a signal while the modules are torn down, after handlers are reset."""


class TestEnd(testtools.TestCase):
    """Signals that come again while a process ends."""

    # A second SIGTERM, 5.2 s after the first, ended a daemon by the signal.
    def test_signal_while_the_interpreter_ends_changes_no_exit_status(self):
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            with self.subTest(number=number):
                code = SIGNAL_WHILE_THE_INTERPRETER_ENDS.format(number=int(number))
                done = subprocess.run([sys.executable, "-c", code], timeout=60)
                self.assertEqual(0, done.returncode)
