"""Election of the holder of one duty, such as the service address; events in, actions out.

The holder has a lease that a majority of voters grants. Terms, votes and pre-votes (messages with `trial`
set) are those of Raft (Ongaro and Ousterhout, 2014; section 9.6 of Ongaro's thesis for the pre-vote); there
is no replicated log. The lease is that of Gray and Cheriton
(1989): a voter's promise excludes all other holders for a time on its own clock. The holder counts this time
from before it sent the request, and shortens it by the amount that two clocks may drift apart. Two leases at
the same time would need promises of two majorities, and any two majorities share a voter.

A candidate need not be a voter. One that is not campaigns when a voter invites it: heartbeats go to voters
only, so only they know that no instance holds the lease.

A holder steps down when it can't serve, resigns, hands the lease over, or its lease expires. It first stops
acting (`Withdraw`) and, once nothing is accepted any more (`Withdrawn`), frees the voters from their promises
(`Release`) and, in a handover, asks its successor to campaign (`Take`). Until then its lease stays in force,
without renewals, so that what still reaches it can be served.
"""

from __future__ import annotations

import math
import random
from enum import Enum

from myrtlecourse.election.invitations import Invitations
from myrtlecourse.election.lease import Lease
from myrtlecourse.election.messages import (
    AbilityReported,
    Action,
    Announce,
    Ask,
    Beat,
    Deny,
    ElectionError,
    Event,
    Grant,
    Invite,
    Message,
    MessageReceived,
    Move,
    Release,
    Renew,
    Resign,
    Save,
    Saved,
    Send,
    SetTimer,
    Settings,
    SettingsChanged,
    Take,
    TimerFired,
    Withdraw,
    Withdrawn,
)
from myrtlecourse.election.offer import Offer
from myrtlecourse.election.request_ids import RequestIds
from myrtlecourse.election.vote_count import VoteCount

# part of the heartbeat interval; a heartbeat that is due within this time may be sent early
EARLY_WINDOW = 0.6


class Role(Enum):
    """The state of an instance."""

    BACKUP = "backup"
    PRE_VOTE = "trying"  # asks the voters whether they would grant a vote
    CAMPAIGNING = "standing"  # asks the voters for their votes
    HOLDER = "holder"
    STEPPING_DOWN = "leaving"  # no longer acts as the holder, but has not released the lease yet


