"""The auditor finds each kind of breach, and none where the rules were kept."""

from __future__ import annotations

from pathlib import Path

import pytest

from myrtlecourse.audit import observations as seen
from myrtlecourse.audit.auditor import REQUEST_MEMORY, Auditor, Rules

RULES = Rules()


def asked(
    at: float, name: str = "r1", effect: str = "free", deadline: float = 1.0, key: str = ""
) -> seen.RequestSent:
    return seen.RequestSent(at, name, "n1", "c", at + deadline, effect, key)


def sent(
    at: float, name: str = "r1", effect: str = "free", box: str = "b1", group: str = "all", router: str = "n1"
) -> seen.AttemptReceived:
    window = 15.0 if effect == "guarded" else 0.0
    return seen.AttemptReceived(at, name, box, router, at, effect, group, window, "k1" if window else "")


def served(at: float, name: str = "r1", made: bool = True) -> seen.RequestAnswered:
    return seen.RequestAnswered(at, name, "served", made)


def list_entry(at: float, status: str, since: float = 0.0) -> list[seen.Observation]:
    return [seen.ListChanged(at, "b1", status, since), seen.ListEntrySent(at, "n1", "b1", status, since)]


def breaches(*what: seen.Observation) -> dict[str, int]:
    """Return the number of breaches by kind."""
    auditor = Auditor(RULES)
    for each in what:
        auditor.judge(each)
    verdict = auditor.verdict()
    assert verdict["kept"] is not any(verdict["breaches"].values())
    assert len(verdict["named"]) == sum(verdict["breaches"].values())
    return {kind: count for kind, count in verdict["breaches"].items() if count}


END = seen.ListChanged(100.0, "other", "in_service", 0.0)  # lets the deadline pass
REFUSED = seen.RequestAnswered(0.5, "r1", "refused")
UP = [
    seen.RouterUp(0.0, "n1"),
    seen.DiscoveryCall(0.0, "n1", "begun"),
    seen.DiscoveryCall(0.1, "n1", "ended"),
]


@pytest.mark.parametrize(
    ("what", "breach"),
    [
        ([asked(0), END], "lost"),
        ([asked(0), seen.RequestUnanswered(0.2, "r1", "ended")], "lost"),
        ([asked(0), sent(0.1), seen.RequestUnanswered(0.2, "r1", "ended", kept=True)], "lost"),
        ([asked(0), seen.RequestUnanswered(1.5, "r1", "late")], "lost"),
        ([asked(0), sent(0.1), served(1.2)], "late"),
        ([asked(0), served(0.2), served(0.3)], "answered_twice"),
        ([asked(0), served(0.2), seen.UnexpectedBytes(0.3, "n1", "r1")], "answered_twice"),
        ([asked(0), served(0.2, made=False)], "foreign"),
        ([asked(0), REFUSED, sent(0.8)], "sent_after_end"),
        ([asked(0), seen.RequestUnanswered(0.3, "r1", "left"), sent(0.8)], "sent_after_end"),
        ([sent(0, effect="single_shot"), sent(0.5, effect="single_shot", box="b2")], "repeated"),
        ([sent(0, effect="guarded"), sent(15.5, effect="guarded", box="b2")], "repeated"),
        ([sent(0, effect="guarded", group="cell 1"), sent(1, effect="guarded", group="cell 2")], "repeated"),
        ([asked(0, effect="single_shot"), sent(0.1, effect="single_shot"), REFUSED], "refused_after_send"),
        (
            [asked(0, effect="guarded"), sent(0.1, effect="guarded", group="zone a"), REFUSED],
            "refused_after_send",
        ),
        ([sent(0), seen.WriteExecuted(0.1, "r1", "b1"), seen.WriteExecuted(0.2, "r1", "b2")], "ran_twice"),
        (
            [seen.WriteExecuted(0.1, "r1", "b1", "k1"), seen.WriteExecuted(20.0, "r2", "b2", "k1")],
            "ran_twice",
        ),
        ([*UP, *list_entry(1.0, "terminating"), sent(3.2)], "sent_to_drained"),
        # a router without a request to discovery for ten seconds counts as informed
        ([*UP, seen.ListChanged(1.0, "b1", "terminating", 0.0), sent(13.2)], "sent_to_drained"),
        (
            [
                *UP,
                seen.ServerStarted(5.0, "b1"),
                *list_entry(6.0, "in_service", 5.0),
                seen.ColdServerOverloaded(7.0, "b1", {"n1": 2.0}),
            ],
            "cold_pushed",
        ),
    ],
)
def test_each_breach_is_found(what: list[seen.Observation], breach: str) -> None:
    assert breaches(*what) == {breach: 1}


