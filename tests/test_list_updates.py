"""Lists applied in batches give the list that was sent, in bounded steps and with drains first."""

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


updates = st.builds(
    ListUpdate,
    st.sampled_from([api.ListKind.DELTA, api.ListKind.FULL]),
    st.lists(entries, max_size=130),  # if a server is named again, the last entry counts
)


def apply_simply(current: dict[str, Member], update: ListUpdate) -> dict[str, Member]:
    """Apply an update in the simplest way, for comparison."""
    after = dict(current) if update.kind is api.ListKind.DELTA else {}
    for each in update.members:
        if each.entry.state is api.State.GONE:
            after.pop(each.entry.server, None)
        else:
            after[each.entry.server] = each
    return after


class Recorder:
    """Keeps a list and records what each step applies."""

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.applied: list[ListUpdate] = []
        self.updates = ListUpdateQueue(lambda: self.members, self.apply)

    def apply(self, update: ListUpdate) -> None:
        self.applied.append(update)
        self.members = apply_simply(self.members, update)


@given(st.lists(updates, max_size=5), st.integers(0, 3))
def test_the_list_is_the_one_that_came_and_no_step_takes_more_than_a_batch(
    lists: list[ListUpdate], steps_between: int
) -> None:
    recorder = Recorder()
    expected: dict[str, Member] = {}
    for update in lists:
        expected = apply_simply(expected, update)
        recorder.updates.submit(update)
        for _ in range(steps_between):
            if recorder.updates.pending:
                recorder.updates.apply_next_batch()
    recorder.updates.apply_all()
    assert recorder.members == expected
    assert all(len(step.members) <= BATCH_SIZE for step in recorder.applied)
    assert len(recorder.applied) >= len(lists)  # each update shows that discovery has answered


def test_a_long_list_ends_servers_before_it_brings_new_ones() -> None:
    recorder = Recorder()
    before = [member(f"old{n}", "127.0.0.1:1") for n in range(100)]
    recorder.updates.submit(ListUpdate(api.ListKind.FULL, before))
    recorder.updates.apply_all()
    after = [member(f"new{n}", "127.0.0.1:1") for n in range(100)]
    after += [member("old7", "127.0.0.1:1", state=api.State.DRAINING), before[8]]
    recorder.applied.clear()
    recorder.updates.submit(ListUpdate(api.ListKind.FULL, after))
    recorder.updates.apply_all()
    order = [m.entry for step in recorder.applied for m in step.members]
    readiness = [entry.ready for entry in order]
    assert readiness == sorted(readiness) and len(order) == 199
    assert "old8" not in {entry.server for entry in order}  # it has not changed


def test_of_a_server_named_twice_in_a_long_list_the_last_entry_holds() -> None:
    """Drains are applied first, and must not be followed by an older entry of the same server."""
    recorder = Recorder()
    many = [member(f"s{n}", "127.0.0.1:1") for n in range(2 * BATCH_SIZE)]
    drains = [member(m.entry.server, "127.0.0.1:1", state=api.State.DRAINING) for m in many]
    recorder.updates.submit(ListUpdate(api.ListKind.DELTA, [*many, *drains, many[3]]))
    recorder.updates.apply_all()
    ready = {name for name, each in recorder.members.items() if each.entry.ready}
    assert ready == {"s3"} and len(recorder.members) == len(many)