class Election:
    """One instance's part in the election."""

    def __init__(
        self, settings: Settings, saved: Saved, now: float, seed: int, request_ids: RequestIds | None = None
    ) -> None:
        """Start as a backup, which grants nothing for the time of a lease.

        A promise that the previous process gave may still hold, and promises are not stored. The elections of
        one process share `request_ids`.
        """
        self.settings = settings
        self.saved = saved
        # the term at the start, if the voter has not voted in it; otherwise -1, which no term equals
        self.initial_term = saved.term if not saved.voted else -1
        self.random = random.Random(seed)
        self.now = now
        self.actions: list[Action] = []
        self.role = Role.BACKUP
        self.startup_wait_until = now + settings.lease
        self.answered_request_id = -1  # id of the request that the last vote answered
        self.promise = ("", 0)  # receiver of the last promise, and its term
        self.promise_until = -math.inf
        self.highest_held_term = (
            -1
        )  # highest term in which an instance is known to have held the lease; -1: none
        self.campaign_at = math.inf
        self.request_ids = request_ids or RequestIds(self.random)
        self.vote_count = VoteCount()
        self.lease = Lease()
        self.heartbeat_at = math.inf
        self.able_since = math.inf
        self.unable_since = now
        self.successor = ""  # candidate to which the lease is being handed over; empty: none in particular
        self.offer = Offer()
        self.no_campaign_until = -math.inf
        self.invitations = Invitations()

    @property
    def term(self) -> int:
        """The current term of this instance."""
        return self.saved.term

    @property
    def lease_until(self) -> float:
        """When the holder's lease ends; minus infinity for an instance that does not hold it."""
        return self.lease.until

    def holds(self, now: float) -> bool:
        """Whether this instance holds the lease at this moment, by its own clock.

        Must be checked before each connection is accepted: a process that was stopped finds, when it resumes,
        connections that arrived while it was the holder. As a safety margin, a holder counts as such only
        until half a heartbeat before its lease ends.
        """
        return self.role is Role.HOLDER and now < self.lease_safe_until

    @property
    def lease_safe_until(self) -> float:
        """Until when this instance relies on its lease: half a heartbeat before the lease ends."""
        return self.lease_until - self.settings.heartbeat / 2

    def lease_left(self, now: float) -> float:
        """Return the seconds for which no other instance can hold the lease, by this instance's clock.

        Also positive while this instance steps down, until the lease ends or `Withdrawn` releases it.
        """
        if self.role not in (Role.HOLDER, Role.STEPPING_DOWN):
            return 0.0
        return max(0.0, self.lease_safe_until - now)

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle one event and return the actions to be carried out, in order.

        Raises:
            ElectionError: the new settings can't be applied now; nothing was changed.
        """
        if isinstance(event, SettingsChanged):
            self.check_change(max(now, self.now), event.settings)
        self.now, self.actions = max(now, self.now), []
        if self.role is Role.HOLDER and not self.holds(self.now):
            self._step_down("the lease has expired")
        match event:
            case MessageReceived(sender, message):
                known = sender in self.settings.voters or sender in self.settings.candidates
                if known and sender != self.settings.name:
                    self._on_message(sender, message)
            case AbilityReported(able):
                self._on_able(able)
            case Withdrawn(clear):
                self._on_withdrawn(clear)
            case Resign(reason, pause):
                self._on_resign(reason, pause)
            case Move(to):
                self._on_move(to)
            case SettingsChanged(settings):
                self._on_changed(settings)
            case TimerFired():
                pass
        self._do_due_work()
        self.actions.append(SetTimer(self._next_due()))
        return self.actions

    def _other_voters(self) -> list[str]:
        """Return the voters except this instance."""
        return [v for v in self.settings.voters if v != self.settings.name]

    def _send_to_voters(self, message: Message) -> None:
        self.actions += [Send(v, message) for v in self._other_voters()]

    # Timed work

    def _do_due_work(self) -> None:
        """Do everything that is due by now."""
        settings = self.settings
        if self.role is Role.HOLDER:
            if self.now >= self.unable_since + settings.unwell:
                self._step_down("not able to serve")
            elif self.now >= self.heartbeat_at:
                self._send_heartbeat()
        elif (
            self.role in (Role.PRE_VOTE, Role.CAMPAIGNING)
            and self.now >= self.vote_count.asked_at + settings.heartbeat
        ):
            # no majority answered in time, and answers to this request will no longer be counted
            self._become_backup()
        if self.role is Role.BACKUP and self.offer.is_open(self.now):
            self._campaign_for_offer()
        elif self.role is Role.BACKUP and settings.is_voter:
            self._invite_candidates()
            if self._promised_to_other_than("") or not self._may_campaign():
                self.campaign_at = math.inf
            elif self.campaign_at == math.inf:
                # the most preferred candidate campaigns first; preference matters only in a vacancy
                turn = settings.turn + self.random.random()
                self.campaign_at = self.now + turn * settings.heartbeat / 2
            elif self.now >= self.campaign_at:
                self._start_pre_vote()

    def _may_campaign(self) -> bool:
        """Whether this candidate may campaign now, if no instance holds the lease."""
        return self.settings.may_hold and self.now >= self._may_campaign_from()

    def _may_campaign_from(self) -> float:
        """Return the time from which this instance may campaign, if no instance holds the lease."""
        return max(self.startup_wait_until, self.able_since + self.settings.settle, self.no_campaign_until)

    def _invite_candidates(self) -> None:
        """Invite candidates without a vote to campaign, if no instance holds the lease."""
        vacant = self.now >= self.startup_wait_until and not self._promised_to_other_than("")
        for name in self.invitations.candidates_due(self.now, vacant, self.settings):
            self.actions.append(Send(name, Invite(self.term)))

    def _next_due(self) -> float:
        """Return when something is due next."""
        if self.role is Role.HOLDER:
            times = [self.heartbeat_at, self.lease_safe_until]
            return min([*times, self.unable_since + self.settings.unwell])
        if self.role in (Role.PRE_VOTE, Role.CAMPAIGNING):
            return self.vote_count.asked_at + self.settings.heartbeat
        if self.role is Role.STEPPING_DOWN:
            return math.inf
        if self.offer.is_open(self.now):
            return self.offer.next_at(self.now, max(self.promise_until, self._may_campaign_from()))
        if not self.settings.is_voter:
            return math.inf
        next_invitation = math.inf
        if self.settings.preferred:
            next_invitation = self.invitations.next_at
            if next_invitation == math.inf:
                next_invitation = max(self.promise_until, self.startup_wait_until)
        if not self.settings.may_hold:
            return next_invitation
        if self.campaign_at < math.inf:
            return min(next_invitation, self.campaign_at)
        return min(next_invitation, max(self.promise_until, self._may_campaign_from()))

    # Promises and votes

    def _in_initial_term(self) -> bool:
        """Whether this voter is still in the term in which it started, without a vote in it.

        Then a holder with a lower term may still be the current one, as no message has shown a later term.
        Without a stored memory, the first term is derived from the time of the process's start, so a voter
        that started later than the holder would otherwise deny it until the next election.
        """
        return self.term == self.initial_term and not self.saved.voted

    def _promised_to_other_than(self, name: str) -> bool:
        """Whether a promise to an instance other than `name` still holds; empty: to any instance."""
        return self.now < self.promise_until and self.promise[0] != name

    def _may_grant(self, sender: str, ask: Ask) -> bool:
        """Whether a vote may be granted: one in each term, and none while a promise to another holds."""
        if not self.settings.is_voter or sender not in self.settings.candidates:
            return False
        if self.now < self.startup_wait_until or self._promised_to_other_than(sender):
            return False
        if self.role in (Role.HOLDER, Role.STEPPING_DOWN):
            return False
        # The term serves as a fencing token, so a candidate that has forgotten its term must not get the same
        # one again: only a repetition of the same request gets the same vote again.
        may_vote = self.saved.voted == "" or (self.saved.voted, self.answered_request_id) == (
            sender,
            ask.number,
        )
        return ask.term > self.term or (ask.term == self.term and may_vote)

    def _give_promise(self, to: str, term: int) -> None:
        self.promise = to, term
        self.promise_until = self.now + self.settings.lease

    def _save(self, term: int, voted: str) -> None:
        self.saved = Saved(term, voted)
        if self.settings.is_voter:
            self.actions.append(Save(self.saved))

    def _adopt_term(self, term: int) -> None:
        """Adopt a higher term of another instance; this voter has not voted in it yet."""
        if term > self.term:
            self._save(term, "")
            if self.role in (Role.PRE_VOTE, Role.CAMPAIGNING):
                self._become_backup()

    # Messages

    def _on_message(self, sender: str, message: Message) -> None:
        match message:
            case Ask():
                self._on_ask(sender, message)
            case Grant():
                self._on_grant(sender, message)
            case Deny(term):
                self._on_deny(sender, term)
            case Beat():
                self._on_beat(sender, message)
            case Renew():
                self._on_renew(sender, message)
            case Release(term):
                if self.promise == (sender, term):
                    self.promise_until = -math.inf
                    self.campaign_at = math.inf
            case Take():
                self._on_take(sender, message)
            case Invite():
                self._on_invite(message)

    def _on_invite(self, invite: Invite) -> None:
        """Adopt the voter's term and, as a candidate without a vote, start a pre-vote: it is its turn."""
        if self.role is Role.BACKUP and self._may_campaign():
            self._adopt_term(invite.term)
            if not self.settings.is_voter:
                self._start_pre_vote()

    def _on_take(self, sender: str, take: Take) -> None:
        """Accept the offer of a lease, for which this candidate then campaigns until some instance holds it
        or the offer ends."""
        if not self.settings.may_hold or self.role in (Role.HOLDER, Role.STEPPING_DOWN):
            return
        if take.term < self.term and self.promise != (sender, take.term) and not self._in_initial_term():
            return
        if self.promise == (sender, take.term):
            self.promise_until = -math.inf
        self._adopt_term(take.term)
        self.offer.start(self.now, self.settings.handover_time)
        if self.role is Role.PRE_VOTE:
            self._become_backup()

    def _campaign_for_offer(self) -> None:
        """Campaign for an offered lease, if the next campaign is due.

        A voter that gets the request for its vote before the former holder's release denies it, so campaigns
        are repeated.
        """
        if (
            self.now >= self.offer.campaign_at
            and self._may_campaign()
            and not self._promised_to_other_than("")
        ):
            self.offer.record_attempt(self.now, self.settings.heartbeat / 2)
            self._start_campaign()

    def _on_ask(self, sender: str, ask: Ask) -> None:
        if not self._may_grant(sender, ask):
            self.actions.append(Send(sender, Deny(self.term)))
            return
        if not ask.trial:
            if self.role is not Role.BACKUP:
                self._become_backup()
            if self.saved != Saved(ask.term, sender):
                self._save(ask.term, sender)
            self.answered_request_id = ask.number
            self._give_promise(sender, ask.term)
        self.actions.append(Send(sender, Grant(ask.term, ask.number, ask.trial)))

    def _on_grant(self, sender: str, grant: Grant) -> None:
        if self.role not in (Role.PRE_VOTE, Role.CAMPAIGNING):
            return
        if not self.vote_count.count_grant(sender, grant, self.settings):
            return
        if self.vote_count.pre_vote:
            self._start_campaign()
        else:
            self._become_holder()

    def _on_deny(self, sender: str, term: int) -> None:
        if self.role in (Role.BACKUP, Role.STEPPING_DOWN):
            self._adopt_term(term)
        # a holder does not adopt a higher term, but continues until its lease ends: there may be no holder in
        # the higher term
        elif self.role is not Role.HOLDER and self.vote_count.count_denial(sender, term, self.settings):
            self._on_denied_by_majority()

    def _on_denied_by_majority(self) -> None:
        """Become a backup, or repeat the request in a higher term if only its term may have been too low.

        Without the repetition a handover could fail, as the named successor is asked to campaign just once.
        """
        denied = self.vote_count
        self._become_backup()
        self._adopt_term(denied.highest_denier_term)
        if not denied.term_too_low:
            return
        if denied.pre_vote:
            self._start_pre_vote()
        else:
            self._start_campaign()
        self.vote_count.is_retry = True

    def _on_beat(self, sender: str, beat: Beat) -> None:
        """Renew the promise to the holder, even if this voter is in a higher term than the heartbeat's.

        The sender has had the promises of a majority without interruption since it was elected. So campaigns
        in higher terms have failed, and no instance has held the lease in one, unless the heartbeat is an
        old one.
        """
        if not self.settings.is_voter:
            return
        if (
            beat.term < self.highest_held_term
            or self._promised_to_other_than(sender)
            or self.role in (Role.HOLDER, Role.STEPPING_DOWN)
        ):
            self.actions.append(Send(sender, Deny(self.term)))
            return
        if self.now < self.startup_wait_until:
            # a promise given before the start may still hold for another instance, so not even the holder
            # gets a promise yet
            return
        self._adopt_term(beat.term)
        self.highest_held_term = beat.term
        self.offer.end()
        if self.role is not Role.BACKUP:
            self._become_backup()
        self._give_promise(sender, beat.term)
        self.actions.append(Send(sender, Renew(beat.term, beat.number)))

    def _on_renew(self, sender: str, renew: Renew) -> None:
        if self.role is not Role.HOLDER or renew.term != self.term:
            return
        if self.lease.renew(sender, renew.number):
            self.lease.update(self.settings, self.now)

    # Acquiring the lease and stepping down

    def _start_pre_vote(self) -> None:
        self.role = Role.PRE_VOTE
        self._ask_voters(self.term + 1, pre_vote=True)

    def _start_campaign(self) -> None:
        self.role = Role.CAMPAIGNING
        self._save(self.term + 1, self.settings.name)
        self._ask_voters(self.term, pre_vote=False)

    def _ask_voters(self, term: int, pre_vote: bool) -> None:
        """Request votes in a term or, with `pre_vote`, pre-votes."""
        self.vote_count = VoteCount(term, self.request_ids.id_at(self.now), pre_vote, self.now)
        if self.settings.is_voter:
            self.vote_count.granted.add(self.settings.name)
        self._send_to_voters(Ask(term, self.vote_count.request_id, pre_vote))
        if self.settings.majority == 1 and self.settings.is_voter:
            self._on_grant(self.settings.name, Grant(term, self.vote_count.request_id, pre_vote))

    def _become_holder(self) -> None:
        self.role = Role.HOLDER
        self.lease.start(self.vote_count.granted, self.vote_count.asked_at)
        self.lease.update(self.settings, self.now)
        if not self.holds(self.now):
            self._become_backup()  # the deciding vote arrived so late that the lease has already ended
            return
        self.highest_held_term = self.term
        self.offer.end()
        self.invitations.reset()
        self.actions.append(Announce(self.term))
        self._send_heartbeat()

    def _send_heartbeat(self) -> None:
        """Send a heartbeat, which asks all voters to renew their promises."""
        number = self.request_ids.id_at(self.now)
        self.lease.record_request(number, self.now, self.settings.lease)
        self.heartbeat_at = self.now + self.settings.heartbeat
        self._send_to_voters(Beat(self.term, number))
        self.lease.update(self.settings, self.now)

    def send_heartbeat_early(self, now: float) -> list[Action]:
        """Send the next heartbeat now if it is due soon, as another duty of this process sends one now: a
        single datagram then renews the leases of all duties."""
        self.now, self.actions = max(now, self.now), []
        if self.role is Role.HOLDER and self.heartbeat_at - self.now < EARLY_WINDOW * self.settings.heartbeat:
            self._send_heartbeat()
            self.actions.append(SetTimer(self._next_due()))
        return self.actions

    def _become_backup(self) -> None:
        self.role = Role.BACKUP
        self.campaign_at = math.inf

    def _step_down(self, reason: str) -> None:
        """Start to step down; the lease is released when `Withdrawn` reports that nothing is accepted any
        more."""
        self.actions.append(Withdraw(reason))
        self.role = Role.STEPPING_DOWN

    def _on_resign(self, reason: str, pause: float) -> None:
        """Step down and pause campaigning: a holder that serves badly would otherwise be the first to
        campaign again."""
        self.no_campaign_until = self.now + pause
        if self.role is Role.HOLDER:
            self._step_down(reason)
        elif self.role in (Role.PRE_VOTE, Role.CAMPAIGNING):
            self._become_backup()

    def _on_withdrawn(self, clear: bool) -> None:
        """Release the lease, and offer it to the successor in a handover.

        `clear`: no member obeys an order of this holder any more, so that the successor need not wait.
        """
        if self.role is not Role.STEPPING_DOWN:
            return
        self.lease.end()
        self._become_backup()
        self._send_to_voters(Release(self.term))
        if self.successor:
            self.actions.append(Send(self.successor, Take(self.term, clear)))
            self.successor = ""
            # the former holder may be the first candidate that is invited, and must not take the lease back
            self.no_campaign_until = max(self.no_campaign_until, self.now + self.settings.handover_time)
        # the former holder lets other candidates campaign first
        self.campaign_at = self.now + self.settings.handover_time

    def _on_move(self, to: str) -> None:
        """Hand the lease over to a candidate; empty: to whichever candidate campaigns first."""
        if self.role is Role.HOLDER and to != self.settings.name and to in ("", *self.settings.candidates):
            self.successor = to
            self._step_down("handed over")

    def _on_able(self, able: bool) -> None:
        if able and self.able_since == math.inf:
            self.able_since, self.unable_since = self.now, math.inf
        elif not able and self.unable_since == math.inf:
            self.able_since, self.unable_since = math.inf, self.now
            if self.role in (Role.PRE_VOTE, Role.CAMPAIGNING):
                self._become_backup()

    def check_change(self, now: float, settings: Settings) -> None:
        """Check whether new settings can be applied now.

        Raises:
            ElectionError: more than one voter was added or removed, so that two majorities might share no
                voter; or the lease has another length, while voters may still promise the length from before
                or a holder count on it; or this instance holds the lease, and the lease would end, as too few
                of the remaining voters have renewed their promises.
        """
        if settings.lease != self.settings.lease:
            raise ElectionError("lease: can't change while a process runs; end all routers, then start them")
        if len(set(settings.voters) ^ set(self.settings.voters)) > 1:
            raise ElectionError("voters: add or remove one at a time; wait until all routers have the change")
        removed = set(self.settings.voters) - set(settings.voters)
        if (
            removed
            and self.holds(now)
            and self.lease.supported_until(settings, now) - settings.heartbeat / 2 <= now
        ):
            raise ElectionError(
                f"voters: without {min(removed)} the lease would end; wait until the others have renewed it"
            )

    def _on_changed(self, settings: Settings) -> None:
        self.settings = settings
        if self.role in (Role.PRE_VOTE, Role.CAMPAIGNING):
            self._become_backup()
        if self.role in (Role.HOLDER, Role.STEPPING_DOWN):
            # updates only extend a lease; a majority of the new voters may support it for a shorter time
            self.lease.end()
            self.lease.update(self.settings, self.now)
