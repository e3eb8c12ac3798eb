"""The constants of the decision module. An experiment's plan sets one of them as `policy.NAME`."""

from __future__ import annotations

from myrtlecourse import interface as api

# The ring and the walk on it
POINTS = 128  # virtual nodes of a server as large as the unit of weight: shares are exact to about a tenth
PLACEMENT_BATCH = 64  # servers whose points are recomputed in one event: a few milliseconds of work
EPSILON = 0.25  # share above the average load from which on the walk continues past a server
MAX_WALK = 64  # points of a walk: bounds the work per request when all servers are full
ZONE_EXIT_MAX_WALK = 512  # the same while the fleet has excluded a zone, whose points stay on the ring
HEALTHY_SHARE = 0.3  # success rate of own attempts above which CHEAP_FAILURES use no retry budget
CHEAP_FAILURES = (api.Status.FULL, api.Status.CONNECT_FAILED)  # statuses that cost the fleet next to no work
MAX_WAIT_SHARE = 0.25  # share of its remaining time that a request may wait behind a server's reported load
MAX_FULL_SERVERS = 2  # full servers at which a walk ends: servers further on lack the key and would miss
# Limits of attempts in flight
INITIAL_LIMIT = 4.0  # initial limit of one router's attempts in flight at a server; adapts in seconds
FEW_ROUTERS = 4  # fleet size up to which routers learn fast and start with a full limit at the origin
CACHE_TARGET = 0.25  # target latency as a share of the class's aim: if higher, too many are in flight
ORIGIN_TARGET = 0.5  # the same for the origin, which is slower by design
FIRST_ANSWER_SHARE = 0.25  # share of the shortest aim that the origin's first answer may take before a probe
MAX_LIST_RETRY_PAUSE = 1.5  # seconds between calls to an unreachable discovery: list changes bind after 6 s
# Cold servers
COLD_CAPACITY_MULTIPLE = 4.0  # traffic for a cold server's keys in an overload, in multiples of its capacity
FREE_COLD_SENDS = 3  # requests per window, from all routers, that any cold server can take
OVERLOAD_FACTOR = 1.5  # assumed traffic in an overload, as a multiple of the warm fleet's capacity
KEY_SKEW = 1.3  # least assumed ratio of the traffic for a server's keys to its share
BURST_SHARE = 0.3  # additional traffic in a window by chance, as a part of a server's share
REFUSED_RETRY_SHARE = 0.7  # share of refused requests that clients send again
FIRST_CHOICE_PRIOR = 1.0  # requests per server that the count of first choices starts with
SLOW_START_STEPS = 16  # measurements of the fleet's warmth during a warm-up
# Attempts and the origin
ARRIVAL_MARGIN = 0.02  # seconds to reach a server, subtracted from the time in which it drops repeats
TIMER_ROUNDING = 1e-6  # seconds by which a timer may fire early
STORING_SERVERS = 2  # number of the servers that missed a key at which a fetch stores it
IDLE_LIMIT_SHARE = 0.5  # share of the origin's limit below which no other request needs the capacity
FAIR_CHANCE = 0.2  # chance of a timely answer that justifies a fetch while the origin has spare capacity
FETCH_TIME_FACTOR = 2.0  # usual latencies that must remain for a fetch: an abandoned one is not even stored
FAST_LATENCY_RATIO = 0.25  # ratio to the target below which an origin's limit may double per latency
LIMIT_CUT = 0.75  # factor that empties an overloaded server in a few round trips; 0.9 took many seconds
RETRY_SHARE = 0.2  # retries earned per request: enough when a server is lost, too few to feed an overload
MAX_SAVED_RETRIES = 10.0  # unspent retries, so that the requests of a lost server can all go at once
MAX_SILENCE = 1.0  # longest silence of a server, in shortest aims: longer than pauses, but noticed soon
KEEP_FACTOR = 0.5  # share of the idle time at which a connection costs as much as a new one
KEEP_RECOVERY = 0.01  # part of the way back to it per attempt; each connection failure halves the share
# Exclusion of failing servers
EXCLUSION_FAILURES = 3  # consecutive failures: a dead process fails all attempts, others one at a time
EXCLUSION_TIME = 0.5  # first exclusion in seconds, doubled with each further one; jittered per router
# if more fail, the servers are not the cause, and the others could not take their load
MAX_EXCLUDED_SHARE = 0.5  # share of the fleet
# Zones that the fleet has excluded
MOVE_CREDIT = 16.0  # displaced requests that may move to the remaining servers at once after a zone exit
MOVE_CREDIT_FACTOR = 4  # upper bound of the saved credit, in gains of one request that was not displaced
MOVE_RESERVE_SHARE = 0.5  # share of the credit reserved for requests of the highest value
ZONE_EXIT_RETRY_AFTER = 0.25  # seconds after which refused clients may retry: another router may succeed
ORIGIN_WAIT_SHARE = 0.4  # share of its time for which a request may wait for an unreachable origin
ORIGIN_RETURN_SPREAD = 0.5  # seconds over which routers resume fetches from an origin that is back
