"""Records a SIGHUP that arrives before the event loop runs, so that the reload is not lost.

The signal's default action would end the process during its start. Before this module installs its handler
the signal is ignored (`run` in the deploy file). That loses nothing, as the configuration is read later.
"""

from __future__ import annotations

import signal


class ReloadSignal:
    """Whether a reload was requested before the event loop could handle the signal."""

    def __init__(self) -> None:
        self.pending = False

    def listen(self) -> None:
        """Start to record the signal, until an event loop installs its own handler."""
        signal.signal(signal.SIGHUP, self._record)

    def _record(self, *_: object) -> None:
        self.pending = True


early_reload = ReloadSignal()  # the instance of this process
