package admission

import "time"

// Tuning constants, chosen by measurement; see docs/decisions.
const (
	// reservedShare is the share of a service's places kept for the more urgent.
	reservedShare = 0.06
	// fixedTokens is the fixed cost of a request, in prompt tokens.
	fixedTokens = 2000
	// runningTokens is the cost that each running request adds.
	runningTokens = 300
	// disturbanceCost is the cost of making one stream pause too long.
	disturbanceCost = 2000
	// unknownSlowness is reckoned for a replica that nothing is known of while others
	// are; between the fast and the slow ones of the deployments seen (1 to 4.4).
	unknownSlowness = 2
	// prefillTime is how long a prompt of a newly placed request counts as unread.
	prefillTime = time.Second
	// handover is the time from the end of an answer to the start of the next request
	// in its slot.
	handover = 12 * time.Millisecond
	// hiddenMemory is how long work that no node reports is reckoned with.
	hiddenMemory = 800 * time.Millisecond
	// initialDuration is the assumed time of a request until one was observed.
	initialDuration = 500 * time.Millisecond
	// minimumRetry and maximumRetry bound what a refused caller is told.
	minimumRetry = 300 * time.Millisecond
	maximumRetry = 2 * time.Second
	// retryShare is the part of the time left after which a caller may come back.
	retryShare = 0.32
	// refuseShare is the part of the target within which a request that would be
	// late is refused, and startShare that by which it must have started.
	refuseShare = 0.18
	startShare  = 0.75
	// overdueAfter is the time in which an answer should begin.
	overdueAfter = 1200 * time.Millisecond
	// otherZoneFactor is how much more a replica in another zone than the node's
	// costs: a cut between zones breaks what crosses them.
	otherZoneFactor = 2.0
	// otherRegionFactor is the same for another region: what goes there takes longer and is paid
	// for, so that work stays in its region as long as that serves it in time.
	otherRegionFactor = 6.0
	// smoothing is the weight of a new observation.
	smoothing = 0.15
	// fitShare is the part of the time left that an answer may be expected to take.
	fitShare = 0.95
	// maximumQueue bounds the waiting requests of a service.
	maximumQueue = 4000
	// placeLimit is the age at which a place is taken for lost.
	placeLimit = 60 * time.Second
)
