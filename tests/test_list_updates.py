"""Lists in batches: what comes out is the list that came, in bounded steps, with drains first."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from myrtlecourse import interface as api
from myrtlecourse.net.list_updates import BATCH_SIZE, ListUpdate, ListUpdateQueue
from myrtlecourse.net.members import Member
from tests.loopback import member

STATES = st.sampled_from(api.State)
entries = st.builds(
    lambda name, state, since: member(
        f"s{name}", f"127.0.0.1:{1000 + name}", state=state, listed_start=since
    ),
    st.integers(0, 120),
    STATES,
    st.sampled_from([0.0, 5.0]),
)


news = st.builds(
    ListUpdate,
    st.sampled_from([api.ListKind.DELTA, api.ListKind.FULL]),
    st.lists(entries, max_size=130),  # a server may be named again: the last entry holds
)


def apply_simply(held: dict[str, Member], told: ListUpdate) -> dict[str, Member]:
    """A list after news, the plain way."""
    after = dict(held) if told.kind is api.ListKind.DELTA else {}
    for each in told.members:
        if each.entry.state is api.State.GONE:
            after.pop(each.entry.server, None)
        else:
            after[each.entry.server] = each
    return after


class Recorder:
    """Holds a list, and counts what each step enters."""

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.applied: list[ListUpdate] = []
        self.updates = ListUpdateQueue(lambda: self.members, self.apply)

    def apply(self, told: ListUpdate) -> None:
        self.applied.append(told)
        self.members = apply_simply(self.members, told)


@given(st.lists(news, max_size=5), st.integers(0, 3))
def test_the_list_is_the_one_that_came_and_no_step_takes_more_than_a_batch(
    lists: list[ListUpdate], steps_between: int
) -> None:
    taker = Recorder()
    plain: dict[str, Member] = {}
    for told in lists:
        plain = apply_simply(plain, told)
        taker.updates.submit(told)
        for _ in range(steps_between):
            if taker.updates.pending:
                taker.updates.apply_next_batch()
    taker.updates.apply_all()
    assert taker.members == plain
    assert all(len(step.members) <= BATCH_SIZE for step in taker.applied)
    assert len(taker.applied) >= len(lists)  # each tells that discovery has answered


def test_a_long_list_ends_servers_before_it_brings_new_ones() -> None:
    taker = Recorder()
    before = [member(f"old{n}", "127.0.0.1:1") for n in range(100)]
    taker.updates.submit(ListUpdate(api.ListKind.FULL, before))
    taker.updates.apply_all()
    after = [member(f"new{n}", "127.0.0.1:1") for n in range(100)]
    after += [member("old7", "127.0.0.1:1", state=api.State.DRAINING), before[8]]
    taker.applied.clear()
    taker.updates.submit(ListUpdate(api.ListKind.FULL, after))
    taker.updates.apply_all()
    order = [m.entry for step in taker.applied for m in step.members]
    readiness = [entry.ready for entry in order]
    assert readiness == sorted(readiness) and len(order) == 199
    assert "old8" not in {entry.server for entry in order}  # it has not changed


def test_of_a_server_named_twice_in_a_long_list_the_last_entry_holds() -> None:
    """Drains came first in the order of batches, and an older entry of the same server after them."""
    taker = Recorder()
    many = [member(f"s{n}", "127.0.0.1:1") for n in range(2 * BATCH_SIZE)]
    drains = [member(m.entry.server, "127.0.0.1:1", state=api.State.DRAINING) for m in many]
    taker.updates.submit(ListUpdate(api.ListKind.DELTA, [*many, *drains, many[3]]))
    taker.updates.apply_all()
    ready = {name for name, each in taker.members.items() if each.entry.ready}
    assert ready == {"s3"} and len(taker.members) == len(many)
