"""The constants of the decision module. An experiment's plan sets one of them as `policy.NAME`."""

from __future__ import annotations

from myrtlecourse import interface as api

# The ring and the walk on it
POINTS = 128  # virtual nodes of a server as large as the unit of weight: shares are exact to about a tenth
PLACEMENT_BATCH = 64  # servers whose points are recomputed in one event: a few milliseconds of work
EPSILON = 0.25  # the walk passes servers whose load is more than this share above the average
MAX_WALK = 64  # points that a walk visits: bounds the work per request when all servers are full
ZONE_EXIT_MAX_WALK = 512  # the same while the fleet has left a zone, whose points stay on the ring
HEALTHY_SHARE = 0.3  # of own attempts answered well; above it a refusal as full is cheap and spends no retry
CHEAP_FAILURES = (api.Status.FULL, api.Status.CONNECT_FAILED)  # they cost the fleet next to no work
MAX_WAIT_SHARE = 0.25  # of the time left that a request may wait behind a server's reported load
MAX_FULL_SERVERS = 2  # that a walk passes: servers further on lack the key, and hits would turn into misses
# Limits of attempts in flight
INITIAL_LIMIT = 4.0  # of one router's attempts in flight at a server; adapts within seconds
FEW_ROUTERS = 4  # up to which each learns fast and starts with a whole initial limit at the origin
CACHE_TARGET = 0.25  # of the class's aim: slower answers on average mean too many attempts in flight
ORIGIN_TARGET = 0.5  # the same for the origin, which is slower by design
FIRST_ANSWER_SHARE = 0.25  # of the shortest aim: how long a first answer may take before another attempt
MAX_LIST_RETRY_PAUSE = 1.5  # seconds between calls to an unreachable discovery: list changes bind after 6 s
# Cold servers
COLD_CAPACITY_MULTIPLE = 4.0  # times its capacity, that a cold server gets in an overload for its keys
FREE_COLD_SENDS = 3  # per window, which any cold server can take
OVERLOAD_FACTOR = 1.5  # assumed traffic in an overload, as a multiple of the warm fleet's capacity
KEY_SKEW = 1.3  # assumed traffic of a server's keys over its share, before any was counted
BURST_SHARE = 0.3  # of a server's share, which may come on top within a window by chance
REFUSED_RETRY_SHARE = 0.7  # of refused requests, which clients send again
FIRST_CHOICE_PRIOR = 1.0  # requests per server that the count of first choices starts with
SLOW_START_STEPS = 16  # measurements of the fleet's warmth during a warm-up
# Attempts and the origin
ARRIVAL_MARGIN = 0.02  # seconds on the way to a server, subtracted from the time in which it drops repeats
TIMER_ROUNDING = 1e-6  # seconds by which a timer may fire early
STORING_SERVERS = 2  # of those that missed a key, at which a fetch stores it
IDLE_LIMIT_SHARE = 0.5  # of the origin's limit: below it other requests don't need the capacity
FAIR_CHANCE = 0.2  # of an answer in time, which justifies a fetch while the origin has spare capacity
FETCH_TIME_FACTOR = 2.0  # times the usual latency that must be left: an abandoned fetch is not even stored
FAST_LATENCY_RATIO = 0.25  # of the target: an origin this fast can take twice as much within its latency
LIMIT_CUT = 0.75  # empties an overloaded server within a few round trips; cuts by a tenth took many seconds
RETRY_SHARE = 0.2  # retries earned per request: enough when a server is lost, too few to feed an overload
MAX_SAVED_RETRIES = 10.0  # unspent retries, so that the requests of a lost server can all go at once
MAX_SILENCE = 1.0  # shortest aims without any answer: longer than pauses, short enough to react in time
KEEP_FACTOR = 0.5  # of the idle time at which a connection costs as much as the handshake it saves
KEEP_RECOVERY = 0.01  # of the way back to that per answer; each connection failure halves the factor
# Exclusion of failing servers
EXCLUSION_FAILURES = 3  # in a row: single bad answers come one by one, those of a dead process in a row
EXCLUSION_TIME = 0.5  # seconds at first, doubled with each failed trial; jittered, so routers differ
MAX_EXCLUDED_SHARE = 0.5  # of the fleet: if more fail it is no single server, and the rest can't take over
# Zones that the fleet has left
MOVE_CREDIT = 16.0  # requests that may move to the remaining servers at once when a zone is left
MOVE_CREDIT_FACTOR = 4  # upper bound of the saved credit, in gains of one request that did not move
MOVE_RESERVE_SHARE = 0.5  # of the credit, reserved for requests of the highest value
ZONE_EXIT_RETRY_AFTER = 0.25  # seconds after which refused clients may retry: another router may succeed
ORIGIN_WAIT_SHARE = 0.4  # of a request's time, for which it may wait for an unreachable origin
ORIGIN_RETURN_SPREAD = 0.5  # seconds over which routers resume fetches from an origin that is back