@pytest.mark.parametrize(
    "what",
    [
        [asked(0), sent(0.1), served(0.2)],
        [asked(0), sent(0.1), served(1.06)],
        # crossed the close of the connection and was never read
        [asked(0), seen.RequestUnanswered(0.2, "r1", "ended", kept=True)],
        [asked(0), sent(0.1), seen.RequestUnanswered(0.2, "r1", "left"), sent(0.25, box="b2")],
        [asked(0), sent(0.1), sent(0.2, box="b2"), served(0.3)],  # a safe read may be sent twice
        [
            seen.RouterUp(0, "n1"),
            asked(0.1),
            seen.RouterDown(0.2, "n1", True),
            seen.RequestUnanswered(0.21, "r1", "ended"),
        ],
        # sent while the kernel was ending the process
        [
            seen.RouterUp(0, "n1"),
            seen.RouterDown(0.2, "n1", True),
            asked(0.34),
            seen.RequestUnanswered(0.35, "r1", "ended"),
            seen.RouterExited(0.36, "n1"),
        ],
        [seen.UnexpectedBytes(0.3, "n1", "")],
        [
            asked(0, effect="single_shot"),
            sent(0.1, effect="single_shot"),
            seen.NeverRan(0.2, "r1", "b1"),
            sent(0.3, effect="single_shot", box="b2"),
            seen.WriteExecuted(0.35, "r1", "b2"),
            served(0.4),
        ],
        [asked(0, effect="guarded"), sent(0.1, effect="guarded"), REFUSED],  # all servers drop repeats
        [sent(0, effect="guarded"), sent(14.9, effect="guarded", box="b2")],
        # a frozen server executes its copy after the group has forgotten the key; no router can know
        [
            sent(0, effect="guarded"),
            sent(0.5, effect="guarded", box="b2"),
            seen.WriteExecuted(0.6, "r1", "b2", "k1"),
            seen.WriteExecuted(15.7, "r1", "b1", "k1"),
        ],
        [*UP, *list_entry(1.0, "terminating"), sent(2.9)],
        [*UP, *list_entry(1.0, "terminating"), *list_entry(2.0, "in_service", 1.9), sent(9.0)],
        # a restarted router doesn't know of the drain
        [*UP, *list_entry(1.0, "terminating"), seen.RouterUp(2.0, "n1"), sent(4.0)],
        # an open request to discovery is a watch
        [
            *UP,
            seen.DiscoveryCall(0.9, "n1", "begun"),
            seen.ListChanged(1.0, "b1", "terminating", 0.0),
            sent(30.0),
        ],
        [
            *UP,
            seen.DiscoveryCall(0.9, "n1", "failed"),
            seen.ListChanged(1.0, "b1", "terminating", 0.0),
            sent(40.0),
        ],
        # no router was told of its start
        [*UP, seen.ServerStarted(5.0, "b1"), seen.ColdServerOverloaded(7.0, "b1", {"n1": 2.0})],
        [
            *UP,
            seen.ServerStarted(5.0, "b1"),
            *list_entry(6.0, "in_service", 5.0),
            seen.ColdServerOverloaded(7.0, "b1", {"n1": 2.0, "n2": 1.1}),
        ],
    ],
)
def test_what_keeps_the_rules_is_no_breach(what: list[seen.Observation]) -> None:
    assert breaches(*what) == {}


def test_a_router_that_ends_by_itself_loses_what_it_held() -> None:
    down = seen.RouterDown(0.2, "n1", False)
    assert breaches(asked(0.1), down, seen.RequestUnanswered(0.21, "r1", "ended")) == {"lost": 1}


@pytest.mark.parametrize("again", [seen.RouterExited(0.36, "n1"), seen.RouterUp(0.36, "n1")])
def test_what_a_killed_router_is_asked_after_its_end_is_lost_as_any_other(again: seen.Observation) -> None:
    down = seen.RouterDown(0.2, "n1", True)
    assert breaches(down, again, asked(0.42), seen.RequestUnanswered(0.5, "r1", "ended")) == {"lost": 1}


def test_a_day_is_judged_in_memory_that_does_not_grow_with_it() -> None:
    auditor, largest = Auditor(RULES), 0
    for i in range(20_000):
        at, name = i * 0.05, f"r{i}"
        for what in (
            asked(at, name),
            sent(at + 0.01, name),
            seen.WriteExecuted(at + 0.02, name, "b1", name),
            served(at + 0.03, name),
        ):
            auditor.judge(what)
        largest = max(largest, len(auditor.requests), len(auditor.executions))
    assert largest <= (REQUEST_MEMORY + 16) / 0.05
    assert auditor.verdict()["kept"]


def test_files_are_read_side_by_side_in_the_order_of_time(tmp_path: Path) -> None:
    for name, seconds in (("a", (0.0, 2.0, 5.0)), ("b", (1.0, 3.0))):
        log = seen.ObservationLog(tmp_path / f"{name}.jsonl")
        for at in seconds:
            log.add(seen.ServerStarted(at, name))
        log.close()
    read = list(seen.merge_logs(sorted(tmp_path.glob("*.jsonl"))))
    assert [(r.at, getattr(r, "box")) for r in read] == [(0, "a"), (1, "b"), (2, "a"), (3, "b"), (5, "a")]  # noqa: B009
    (tmp_path / "a.jsonl").write_text('{"saw":"started","at":1,"box":"a"}\n{"saw":"none","at":2}\n')
    with pytest.raises(seen.ObservationError, match=r"a\.jsonl:2"):
        list(seen.merge_logs([tmp_path / "a.jsonl"]))
