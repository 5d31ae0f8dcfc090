package tenantstats

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/structs"
)

const second = time.Second

// submit submits a request of the tenant to the service s.
func submit(r *Recorder, now structs.Instant, id, tenant string) {
	r.Submitted(now, Submission{ID: id, Node: "n", Service: "s", Route: "r", Tenant: tenant, Weight: 1})
}

// run submits a request that gets a slot at once.
func run(r *Recorder, now structs.Instant, id, tenant string) {
	submit(r, now, id, tenant)
	r.Assigned(now, id)
}

// rowOf returns the row of the tenant in the table, and an empty one if it has none.
func rowOf(r *Recorder, now structs.Instant, tenant string) Row {
	for _, row := range r.Table(now) {
		if row.Tenant == tenant && !row.Others {
			return row
		}
	}
	return Row{}
}

// Guards against use that counts only at the end of a request, or that leaves the window too early or
// too late.
func TestUseIsTheSlotTimeOfTheLastTenSeconds(t *testing.T) {
	g := gomega.NewWithT(t)
	r := New(0)
	run(r, 0, "a1", "a")
	run(r, 0, "a2", "a")
	run(r, 3*second+second/2, "b1", "b")
	usedAt := func(now structs.Instant, tenant string) float64 { return rowOf(r, now, tenant).Used }
	g.Expect(usedAt(2*second+second/4, "a")).To(gomega.BeNumerically("~", 4.5, 1e-9))
	r.Finished(4*second, "a1", true)
	r.Finished(6*second, "a2", true)
	g.Expect(usedAt(6*second, "a")).To(gomega.BeNumerically("~", 10, 1e-9))
	g.Expect(usedAt(6*second, "b")).To(gomega.BeNumerically("~", 2.5, 1e-9))
	g.Expect(usedAt(10*second, "a")).To(gomega.BeNumerically("~", 10, 1e-9))
	g.Expect(usedAt(12*second+second/2, "a")).To(gomega.BeNumerically("~", 5, 1e-9))
	g.Expect(usedAt(15*second, "a")).To(gomega.BeNumerically("~", 1, 1e-9))
	g.Expect(usedAt(16*second, "a")).To(gomega.BeZero())
	g.Expect(usedAt(300*second, "b")).To(gomega.BeNumerically("~", 10, 1e-9))
	row := rowOf(r, 300*second, "b")
	g.Expect(row.Running).To(gomega.Equal(1))
	g.Expect(row.UsedShare).To(gomega.BeNumerically("~", 1, 1e-9))
	g.Expect(rowOf(r, 300*second, "a").Share).To(gomega.BeZero())
}

// Guards against shares that count tenants of another priority or idle ones, or ignore weights, and
// against a table that is not ordered by use.
func TestShareIsTheWeightAmongTheActiveTenantsOfThePriority(t *testing.T) {
	g := gomega.NewWithT(t)
	r := New(0)
	for i, tenant := range []struct {
		name     string
		priority int
		weight   float64
	}{{"small", 1, 0.5}, {"large", 1, 1.5}, {"idle", 1, 2}, {"urgent", 0, 4}, {"no-weight", 2, 0}, {"invalid", 2, math.NaN()}, {"infinite", 2, math.Inf(1)}, {"beyond", 2, 1000}} {
		id := fmt.Sprint(i)
		r.Submitted(0, Submission{ID: id, Node: "n", Service: "s", Tenant: tenant.name, Priority: tenant.priority, Weight: tenant.weight})
		r.Assigned(0, id)
		if tenant.name == "idle" {
			r.Finished(0, id, true)
		}
	}
	now := 11 * second
	g.Expect(rowOf(r, now, "small").Share).To(gomega.BeNumerically("~", 0.25, 1e-9))
	g.Expect(rowOf(r, now, "large").Share).To(gomega.BeNumerically("~", 0.75, 1e-9))
	g.Expect(rowOf(r, now, "idle").Share).To(gomega.BeZero())
	g.Expect(rowOf(r, now, "urgent").Share).To(gomega.BeNumerically("~", 1, 1e-9))
	for _, name := range []string{"no-weight", "invalid", "infinite", "beyond"} {
		g.Expect(rowOf(r, now, name).Weight).To(gomega.BeNumerically("==", 1), name)
		g.Expect(rowOf(r, now, name).Share).To(gomega.BeNumerically("~", 0.25, 1e-9), name)
	}
	run(r, now, "second", "large")
	rows := r.Table(now + second)
	g.Expect(rows[0].Tenant).To(gomega.Equal("large"))
	g.Expect(rows[len(rows)-1].Tenant).To(gomega.Equal("idle"))
}

