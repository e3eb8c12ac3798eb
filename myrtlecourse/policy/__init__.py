"""The decision module: which server, whether to retry, what to turn away; no I/O, no clock.

`router.py` decides, by the numbers of `tuning.py`. The types it speaks in are in `myrtlecourse/interface.py`.
"""

from myrtlecourse.policy.router import Router

__all__ = ["Router"]
