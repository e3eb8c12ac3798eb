"""SIGHUP from the first moment of a process: one that comes before the event loop runs is remembered.

Its default action ends the process, so that a new configuration in the midst of a start would be a crash.
Before this module listens, the signal is ignored (`run` in the deploy file), and the configuration not read.
"""

from __future__ import annotations

import signal


class ReloadSignal:
    """Whether a configuration was told of before anybody could read it again."""

    def __init__(self) -> None:
        self.pending = False

    def listen(self) -> None:
        """Remember the signal from now on, until an event loop takes it over."""
        signal.signal(signal.SIGHUP, self._note)

    def _note(self, *_: object) -> None:
        self.pending = True


early = ReloadSignal()  # of this process
