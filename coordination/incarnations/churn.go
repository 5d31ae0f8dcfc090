package incarnations

import (
	"maps"
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// churnTime is how long a service counts as churning after a sign of it: for so long the store may still list replicas
// that were replaced along with the one of the sign.
const churnTime = EntryDelay

// Churn keeps when replicas of services were last seen to be replaced in place. Replicas of a service are mostly replaced
// in series, so that a sign of one replacement is a reason not to assume that the others live on. It is not safe for
// concurrent use.
type Churn struct{ latest map[string]structs.Instant }

// NewChurn returns a Churn without signs.
func NewChurn() *Churn { return &Churn{latest: map[string]structs.Instant{}} }

// Observe records a sign at the instant that a replica of the service was replaced.
func (c *Churn) Observe(at structs.Instant, service string) {
	if latest, found := c.latest[service]; !found || at > latest {
		c.latest[service] = at
	}
}

// IsChurning reports whether there was a sign within churnTime that a replica of the service was replaced.
func (c *Churn) IsChurning(now structs.Instant, service string) bool {
	latest, found := c.latest[service]
	return found && now-latest < churnTime
}

// Ages returns the time since the latest sign for each service that is churning, nil if none is. It drops what is older.
func (c *Churn) Ages(now structs.Instant) map[string]time.Duration {
	maps.DeleteFunc(c.latest, func(service string, _ structs.Instant) bool { return !c.IsChurning(now, service) })
	if len(c.latest) == 0 {
		return nil
	}
	ages := make(map[string]time.Duration, len(c.latest))
	for service, latest := range c.latest {
		ages[service] = now - latest
	}
	return ages
}
