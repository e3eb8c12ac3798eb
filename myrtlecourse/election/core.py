"""A lease on one duty, the service address or another, given by a majority of voters; events in, actions out.

Terms, votes and the trial before a vote are those of Raft (Ongaro and Ousterhout, 2014; section 9.6 of
Ongaro's thesis for the trial); there is no log. The lease is Gray and Cheriton's (1989): a voter's word
excludes all others for a time on its own clock, and the holder counts it from before it asked, shortened by
what two clocks may run apart. Two leases at once would need two majorities of words, and a voter in both.

Candidates need no vote: one without stands when it is invited, as only voters know of a vacancy.
"""

from __future__ import annotations

import math
import random
from enum import Enum

from myrtlecourse.election.ballot import Ballot
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
from myrtlecourse.election.question_numbers import QuestionNumbers

EARLY_WINDOW = 0.6  # of a heartbeat: with less left until the next one it is brought forward


class Role(Enum):
    """What an instance is."""

    BACKUP = "backup"
    PRE_VOTE = "trying"  # asks whether it would be given votes
    CAMPAIGNING = "standing"  # asks for them
    HOLDER = "holder"
    LEAVING = "leaving"  # withdraws, and has not said so to the others


class Election:
    """One instance's part."""

    def __init__(
        self,
        settings: Settings,
        saved: Saved,
        now: float,
        seed: int,
        question_numbers: QuestionNumbers | None = None,
    ) -> None:
        """Begins as a backup that gives no word for a lease: one given before it started may still hold.

        Elections of one process share a `count`.
        """
        self.settings = settings
        self.saved = saved
        self.starting_term = saved.term if not saved.voted else -1  # that it began in, having voted in none
        self.random = random.Random(seed)
        self.now = now
        self.actions: list[Action] = []
        self.role = Role.BACKUP
        self.startup_wait_until = now + settings.lease
        self.answered_question = -1  # number of the question that the last vote was given to
        self.promise = ("", 0)  # given to whom, in which term
        self.promise_until = -math.inf
        self.highest_held_term = -1  # the highest in which somebody is known to have held
        self.campaign_at = math.inf
        self.question_numbers = question_numbers or QuestionNumbers(self.random)
        self.ballot = Ballot()
        self.lease = Lease()
        self.heartbeat_at = math.inf
        self.able_since = math.inf
        self.unable_since = now
        self.successor = ""
        self.offer = Offer()
        self.no_campaign_until = -math.inf
        self.invitations = Invitations()

    @property
    def term(self) -> int:
        return self.saved.term

    @property
    def lease_until(self) -> float:
        """When the lease of a holder is over; endlessly long ago where there is none."""
        return self.lease.until

    def holds(self, now: float) -> bool:
        """Whether the address is this instance's at this very moment, by its own clock.

        To be asked before each accept: a process that was stopped wakes with what came for the holder that
        it was.
        """
        return self.role is Role.HOLDER and now < self.lease_until - self.settings.heartbeat / 2

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event and answer with actions, to be carried out in order.

        Raises:
            ElectionError: settings that may not be taken now; nothing is done.
        """
        if isinstance(event, SettingsChanged):
            self.check_change(max(now, self.now), event.settings)
        self.now, self.actions = max(now, self.now), []
        if self.role is Role.HOLDER and not self.holds(self.now):
            self._start_withdrawal("the lease is over")
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
        return [v for v in self.settings.voters if v != self.settings.name]

    def _send_to_voters(self, message: Message) -> None:
        self.actions += [Send(v, message) for v in self._other_voters()]

    # What is due

    def _do_due_work(self) -> None:
        """Do what the time asks for."""
        settings = self.settings
        if self.role is Role.HOLDER:
            if self.now >= self.unable_since + settings.unwell:
                self._start_withdrawal("not able to serve")
            elif self.now >= self.heartbeat_at:
                self._send_heartbeat()
        elif (
            self.role in (Role.PRE_VOTE, Role.CAMPAIGNING)
            and self.now >= self.ballot.asked_at + settings.heartbeat
        ):
            self._become_backup()  # no majority answered in time: a later answer is of another question
        if self.role is Role.BACKUP and self.offer.is_open(self.now):
            self._campaign_for_offer()
        elif self.role is Role.BACKUP and settings.is_voter:
            self._invite_candidates()
            if self._promised_to_another("") or not self._may_campaign():
                self.campaign_at = math.inf
            elif self.campaign_at == math.inf:
                # the most preferred first; a vacancy is all that preference counts for
                turn = settings.turn + self.random.random()
                self.campaign_at = self.now + turn * settings.heartbeat / 2
            elif self.now >= self.campaign_at:
                self._start_trial()

    def _may_campaign(self) -> bool:
        return self.settings.may_hold and self.now >= self._may_campaign_from()

    def _may_campaign_from(self) -> float:
        """From when on this one may stand, if nobody holds."""
        return max(self.startup_wait_until, self.able_since + self.settings.settle, self.no_campaign_until)

    def _invite_candidates(self) -> None:
        """Ask candidates without a vote to stand, where nobody holds."""
        vacant = self.now >= self.startup_wait_until and not self._promised_to_another("")
        for name in self.invitations.candidates_due(self.now, vacant, self.settings):
            self.actions.append(Send(name, Invite(self.term)))

    def _next_due(self) -> float:
        """When something will be due."""
        if self.role is Role.HOLDER:
            times = [self.heartbeat_at, self.lease_until - self.settings.heartbeat / 2]
            return min([*times, self.unable_since + self.settings.unwell])
        if self.role in (Role.PRE_VOTE, Role.CAMPAIGNING):
            return self.ballot.asked_at + self.settings.heartbeat
        if self.role is Role.LEAVING:
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

    # Words

    def _term_only_from_start(self) -> bool:
        """Whether nothing but its own start has brought this voter to its term.

        Then a lower term says nothing against a holder: terms may begin after the time of the start, and a
        voter that started later would deny one that was there before, until the next election.
        """
        return self.term == self.starting_term and not self.saved.voted

    def _promised_to_another(self, other_than: str) -> bool:
        """Whether a word given to another than this voter still holds."""
        return self.now < self.promise_until and self.promise[0] != other_than

    def _may_grant(self, sender: str, ask: Ask) -> bool:
        """Whether a vote may be given: one in each term, and none beside a word that holds."""
        if not self.settings.is_voter or sender not in self.settings.candidates:
            return False
        if self.now < self.startup_wait_until or self._promised_to_another(sender):
            return False
        if self.role in (Role.HOLDER, Role.LEAVING):
            return False
        # guards the term as a token: a process that has forgotten its own must not be given the same again
        same = self.saved.voted == "" or (self.saved.voted, self.answered_question) == (sender, ask.number)
        return ask.term > self.term or (ask.term == self.term and same)

    def _give_promise(self, to: str, term: int) -> None:
        self.promise = to, term
        self.promise_until = self.now + self.settings.lease

    def _save(self, term: int, voted: str) -> None:
        self.saved = Saved(term, voted)
        if self.settings.is_voter:
            self.actions.append(Save(self.saved))

    def _adopt_term(self, term: int) -> None:
        """A term that others have reached: no vote of it is given yet."""
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
        """It is this one's turn to try for it."""
        if self.role is Role.BACKUP and self._may_campaign():
            self._adopt_term(invite.term)
            if not self.settings.is_voter:
                self._start_trial()

    def _on_take(self, sender: str, take: Take) -> None:
        """It is this one's to take: stand, now and again until it is held or others may have it."""
        if not self.settings.may_hold or self.role in (Role.HOLDER, Role.LEAVING):
            return
        if take.term < self.term and self.promise != (sender, take.term) and not self._term_only_from_start():
            return
        if self.promise == (sender, take.term):
            self.promise_until = -math.inf
        self._adopt_term(take.term)
        self.offer.start(self.now, self.settings.handover_time)
        if self.role is Role.PRE_VOTE:
            self._become_backup()

    def _campaign_for_offer(self) -> None:
        """Guards a move whose messages cross: a voter that is asked before it hears the release denies."""
        if self.now >= self.offer.campaign_at and self._may_campaign() and not self._promised_to_another(""):
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
            self.answered_question = ask.number
            self._give_promise(sender, ask.term)
        self.actions.append(Send(sender, Grant(ask.term, ask.number, ask.trial)))

    def _on_grant(self, sender: str, grant: Grant) -> None:
        if self.role not in (Role.PRE_VOTE, Role.CAMPAIGNING):
            return
        if not self.ballot.count_grant(sender, grant, self.settings):
            return
        if self.ballot.trial:
            self._start_campaign()
        else:
            self._become_holder()

    def _on_deny(self, sender: str, term: int) -> None:
        if self.role in (Role.BACKUP, Role.LEAVING):
            self._adopt_term(term)
        # a holder goes on until its lease is over: it may be that none is in the higher term
        elif self.role is not Role.HOLDER and self.ballot.count_denial(sender, term, self.settings):
            self._on_denied_by_majority()

    def _on_denied_by_majority(self) -> None:
        """Fall back, or ask once more where the term asked for may be all that was wrong with it.

        Guards a move: whoever was named for it is asked to stand just once.
        """
        denied = self.ballot
        self._become_backup()
        self._adopt_term(denied.highest_denier_term)
        if not denied.term_too_low:
            return
        if denied.trial:
            self._start_trial()
        else:
            self._start_campaign()
        self.ballot.is_retry = True

    def _on_beat(self, sender: str, beat: Beat) -> None:
        """Give the holder a word for a lease, whatever terms have been tried in vain beside it.

        Whoever asks has never been without a majority's words since it was elected. So nobody has held in a
        higher term, unless the question is an old one.
        """
        if not self.settings.is_voter:
            return
        if (
            beat.term < self.highest_held_term
            or self._promised_to_another(sender)
            or self.role in (Role.HOLDER, Role.LEAVING)
        ):
            self.actions.append(Send(sender, Deny(self.term)))
            return
        if self.now < self.startup_wait_until:
            # a word given before the start may hold for another: not even the holder gets one yet
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

    # Becoming and ceasing to be the holder

    def _start_trial(self) -> None:
        self.role = Role.PRE_VOTE
        self._ask_voters(self.term + 1, trial=True)

    def _start_campaign(self) -> None:
        self.role = Role.CAMPAIGNING
        self._save(self.term + 1, self.settings.name)
        self._ask_voters(self.term, trial=False)

    def _ask_voters(self, term: int, trial: bool) -> None:
        self.ballot = Ballot(term, self.question_numbers.number_at(self.now), trial, self.now)
        if self.settings.is_voter:
            self.ballot.granted.add(self.settings.name)
        self._send_to_voters(Ask(term, self.ballot.number, trial))
        if self.settings.majority == 1 and self.settings.is_voter:
            self._on_grant(self.settings.name, Grant(term, self.ballot.number, trial))

    def _become_holder(self) -> None:
        self.role = Role.HOLDER
        self.lease.start(self.ballot.granted, self.ballot.asked_at)
        self.lease.update(self.settings, self.now)
        if not self.holds(self.now):
            self._become_backup()  # the last yes came too late to be worth anything
            return
        self.highest_held_term = self.term
        self.offer.end()
        self.invitations.reset()
        self.actions.append(Announce(self.term))
        self._send_heartbeat()

    def _send_heartbeat(self) -> None:
        """Ask all for another lease."""
        number = self.question_numbers.number_at(self.now)
        self.lease.record_request(number, self.now, self.settings.lease)
        self.heartbeat_at = self.now + self.settings.heartbeat
        self._send_to_voters(Beat(self.term, number))
        self.lease.update(self.settings, self.now)

    def heartbeat_early(self, now: float) -> list[Action]:
        """Ask for another lease a little early, as another duty of this process asks just now: one heartbeat
        bears them all."""
        self.now, self.actions = max(now, self.now), []
        if self.role is Role.HOLDER and self.heartbeat_at - self.now < EARLY_WINDOW * self.settings.heartbeat:
            self._send_heartbeat()
            self.actions.append(SetTimer(self._next_due()))
        return self.actions

    def _become_backup(self) -> None:
        self.role = Role.BACKUP
        self.campaign_at = math.inf

    def _start_withdrawal(self, reason: str) -> None:
        """Give the address up; the others hear of it once nothing is accepted any more."""
        self.actions.append(Withdraw(reason))
        self.role = Role.LEAVING
        self.lease.end()

    def _on_resign(self, reason: str, pause: float) -> None:
        """Guards what a holder does badly: it would be the first to stand again."""
        self.no_campaign_until = self.now + pause
        if self.role is Role.HOLDER:
            self._start_withdrawal(reason)
        elif self.role in (Role.PRE_VOTE, Role.CAMPAIGNING):
            self._become_backup()

    def _on_withdrawn(self, clear: bool) -> None:
        if self.role is not Role.LEAVING:
            return
        self._become_backup()
        self._send_to_voters(Release(self.term))
        if self.successor:
            self.actions.append(Send(self.successor, Take(self.term, clear)))
            self.successor = ""
            # guards the move: who has just left may be the first that is invited
            self.no_campaign_until = max(self.no_campaign_until, self.now + self.settings.handover_time)
        # who has just left lets others go first
        self.campaign_at = self.now + self.settings.handover_time

    def _on_move(self, to: str) -> None:
        if self.role is Role.HOLDER and to != self.settings.name and to in ("", *self.settings.candidates):
            self.successor = to
            self._start_withdrawal("handed over")

    def _on_able(self, able: bool) -> None:
        if able and self.able_since == math.inf:
            self.able_since, self.unable_since = self.now, math.inf
        elif not able and self.unable_since == math.inf:
            self.able_since, self.unable_since = math.inf, self.now
            if self.role in (Role.PRE_VOTE, Role.CAMPAIGNING):
                self._become_backup()

    def check_change(self, now: float, settings: Settings) -> None:
        """Whether new settings may be taken.

        Raises:
            ElectionError: two majorities might share no voter; or this instance holds, and too few of the
                voters that are left have given it their word yet, so that nobody would hold.
        """
        if len(set(settings.voters) ^ set(self.settings.voters)) > 1:
            raise ElectionError("voters: one may come or go at a time; wait until all have the change")
        removed = set(self.settings.voters) - set(settings.voters)
        if (
            removed
            and self.holds(now)
            and self.lease.supported_until(settings, now) - settings.heartbeat / 2 <= now
        ):
            raise ElectionError(
                f"voters: without {min(removed)} the lease would be over; wait for the others' words"
            )

    def _on_changed(self, settings: Settings) -> None:
        self.settings = settings
        if self.role in (Role.PRE_VOTE, Role.CAMPAIGNING):
            self._become_backup()
        if self.role is Role.HOLDER:
            self.lease.end()
            self.lease.update(self.settings, self.now)
