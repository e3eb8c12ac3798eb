"""The decision module: selects servers, retries attempts and sheds load. It does no I/O and reads no clock.

`router.py` takes the decisions; its constants are in `tuning.py`. The types of its interface are in
`myrtlecourse/interface.py`.
"""

from myrtlecourse.policy.router import Router

__all__ = ["Router"]
