"""Handles signals that arrive before the event loop runs, whose default actions would end the process.

A SIGHUP is recorded, so that the reload is not lost. Before this module installs its handlers the signal is
ignored (`run` in the deploy file). That loses nothing, as the configuration is read later. On SIGTERM and
SIGINT the process ends at once: it has accepted nothing yet. This module imports little, as it comes before
all others.
"""

from __future__ import annotations

import os
import signal

END_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class EarlySignals:
    """Whether a reload was requested before the event loop could handle the signal."""

    def __init__(self) -> None:
        self.reload_pending = False

    def listen(self) -> None:
        """Start to handle the signals, until an event loop installs its own handlers."""
        signal.signal(signal.SIGHUP, self._record_reload)
        for each in END_SIGNALS:
            signal.signal(each, self._end)

    def _record_reload(self, *_: object) -> None:
        self.reload_pending = True

    @staticmethod
    def _end(*_: object) -> None:
        os._exit(0)


early_signals = EarlySignals()  # the instance of this process
