package incarnations

import (
	"maps"
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// churnTime is how long a service counts as churning after a sign of it at least: for so long the store may still list
// replicas that were replaced along with the one of the sign.
const churnTime = EntryDelay

// Churn keeps when replicas of services were last seen to be replaced in place. Replicas of a service are mostly replaced
// in series, so that a sign of one replacement is a reason not to assume that the others live on. It is not safe for
// concurrent use.
type Churn struct {
	// latest has the latest sign by service, and own that of this node.
	latest, own map[string]structs.Instant
}

// NewChurn returns a Churn without signs.
func NewChurn() *Churn {
	return &Churn{latest: map[string]structs.Instant{}, own: map[string]structs.Instant{}}
}

// Observe records a sign at the instant that a replica of the service was replaced.
func (c *Churn) Observe(at structs.Instant, service string) {
	observe(c.own, at, service)
	observe(c.latest, at, service)
}

// ObserveReported records a sign that a peer has observed.
func (c *Churn) ObserveReported(at structs.Instant, service string) { observe(c.latest, at, service) }

func observe(signs map[string]structs.Instant, at structs.Instant, service string) {
	if latest, found := signs[service]; !found || at > latest {
		signs[service] = at
	}
}

// IsChurning reports whether there was a sign that a replica of the service was replaced, within churnTime or after the
// instant until which the store is known to list all replacements.
func (c *Churn) IsChurning(now, listedUntil structs.Instant, service string) bool {
	latest, found := c.latest[service]
	return found && (now-latest < churnTime || latest > listedUntil)
}

// Services returns the number of services that are churning. It drops the signs of others.
func (c *Churn) Services(now, listedUntil structs.Instant) int {
	isOver := func(service string, _ structs.Instant) bool { return !c.IsChurning(now, listedUntil, service) }
	maps.DeleteFunc(c.own, isOver)
	maps.DeleteFunc(c.latest, isOver)
	return len(c.latest)
}

// OwnAges returns the time since the latest sign that this node has observed for each service that is churning, nil if
// there is none. What peers have observed they report themselves: passed on, it would be younger by each way.
func (c *Churn) OwnAges(now, listedUntil structs.Instant) map[string]time.Duration {
	if c.Services(now, listedUntil) == 0 || len(c.own) == 0 {
		return nil
	}
	ages := make(map[string]time.Duration, len(c.own))
	for service, latest := range c.own {
		ages[service] = now - latest
	}
	return ages
}