// Guards against waits that are forgotten too early, kept too long or counted only once decided.
func TestLongestWaitIncludesQueuedRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	r := New(0)
	submit(r, 0, "1", "a")
	g.Expect(rowOf(r, 2*second, "a").LongestWaitMS).To(gomega.BeNumerically("==", 2000))
	r.Rejected(3*second, "1", Rejection{Reason: "backlog"})
	g.Expect(rowOf(r, 12*second, "a").LongestWaitMS).To(gomega.BeNumerically("==", 3000))
	g.Expect(rowOf(r, 14*second, "a").LongestWaitMS).To(gomega.BeZero())
}

// Guards against a table that grows with the number of tenants, hides one that uses much behind many that
// use little, or loses the counts of tenants that share a line.
func TestManyTenantsAreListedInBoundedSpace(t *testing.T) {
	g := gomega.NewWithT(t)
	r := New(0)
	const tenants = 2000
	now := structs.Instant(0)
	requests := 0
	for round := range 3 {
		for i := range tenants {
			now += time.Millisecond
			id := fmt.Sprint(round, "-", i)
			run(r, now, id, fmt.Sprint("tenant-", i))
			r.Finished(now+time.Millisecond, id, true)
			requests++
		}
		if round == 1 { // two tenants begin to use much while all accounts are taken
			run(r, now, "heavy-1", "heavy")
			run(r, now, "heavy-2", "heavier")
			run(r, now, "heavy-3", "heavier")
		}
	}
	rows := r.Table(now)
	g.Expect(rows).To(gomega.HaveLen(MaxTenants + 1))
	g.Expect(rows[0].Tenant).To(gomega.Equal("heavier"))
	g.Expect(rows[1].Tenant).To(gomega.Equal("heavy"))
	g.Expect(rows[MaxTenants].Others).To(gomega.BeTrue())
	answered, share, used := int64(0), 0.0, 0.0
	for _, row := range rows {
		answered += row.Answered
		used += row.Used
		share += row.Share
	}
	g.Expect(answered).To(gomega.BeNumerically("==", requests))
	g.Expect(used).To(gomega.BeNumerically("~", 6+3*2, 0.01), "6,000 requests of 1 ms and 3 of 2 s so far")
	g.Expect(share).To(gomega.BeNumerically("~", 1, 1e-9))
	g.Expect(len(r.services["s"].byName)).To(gomega.BeNumerically("<=", maxAccounts))
	g.Expect(r.services["s"].list).To(gomega.HaveLen(len(r.services["s"].byName)))
	g.Expect(r.ActiveTenants(now)).To(gomega.Equal(maxAccounts + 1))
	g.Expect(r.requests).To(gomega.HaveLen(3))
}

// Guards against tenants that are counted twice, or lost, while every account has requests in progress.
func TestTenantsBeyondTheAccountsAreSummedUp(t *testing.T) {
	g := gomega.NewWithT(t)
	r := New(0)
	const tenants = 2 * maxAccounts
	for i := range tenants {
		run(r, 0, fmt.Sprint(i), fmt.Sprint("tenant-", i))
	}
	submit(r, 0, "one more", "unlisted")
	r.Rejected(second, "one more", Rejection{Reason: "backlog"})
	rows := r.Table(second)
	others := rows[len(rows)-1]
	g.Expect(others.Others).To(gomega.BeTrue())
	g.Expect(others.Running).To(gomega.Equal(tenants - MaxTenants))
	g.Expect(others.Refused).To(gomega.HaveKeyWithValue("backlog", int64(1)))
	g.Expect(others.Used).To(gomega.BeNumerically("~", tenants-MaxTenants, 1e-6))
	r.NodeEnded(2*second, "n")
	g.Expect(r.requests).To(gomega.BeEmpty())
	for _, row := range r.Table(2 * second) {
		g.Expect(row.Running+row.Queued).To(gomega.BeZero(), row.Tenant)
	}
}

// Guards against services and requests in progress that use memory without bound.
func TestServicesAndRequestsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	r := New(0)
	for i := range 2 * maxRequests {
		r.Submitted(0, Submission{ID: fmt.Sprint(i), Node: "n", Service: fmt.Sprint("service-", i%1000), Tenant: "a"})
	}
	g.Expect(r.requests).To(gomega.HaveLen(maxRequests))
	g.Expect(r.services).To(gomega.HaveLen(maxServices + 1))
	r.Sweep(maxRequestAge + 1)
	g.Expect(r.requests).To(gomega.BeEmpty())
}

