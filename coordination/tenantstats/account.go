package tenantstats

import (
	"slices"
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

const (
	// MaxTenants is the number of tenants of a service that are listed on lines of their own.
	MaxTenants = 64
	// maxAccounts is the number of tenants of a service that are counted apart. It exceeds MaxTenants so
	// that a tenant that begins to use much is noticed while many others use little.
	maxAccounts = 2 * MaxTenants
	// idleRetention is how long a tenant without requests stays listed.
	idleRetention = 10 * time.Minute
)

// account counts the requests of one tenant to one service.
type account struct {
	name string
	// isOthers is true for the account that sums up the tenants without one. It counts as one tenant of
	// weight 1.
	isOthers bool
	// priority and weight are those of the last request.
	priority                        int
	weight                          float64
	since, lastSubmittedAt          structs.Instant
	queued, running                 int
	answered, unanswered, withdrawn int64
	// refused counts the rejections by reason.
	refused map[string]int64
	// use has the slot time up to advancedAt.
	use        window
	advancedAt structs.Instant
}

// advance adds the slot time of the running requests since the last call.
func (a *account) advance(now structs.Instant) {
	a.use.add(a.advancedAt, now, a.running)
	a.advancedAt = max(a.advancedAt, now)
}

func (a *account) recordWait(now structs.Instant, wait time.Duration) {
	longest := a.use.longestWait(now)
	*longest = max(*longest, wait)
}

func (a *account) refuse(reason string) {
	if a.refused == nil {
		a.refused = map[string]int64{}
	}
	a.refused[reason]++
}

// hasRequests reports whether a request of the account is in progress. Such accounts are not removed.
func (a *account) hasRequests() bool { return a.queued+a.running > 0 }

// isActive reports whether the account has requests in progress or had one within the window. Only
// active accounts have a share.
func (a *account) isActive(now structs.Instant) bool {
	return a.hasRequests() || now-a.lastSubmittedAt <= Window
}

// setLatest sets the time, priority and weight of the latest request. It returns whether that may change
// shares.
func (a *account) setLatest(now structs.Instant, priority int, weight float64) bool {
	if a.isOthers {
		weight = a.weight
	}
	changesShares := !a.isActive(now) || a.priority != priority || a.weight != weight
	a.lastSubmittedAt, a.priority, a.weight = now, priority, weight
	return changesShares
}

// merge adds the figures of another account up to now.
func (a *account) merge(now structs.Instant, other *account) {
	a.advance(now)
	other.advance(now)
	a.queued += other.queued
	a.running += other.running
	a.answered += other.answered
	a.unanswered += other.unanswered
	a.withdrawn += other.withdrawn
	a.lastSubmittedAt = max(a.lastSubmittedAt, other.lastSubmittedAt)
	for reason, count := range other.refused {
		if a.refused == nil {
			a.refused = map[string]int64{}
		}
		a.refused[reason] += count
	}
	a.use.merge(now, &other.use)
}

// serviceAccounts are the accounts of one service.
type serviceAccounts struct {
	// byName and list have the same accounts, without that of the others.
	byName map[string]*account
	list   []*account
	others *account
	// hand is the index in list from which the next search for an account to replace starts.
	hand int
	// latestGroup is the latest result of group, for latestPriority at latestAt, and void if isGroupKnown
	// is false. All rejections of a round have the same time.
	latestGroup    priorityGroup
	latestPriority int
	latestAt       structs.Instant
	isGroupKnown   bool
}

// service returns the accounts of the service, created if needed. Beyond maxServices there is one more
// for all other services.
func (r *Recorder) service(now structs.Instant, name string) *serviceAccounts {
	service, found := r.services[name]
	if !found && len(r.services) >= maxServices {
		name = otherServices
		service, found = r.services[name]
	}
	if !found {
		service = &serviceAccounts{byName: map[string]*account{}, others: &account{isOthers: true, weight: 1, since: now, lastSubmittedAt: now - idleRetention, advancedAt: now}}
		r.services[name] = service
	}
	return service
}

// account returns the account of the tenant. If all accounts are taken, it replaces one without requests
// in progress that has little use; if it finds none, it returns the account of the others.
func (s *serviceAccounts) account(now structs.Instant, tenant string) *account {
	if known, found := s.byName[tenant]; found {
		return known
	}
	var free *account
	if len(s.list) < maxAccounts {
		free = &account{}
		s.list = append(s.list, free)
	} else if free = s.findReplaceable(now); free == nil {
		return s.others
	} else {
		s.mergeIntoOthers(now, free)
	}
	*free = account{name: tenant, weight: 1, since: now, lastSubmittedAt: now - idleRetention, advancedAt: now}
	s.byName[tenant] = free
	return free
}

// replacementCandidates is the number of accounts without requests in progress that are compared to
// replace one of them. A search among all accounts took longer than all other records of a request.
const replacementCandidates = 8

// findReplaceable returns the account with the least use among the next ones without requests in
// progress, or nil if there is none.
func (s *serviceAccounts) findReplaceable(now structs.Instant) *account {
	var least *account
	leastUse := 0.0
	for checked, compared := 0, 0; checked < len(s.list) && compared < replacementCandidates; checked++ {
		candidate := s.list[s.hand]
		s.hand = (s.hand + 1) % len(s.list)
		if candidate.hasRequests() {
			continue
		}
		compared++
		if use := candidate.use.total(now); least == nil || use < leastUse {
			least, leastUse = candidate, use
		}
	}
	return least
}

// mergeIntoOthers adds the account, which has no requests in progress, to that of the others.
func (s *serviceAccounts) mergeIntoOthers(now structs.Instant, removed *account) {
	s.others.merge(now, removed)
	delete(s.byName, removed.name)
	s.isGroupKnown = false
}

// removeIdle removes the accounts without a request for idleRetention, as of tenants that were deleted.
func (s *serviceAccounts) removeIdle(now structs.Instant) {
	s.list = slices.DeleteFunc(s.list, func(candidate *account) bool {
		isIdle := !candidate.hasRequests() && now-candidate.lastSubmittedAt > idleRetention
		if isIdle {
			s.mergeIntoOthers(now, candidate)
		}
		return isIdle
	})
	s.hand = 0
}

// priorityGroup sums up the weights of the active accounts of one priority and the use of all of them.
type priorityGroup struct{ weights, used float64 }

// group returns the sums over the accounts of the priority, and advances these.
func (s *serviceAccounts) group(now structs.Instant, priority int) priorityGroup {
	if s.isGroupKnown && s.latestAt == now && s.latestPriority == priority {
		return s.latestGroup
	}
	var group priorityGroup
	group.add(now, priority, s.others)
	for _, account := range s.list {
		group.add(now, priority, account)
	}
	s.latestGroup, s.latestPriority, s.latestAt, s.isGroupKnown = group, priority, now, true
	return group
}

func (g *priorityGroup) add(now structs.Instant, priority int, account *account) {
	if account.priority != priority {
		return
	}
	account.advance(now)
	g.used += account.use.total(now)
	if account.isActive(now) {
		g.weights += account.weight
	}
}

// shares returns the account's share among the active accounts of the group, which is zero if it is not
// active, and its share of what the group used.
func (g *priorityGroup) shares(now structs.Instant, account *account) (share, usedShare float64) {
	if account.isActive(now) {
		share = account.weight / g.weights
	}
	if g.used > 0 {
		usedShare = account.use.total(now) / g.used
	}
	return share, usedShare
}
