"""The numbers that decisions go by; `policy.NAME` in an experiment's plan is one of these."""

from __future__ import annotations

from myrtlecourse import interface as api

POINTS = 128  # virtual nodes of a server as large as the unit of weight: shares within a tenth or so
PLACEMENT_BATCH = 64  # servers whose points are counted anew in one go, a few milliseconds' work
EPSILON = 0.25  # a server may stand this far above the average load before the walk passes it
MAX_WALK = 64  # points a walk goes at most: no tour of the fleet for each request when all is crowded
ZONE_EXIT_MAX_WALK = 512  # the same while a zone is left, whose points stay where they are
HEALTHY_SHARE = 0.3  # of own attempts answered well: above it a refusal as full, being cheap, spends no retry
CHEAP_FAILURES = (api.Status.FULL, api.Status.CONNECT_FAILED)  # they cost the fleet next to no work
MAX_WAIT_SHARE = 0.25  # of the time left that may be spent waiting behind what a server is reported to hold
MAX_FULL_SERVERS = (
    2  # servers a key may visit: further on they lack it, and a crowd of hits would turn into misses
)
INITIAL_LIMIT = 4.0  # first guess of what one router may have out at a server; moves within seconds
FEW_ROUTERS = 4  # routers that learn fast, and have a first guess each out at the origin; more share those
CACHE_TARGET = 0.25  # of the aim: answers slower than this on average mean that too many are out
ORIGIN_TARGET = 0.5  # the same for the origin, which is slow by nature
FIRST_ANSWER_SHARE = (
    0.25  # of the shortest aim: how long a first answer may take before another attempt is tried
)
MAX_LIST_RETRY_PAUSE = (
    1.5  # seconds at most between calls to a discovery out of reach: news counts as told after 6
)
COLD_CAPACITY_MULTIPLE = (
    4.0  # times what it can do, that a cold server gets in an overload at its part of the keys
)
FREE_COLD_SENDS = 3  # in a window, which any cold server bears
OVERLOAD_FACTOR = 1.5  # times what a fleet can do warm, that comes in an overload
KEY_SKEW = 1.3  # times its share of that, which keys may bring a server unseen
BURST_SHARE = 0.3  # of its share, that comes more in a window by chance
REFUSED_RETRY_SHARE = 0.7  # of what is refused
FIRST_CHOICE_PRIOR = 1.0  # requests for each server, with which the counting of what comes for it begins
SLOW_START_STEPS = 16  # times in a warm-up that what the fleet bears is measured
ARRIVAL_MARGIN = 0.02  # seconds that a repeat may take to its server, of the time in which that drops it
TIMER_ROUNDING = 1e-6  # seconds by which a timer may come early
STORING_SERVERS = 2  # servers that lacked a key, at which a fetch stores it
IDLE_LIMIT_SHARE = 0.5  # of a limit: with less out than that there are places that nobody else wants
FAIR_CHANCE = 0.2  # of an answer in time: worth a place that nobody else wants
FETCH_TIME_FACTOR = (
    2.0  # times the usual latency that must be left: a fetch given up midway is not even stored
)
FAST_LATENCY_RATIO = (
    0.25  # of the target: an origin that answers so fast gets twice as much within its latency
)
LIMIT_CUT = 0.75  # soon enough to empty a crowded server within a few rounds; a tenth took many seconds
RETRY_SHARE = 0.2  # retries for each request taken: enough for a server lost, too few to feed an overload
MAX_SAVED_RETRIES = 10.0  # unspent retries kept, so that those of a lost server can all go at once
MAX_SILENCE = 1.0  # shortest aims without any answer: longer than pauses, soon enough to matter
IDLE_KEEP_FACTOR = 0.5  # of the idle time at which a connection costs as much as the handshake it saves
IDLE_KEEP_RECOVERY = 0.01  # of the way back to KEEP with each answer, after failures have cut it by half each
EXCLUSION_FAILURES = (
    3  # in a row take a server out: spoilt answers come one by one, those of a dead process together
)
EXCLUSION_TIME = 0.5  # seconds out at first, doubled with each trial that fails; routers must not try in step
MAX_EXCLUDED_SHARE = (
    0.5  # share of the fleet; when more fails it is not the servers, and the others could not bear it
)
MOVE_CREDIT = 16.0  # requests that may move to survivors at once, when a zone is left
MOVE_CREDIT_FACTOR = 4  # times what one that stays lets move, which may be saved
MOVE_RESERVE_SHARE = 0.5  # of those, for requests of the most worth
ZONE_EXIT_RETRY_AFTER = (
    0.25  # seconds after which clients of what is left may come back: another router may reach it
)
ORIGIN_WAIT_SHARE = 0.4  # of a request's time, for which it may wait for an origin that is out of reach
ORIGIN_RETURN_SPREAD = 0.5  # seconds over which routers begin to ask an origin again that is back in reach