// Guards against long names that are copied in full, that are cut inside a character, or that become
// equal although they differ.
func TestLongNamesAreShortened(t *testing.T) {
	g := gomega.NewWithT(t)
	long := strings.Repeat("ж", 2048) // 4 KB
	r := New(0)
	submit(r, 0, "1", long+"a")
	submit(r, 0, "2", long+"b")
	r.Submitted(0, Submission{ID: "3", Node: "n", Service: long, Route: long, Tenant: long, RequestID: long})
	r.Rejected(second, "3", Rejection{Reason: "backlog"})
	rows := r.Table(second)
	g.Expect(rows).To(gomega.HaveLen(3))
	names := map[string]bool{}
	for _, row := range rows {
		names[row.Tenant] = true
		for _, name := range []string{row.Tenant, row.Service} {
			g.Expect(len(name)).To(gomega.BeNumerically("<=", maxNameBytes))
			g.Expect(utf8.ValidString(name)).To(gomega.BeTrue())
		}
	}
	g.Expect(names).To(gomega.HaveLen(3))
	found := r.Explain(second, long)
	g.Expect(found).To(gomega.HaveLen(1))
	g.Expect(len(found[0].Route)).To(gomega.BeNumerically("<=", maxNameBytes))
	g.Expect(ShortName(ShortName(long))).To(gomega.Equal(ShortName(long)))
	g.Expect(ShortName(strings.Repeat("x", maxNameBytes))).To(gomega.Equal(strings.Repeat("x", maxNameBytes)))
}

// Guards against a deleted tenant that stays in the table for good, that is dropped while its requests
// run, or whose counts are lost.
func TestDeletedTenantIsListedUntilItIsIdleForLong(t *testing.T) {
	g := gomega.NewWithT(t)
	r := New(0)
	run(r, 0, "1", "deleted")
	submit(r, 0, "2", "deleted")
	r.Rejected(second, "2", Rejection{Reason: "no-place"})
	g.Expect(rowOf(r, 2*idleRetention, "deleted").Running).To(gomega.Equal(1))
	r.Finished(2*idleRetention, "1", true)
	rows := r.Table(2*idleRetention + second)
	g.Expect(rows).To(gomega.HaveLen(1))
	g.Expect(rows[0].Others).To(gomega.BeTrue())
	g.Expect(rows[0].Answered).To(gomega.BeNumerically("==", 1))
	g.Expect(rows[0].Refused).To(gomega.HaveKeyWithValue("no-place", int64(1)))
	g.Expect(r.services["s"].byName).To(gomega.BeEmpty())
}

// Guards against events that come twice, in another order or for unknown requests and make the counts
// wrong.
func TestRepeatedAndUnknownEventsHaveNoEffect(t *testing.T) {
	g := gomega.NewWithT(t)
	r := New(0)
	r.Assigned(0, "unknown")
	r.Rejected(0, "unknown", Rejection{Reason: "backlog"})
	r.Finished(0, "unknown", true)
	g.Expect(r.Table(0)).To(gomega.BeEmpty())
	submit(r, 0, "1", "a")
	submit(r, 0, "1", "a")
	r.Assigned(0, "1")
	r.Assigned(0, "1")
	r.Rejected(0, "1", Rejection{Reason: "backlog"})
	g.Expect(rowOf(r, 0, "a").Running).To(gomega.Equal(1))
	g.Expect(rowOf(r, 0, "a").Queued).To(gomega.BeZero())
	r.Finished(0, "1", true)
	r.Finished(0, "1", true)
	r.Assigned(0, "1")
	submit(r, 0, "2", "a")
	r.Rejected(0, "2", Rejection{Reason: "backlog"})
	r.Rejected(0, "2", Rejection{Reason: "backlog"})
	r.Finished(0, "2", false)
	submit(r, 0, "3", "a")
	r.Finished(0, "3", false)
	row := rowOf(r, 0, "a")
	g.Expect([]int64{int64(row.Queued), int64(row.Running), row.Answered, row.Unanswered, row.Withdrawn, row.Refused["backlog"]}).To(gomega.Equal([]int64{0, 0, 1, 0, 1, 1}))
}

