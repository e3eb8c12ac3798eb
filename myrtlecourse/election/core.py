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
from myrtlecourse.election.count import Count
from myrtlecourse.election.invitations import Invitations
from myrtlecourse.election.lease import Lease
from myrtlecourse.election.messages import (
    Able,
    Action,
    Announce,
    Ask,
    Beat,
    Changed,
    Deny,
    ElectionError,
    Event,
    Grant,
    Heard,
    Invite,
    Message,
    Move,
    Release,
    Renew,
    Resign,
    Save,
    Saved,
    Settings,
    Take,
    Tell,
    Wake,
    Withdraw,
    Withdrawn,
    Woke,
)
from myrtlecourse.election.offer import Offer

JOIN = 0.6  # of a heartbeat: with less left until the next one it is brought forward


class Role(Enum):
    """What an instance is."""

    BACKUP = "backup"
    TRYING = "trying"  # asks whether it would be given votes
    STANDING = "standing"  # asks for them
    HOLDER = "holder"
    LEAVING = "leaving"  # withdraws, and has not said so to the others


class Election:
    """One instance's part."""

    def __init__(
        self, settings: Settings, saved: Saved, now: float, seed: int, count: Count | None = None
    ) -> None:
        """Begins as a backup that gives no word for a lease: one given before it started may still hold.

        Elections of one process share a `count`.
        """
        self.settings = settings
        self.saved = saved
        self.first_term = saved.term if not saved.voted else -1  # that it began in, having voted in none
        self.random = random.Random(seed)
        self.now = now
        self.out: list[Action] = []
        self.role = Role.BACKUP
        self.quiet_until = now + settings.lease
        self.answered = -1  # number of the question that the last vote was given to
        self.word = ("", 0)  # given to whom, in which term
        self.word_until = -math.inf
        self.held_term = -1  # the highest in which somebody is known to have held
        self.stand_at = math.inf
        self.count = count or Count(self.random)
        self.ballot = Ballot()
        self.lease = Lease()
        self.beat_at = math.inf
        self.well_since = math.inf
        self.unwell_since = now
        self.successor = ""
        self.offer = Offer()
        self.rests_until = -math.inf
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
        if isinstance(event, Changed):
            self.check_change(max(now, self.now), event.settings)
        self.now, self.out = max(now, self.now), []
        if self.role is Role.HOLDER and not self.holds(self.now):
            self._withdraw("the lease is over")
        match event:
            case Heard(sender, message):
                known = sender in self.settings.voters or sender in self.settings.candidates
                if known and sender != self.settings.name:
                    self._on_message(sender, message)
            case Able(able):
                self._on_able(able)
            case Withdrawn(clear):
                self._on_withdrawn(clear)
            case Resign(why, rest):
                self._on_resign(why, rest)
            case Move(to):
                self._on_move(to)
            case Changed(settings):
                self._on_changed(settings)
            case Woke():
                pass
        self._look()
        self.out.append(Wake(self._next()))
        return self.out

    def _others(self) -> list[str]:
        return [v for v in self.settings.voters if v != self.settings.name]

    def _tell_all(self, message: Message) -> None:
        self.out += [Tell(v, message) for v in self._others()]

    # What is due

    def _look(self) -> None:
        """Do what the time asks for."""
        settings = self.settings
        if self.role is Role.HOLDER:
            if self.now >= self.unwell_since + settings.unwell:
                self._withdraw("not able to serve")
            elif self.now >= self.beat_at:
                self._beat()
        elif (
            self.role in (Role.TRYING, Role.STANDING)
            and self.now >= self.ballot.asked_at + settings.heartbeat
        ):
            self._fall_back()  # no majority answered in time: a later answer is of another question
        if self.role is Role.BACKUP and self.offer.stands(self.now):
            self._stand_as_offered()
        elif self.role is Role.BACKUP and settings.votes:
            self._invite()
            if self._bound_to("") or not self._may_stand():
                self.stand_at = math.inf
            elif self.stand_at == math.inf:
                # the most preferred first; a vacancy is all that preference counts for
                turn = settings.turn + self.random.random()
                self.stand_at = self.now + turn * settings.heartbeat / 2
            elif self.now >= self.stand_at:
                self._try()

    def _may_stand(self) -> bool:
        return self.settings.stands and self.now >= self._ready_at()

    def _ready_at(self) -> float:
        """From when on this one may stand, if nobody holds."""
        return max(self.quiet_until, self.well_since + self.settings.settle, self.rests_until)

    def _invite(self) -> None:
        """Ask candidates without a vote to stand, where nobody holds."""
        vacant = self.now >= self.quiet_until and not self._bound_to("")
        for name in self.invitations.due(self.now, vacant, self.settings):
            self.out.append(Tell(name, Invite(self.term)))

    def _next(self) -> float:
        """When something will be due."""
        if self.role is Role.HOLDER:
            times = [self.beat_at, self.lease_until - self.settings.heartbeat / 2]
            return min([*times, self.unwell_since + self.settings.unwell])
        if self.role in (Role.TRYING, Role.STANDING):
            return self.ballot.asked_at + self.settings.heartbeat
        if self.role is Role.LEAVING:
            return math.inf
        if self.offer.stands(self.now):
            return self.offer.next_at(self.now, max(self.word_until, self._ready_at()))
        if not self.settings.votes:
            return math.inf
        invites = math.inf
        if self.settings.preferred:
            invites = self.invitations.next_at
            if invites == math.inf:
                invites = max(self.word_until, self.quiet_until)
        if not self.settings.stands:
            return invites
        if self.stand_at < math.inf:
            return min(invites, self.stand_at)
        return min(invites, max(self.word_until, self._ready_at()))

    # Words

    def _only_began(self) -> bool:
        """Whether nothing but its own start has brought this voter to its term.

        Then a lower term says nothing against a holder: terms may begin after the time of the start, and a
        voter that started later would deny one that was there before, until the next election.
        """
        return self.term == self.first_term and not self.saved.voted

    def _bound_to(self, other_than: str) -> bool:
        """Whether a word given to another than this voter still holds."""
        return self.now < self.word_until and self.word[0] != other_than

    def _grants(self, sender: str, ask: Ask) -> bool:
        """Whether a vote may be given: one in each term, and none beside a word that holds."""
        if not self.settings.votes or sender not in self.settings.candidates:
            return False
        if self.now < self.quiet_until or self._bound_to(sender):
            return False
        if self.role in (Role.HOLDER, Role.LEAVING):
            return False
        # guards the term as a token: a process that has forgotten its own must not be given the same again
        same = self.saved.voted == "" or (self.saved.voted, self.answered) == (sender, ask.number)
        return ask.term > self.term or (ask.term == self.term and same)

    def _give_word(self, to: str, term: int) -> None:
        self.word = to, term
        self.word_until = self.now + self.settings.lease

    def _save(self, term: int, voted: str) -> None:
        self.saved = Saved(term, voted)
        if self.settings.votes:
            self.out.append(Save(self.saved))

    def _learn(self, term: int) -> None:
        """A term that others have reached: no vote of it is given yet."""
        if term > self.term:
            self._save(term, "")
            if self.role in (Role.TRYING, Role.STANDING):
                self._fall_back()

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
                if self.word == (sender, term):
                    self.word_until = -math.inf
                    self.stand_at = math.inf
            case Take():
                self._on_take(sender, message)
            case Invite():
                self._on_invite(message)

    def _on_invite(self, invite: Invite) -> None:
        """It is this one's turn to try for it."""
        if self.role is Role.BACKUP and self._may_stand():
            self._learn(invite.term)
            if not self.settings.votes:
                self._try()

    def _on_take(self, sender: str, take: Take) -> None:
        """It is this one's to take: stand, now and again until it is held or others may have it."""
        if not self.settings.stands or self.role in (Role.HOLDER, Role.LEAVING):
            return
        if take.term < self.term and self.word != (sender, take.term) and not self._only_began():
            return
        if self.word == (sender, take.term):
            self.word_until = -math.inf
        self._learn(take.term)
        self.offer.made(self.now, self.settings.handover)
        if self.role is Role.TRYING:
            self._fall_back()

    def _stand_as_offered(self) -> None:
        """Guards a move whose messages cross: a voter that is asked before it hears the release denies."""
        if self.now >= self.offer.stand_at and self._may_stand() and not self._bound_to(""):
            self.offer.tried(self.now, self.settings.heartbeat / 2)
            self._stand()

    def _on_ask(self, sender: str, ask: Ask) -> None:
        if not self._grants(sender, ask):
            self.out.append(Tell(sender, Deny(self.term)))
            return
        if not ask.trial:
            if self.role is not Role.BACKUP:
                self._fall_back()
            if self.saved != Saved(ask.term, sender):
                self._save(ask.term, sender)
            self.answered = ask.number
            self._give_word(sender, ask.term)
        self.out.append(Tell(sender, Grant(ask.term, ask.number, ask.trial)))

    def _on_grant(self, sender: str, grant: Grant) -> None:
        if self.role not in (Role.TRYING, Role.STANDING):
            return
        if not self.ballot.grant(sender, grant, self.settings):
            return
        if self.ballot.trial:
            self._stand()
        else:
            self._win()

    def _on_deny(self, sender: str, term: int) -> None:
        if self.role in (Role.BACKUP, Role.LEAVING):
            self._learn(term)
        # a holder goes on until its lease is over: it may be that none is in the higher term
        elif self.role is not Role.HOLDER and self.ballot.deny(sender, term, self.settings):
            self._on_denied_by_majority()

    def _on_denied_by_majority(self) -> None:
        """Fall back, or ask once more where the term asked for may be all that was wrong with it.

        Guards a move: whoever was named for it is asked to stand just once.
        """
        denied = self.ballot
        self._fall_back()
        self._learn(denied.highest_denial)
        if not denied.too_low:
            return
        if denied.trial:
            self._try()
        else:
            self._stand()
        self.ballot.again = True

    def _on_beat(self, sender: str, beat: Beat) -> None:
        """Give the holder a word for a lease, whatever terms have been tried in vain beside it.

        Whoever asks has never been without a majority's words since it was elected. So nobody has held in a
        higher term, unless the question is an old one.
        """
        if not self.settings.votes:
            return
        if beat.term < self.held_term or self._bound_to(sender) or self.role in (Role.HOLDER, Role.LEAVING):
            self.out.append(Tell(sender, Deny(self.term)))
            return
        if self.now < self.quiet_until:
            # a word given before the start may hold for another: not even the holder gets one yet
            return
        self._learn(beat.term)
        self.held_term = beat.term
        self.offer.over()
        if self.role is not Role.BACKUP:
            self._fall_back()
        self._give_word(sender, beat.term)
        self.out.append(Tell(sender, Renew(beat.term, beat.number)))

    def _on_renew(self, sender: str, renew: Renew) -> None:
        if self.role is not Role.HOLDER or renew.term != self.term:
            return
        if self.lease.renew(sender, renew.number):
            self.lease.count(self.settings, self.now)

    # Becoming and ceasing to be the holder

    def _try(self) -> None:
        self.role = Role.TRYING
        self._ask(self.term + 1, trial=True)

    def _stand(self) -> None:
        self.role = Role.STANDING
        self._save(self.term + 1, self.settings.name)
        self._ask(self.term, trial=False)

    def _ask(self, term: int, trial: bool) -> None:
        self.ballot = Ballot(term, self.count.at(self.now), trial, self.now)
        if self.settings.votes:
            self.ballot.granted.add(self.settings.name)
        self._tell_all(Ask(term, self.ballot.number, trial))
        if self.settings.majority == 1 and self.settings.votes:
            self._on_grant(self.settings.name, Grant(term, self.ballot.number, trial))

    def _win(self) -> None:
        self.role = Role.HOLDER
        self.lease.won(self.ballot.granted, self.ballot.asked_at)
        self.lease.count(self.settings, self.now)
        if not self.holds(self.now):
            self._fall_back()  # the last yes came too late to be worth anything
            return
        self.held_term = self.term
        self.offer.over()
        self.invitations.end()
        self.out.append(Announce(self.term))
        self._beat()

    def _beat(self) -> None:
        """Ask all for another lease."""
        number = self.count.at(self.now)
        self.lease.ask(number, self.now, self.settings.lease)
        self.beat_at = self.now + self.settings.heartbeat
        self._tell_all(Beat(self.term, number))
        self.lease.count(self.settings, self.now)

    def join(self, now: float) -> list[Action]:
        """Ask for another lease a little early, as another duty of this process asks just now: one heartbeat
        bears them all."""
        self.now, self.out = max(now, self.now), []
        if self.role is Role.HOLDER and self.beat_at - self.now < JOIN * self.settings.heartbeat:
            self._beat()
            self.out.append(Wake(self._next()))
        return self.out

    def _fall_back(self) -> None:
        self.role = Role.BACKUP
        self.stand_at = math.inf

    def _withdraw(self, why: str) -> None:
        """Give the address up; the others hear of it once nothing is accepted any more."""
        self.out.append(Withdraw(why))
        self.role = Role.LEAVING
        self.lease.over()

    def _on_resign(self, why: str, rest: float) -> None:
        """Guards what a holder does badly: it would be the first to stand again."""
        self.rests_until = self.now + rest
        if self.role is Role.HOLDER:
            self._withdraw(why)
        elif self.role in (Role.TRYING, Role.STANDING):
            self._fall_back()

    def _on_withdrawn(self, clear: bool) -> None:
        if self.role is not Role.LEAVING:
            return
        self._fall_back()
        self._tell_all(Release(self.term))
        if self.successor:
            self.out.append(Tell(self.successor, Take(self.term, clear)))
            self.successor = ""
            # guards the move: who has just left may be the first that is invited
            self.rests_until = max(self.rests_until, self.now + self.settings.handover)
        # who has just left lets others go first
        self.stand_at = self.now + self.settings.handover

    def _on_move(self, to: str) -> None:
        if self.role is Role.HOLDER and to != self.settings.name and to in ("", *self.settings.candidates):
            self.successor = to
            self._withdraw("handed over")

    def _on_able(self, able: bool) -> None:
        if able and self.well_since == math.inf:
            self.well_since, self.unwell_since = self.now, math.inf
        elif not able and self.unwell_since == math.inf:
            self.well_since, self.unwell_since = math.inf, self.now
            if self.role in (Role.TRYING, Role.STANDING):
                self._fall_back()

    def check_change(self, now: float, settings: Settings) -> None:
        """Whether new settings may be taken.

        Raises:
            ElectionError: two majorities might share no voter; or this instance holds, and too few of the
                voters that are left have given it their word yet, so that nobody would hold.
        """
        if len(set(settings.voters) ^ set(self.settings.voters)) > 1:
            raise ElectionError("voters: one may come or go at a time; wait until all have the change")
        gone = set(self.settings.voters) - set(settings.voters)
        if gone and self.holds(now) and self.lease.borne_until(settings, now) - settings.heartbeat / 2 <= now:
            raise ElectionError(
                f"voters: without {min(gone)} the lease would be over; wait for the others' words"
            )

    def _on_changed(self, settings: Settings) -> None:
        self.settings = settings
        if self.role in (Role.TRYING, Role.STANDING):
            self._fall_back()
        if self.role is Role.HOLDER:
            self.lease.over()
            self.lease.count(self.settings, self.now)