// Guards against counts that disagree with the requests in progress, and against figures that JSON can't
// express, after events in any order.
func TestCountsMatchTheRequestsInProgress(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		r := New(0)
		now := structs.Instant(0)
		submitted := map[string]bool{}
		for range 4000 {
			now += time.Duration(random.Int64N(int64(40 * time.Millisecond)))
			id, tenant := fmt.Sprint(random.IntN(400)), fmt.Sprint("tenant-", random.IntN(300))
			switch random.IntN(5) {
			case 0, 1:
				submit(r, now, id, tenant)
				submitted[id] = true
			case 2:
				r.Assigned(now, id)
			case 3:
				r.Rejected(now, id, Rejection{Reason: "backlog"})
			case 4:
				r.Finished(now, id, random.IntN(2) == 0)
			}
		}
		g := gomega.NewWithT(t)
		queued, running := 0, 0
		for _, request := range r.requests {
			if request.isAssigned {
				running++
			} else {
				queued++
			}
		}
		for _, row := range r.Table(now) {
			queued -= row.Queued
			running -= row.Running
			g.Expect(min(row.Queued, row.Running)).To(gomega.BeNumerically(">=", 0))
			g.Expect(row.Used).To(gomega.BeNumerically(">=", 0))
		}
		g.Expect([]int{queued, running}).To(gomega.Equal([]int{0, 0}), "seed %d", seed)
		_, err := json.Marshal(r.Table(now))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for id := range submitted {
			_, err := json.Marshal(r.Explain(now, id))
			g.Expect(err).NotTo(gomega.HaveOccurred())
		}
	}
}

// Guards against an explanation that lacks a figure that decided, that is found under one name only, or
// that is kept without bound.
func TestRejectionIsExplainedByContentAndRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	r := New(0)
	content := fingerprint.Of("a", "GET", "h", "/x", nil)
	run(r, 0, "other", "b")
	run(r, 0, "own", "a")
	r.Submitted(4*second, Submission{ID: "1", Node: "n", Service: "s", Route: "route", Tenant: "a", Weight: 3, Fingerprint: content, RequestID: "caller-1"})
	r.Rejected(5*second, "1", Rejection{Reason: "backlog", QueuedAhead: 7, FreeSlots: 1, ExpectedWait: 300 * time.Millisecond, Waited: second, RetryAfter: 2 * second})
	r.Submitted(6*second, Submission{ID: "2", Node: "n", Service: "s", Route: "route", Tenant: "a", Fingerprint: content, RequestID: "caller-2"})
	r.Rejected(6*second, "2", Rejection{Reason: "quota", RetryAfter: second, QuotaRate: 10, Cost: 25})
	first := Explanation{
		AgoMS: 2000, Request: "caller-1", Content: content, Service: "s", Route: "route", Tenant: "a", Reason: "backlog", QueuedAhead: 7, FreeSlots: 1,
		ExpectedMS: 300, WaitedMS: 1000, RetryAfterMS: 2000, Weight: 3, Share: 0.75, Used: 5, UsedShare: 0.5,
	}
	g.Expect(r.Explain(7*second, "caller-1")).To(gomega.Equal([]Explanation{first}))
	both := r.Explain(7*second, content.String())
	g.Expect(both).To(gomega.HaveLen(2))
	g.Expect(both[1]).To(gomega.Equal(first))
	g.Expect([]float64{both[0].QuotaRate, both[0].Cost}).To(gomega.Equal([]float64{10, 25}))
	for i := range maxExplanations {
		id := fmt.Sprint("later-", i)
		r.Submitted(8*second, Submission{ID: id, Node: "n", Service: "s", Tenant: "a", RequestID: id})
		r.Rejected(8*second, id, Rejection{Reason: "backlog"})
	}
	g.Expect(r.Explain(9*second, content.String())).To(gomega.BeEmpty())
	g.Expect(r.explanations.items).To(gomega.HaveLen(maxExplanations))
	g.Expect(r.Explain(9*second, "later-0")).To(gomega.HaveLen(1))
}

// Guards against requests without an ID or a fingerprint that are found by an empty name.
func TestRequestsWithoutNamesAreNotFound(t *testing.T) {
	g := gomega.NewWithT(t)
	r := New(0)
	submit(r, 0, "1", "a")
	r.Rejected(0, "1", Rejection{Reason: "backlog"})
	g.Expect(r.Explain(0, "")).To(gomega.BeEmpty())
	g.Expect(r.Explain(0, fingerprint.Fingerprint{}.String())).To(gomega.BeEmpty())
}
