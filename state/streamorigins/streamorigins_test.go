package streamorigins

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/state/replicas"
)

var (
	firstOrigin  = Origin{Service: "engines", Version: "v1"}
	secondOrigin = Origin{Service: "engines", Version: "v2"}
)

// Guards against an origin that changes by a later record.
func TestOriginNeverChanges(t *testing.T) {
	g := gomega.NewWithT(t)
	registry := NewRegistry(10)
	key := KeyOf("tenant", "r1")
	g.Expect(registry.Put(0, Record{Key: key, Origin: firstOrigin})).To(gomega.BeTrue())
	g.Expect(registry.Put(0, Record{Key: key, Origin: firstOrigin})).To(gomega.BeFalse())
	origin, knowledge := registry.Get(0, key)
	g.Expect(origin).To(gomega.Equal(firstOrigin))
	g.Expect(knowledge).To(gomega.Equal(Known))
	for range 2 {
		registry.Put(0, Record{Key: key, Origin: secondOrigin})
		_, knowledge = registry.Get(0, key)
		g.Expect(knowledge).To(gomega.Equal(Ambiguous))
	}
	registry.Put(0, Record{Key: key, Origin: firstOrigin})
	_, knowledge = registry.Get(0, key)
	g.Expect(knowledge).To(gomega.Equal(Ambiguous))
}

// Guards against a stream that can't be resumed although its version became certain, and against an uncertain record, which
// may arrive late, that takes the place of a certain one.
func TestCertainVersionTakesThePlaceOfAnUncertainOne(t *testing.T) {
	uncertain := Origin{Service: firstOrigin.Service}
	for name, testCase := range map[string]struct {
		records   []Origin
		origin    Origin
		knowledge Knowledge
	}{
		"uncertain":                 {[]Origin{uncertain, uncertain}, uncertain, Known},
		"became certain":            {[]Origin{uncertain, firstOrigin, firstOrigin}, firstOrigin, Known},
		"the uncertain one is late": {[]Origin{firstOrigin, uncertain}, firstOrigin, Known},
		"two versions":              {[]Origin{uncertain, firstOrigin, secondOrigin}, Origin{}, Ambiguous},
		"two versions before":       {[]Origin{firstOrigin, secondOrigin, uncertain}, Origin{}, Ambiguous},
		"another service":           {[]Origin{{Service: "others"}, firstOrigin}, Origin{}, Ambiguous},
		"another uncertain service": {[]Origin{firstOrigin, {Service: "others"}}, Origin{}, Ambiguous},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			registry := NewRegistry(10)
			for _, origin := range testCase.records {
				registry.Put(0, Record{Key: KeyOf("tenant", "r1"), Origin: origin})
			}
			origin, knowledge := registry.Get(0, KeyOf("tenant", "r1"))
			g.Expect(origin).To(gomega.Equal(testCase.origin))
			g.Expect(knowledge).To(gomega.Equal(testCase.knowledge))
		})
	}
}

// Guards against names by which one tenant reaches another's stream.
func TestStreamIsKnownToItsTenantOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	registry := NewRegistry(10)
	registry.Put(0, Record{Key: KeyOf("tenant", "r1"), Origin: firstOrigin})
	for _, key := range []Key{KeyOf("other", "r1"), KeyOf("", "r1"), KeyOf("tenant", "r2"), KeyOf("tenantr", "1")} {
		_, knowledge := registry.Get(0, key)
		g.Expect(knowledge).To(gomega.Equal(Unknown))
	}
}

// Guards against a registry that grows without bound, or that drops streams which go on.
func TestOriginsAreKeptForAWhileOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	registry := NewRegistry(3)
	for i := range 5 {
		registry.Put(time.Duration(i), Record{Key: KeyOf("", fmt.Sprint(i)), Origin: firstOrigin})
		registry.Put(time.Duration(i), Record{Key: KeyOf("", "long"), Origin: firstOrigin})
	}
	g.Expect(registry.Count()).To(gomega.Equal(3))
	g.Expect(registry.Dropped()).To(gomega.Equal(int64(3)))
	_, knowledge := registry.Get(5, KeyOf("", "long"))
	g.Expect(knowledge).To(gomega.Equal(Known))
	registry.Put(Retention, Record{Key: KeyOf("", "long"), Origin: firstOrigin})
	_, knowledge = registry.Get(Retention+10, KeyOf("", "4"))
	g.Expect(knowledge).To(gomega.Equal(Unknown))
	_, knowledge = registry.Get(Retention+10, KeyOf("", "long"))
	g.Expect(knowledge).To(gomega.Equal(Known))
}

const window = 10 * time.Second

func replicasOf(versions ...string) []replicas.Replica {
	var all []replicas.Replica
	for i, version := range versions {
		all = append(all, replicas.Replica{ID: fmt.Sprint("r", i), Service: "engines", Version: version})
	}
	return all
}

// restarted returns the replicas with another incarnation of the first one.
func restarted(all []replicas.Replica) []replicas.Replica {
	all[0].StartedAt++
	return all
}

// confirmUntil confirms the view of the replicas each second.
func confirmUntil(history *VersionHistory, from, to time.Duration) {
	for at := from; at <= to; at += time.Second {
		history.Confirm(at, time.Second)
	}
}

// missViews confirms the view each second up to the twentieth one, as an old one in the times that are given by their
// begin and end.
func missViews(history *VersionHistory, times ...[2]time.Duration) {
	for at := time.Duration(0); at <= 20*time.Second; at += time.Second {
		age := time.Second
		if slices.ContainsFunc(times, func(missed [2]time.Duration) bool { return missed[0] <= at && at < missed[1] }) {
			age = maxViewAge + time.Second
		}
		history.Confirm(at, age)
	}
}

// Guards against a version that is taken for the only one although a stream may have begun at another.
func TestOnlyVersionOfAService(t *testing.T) {
	for name, testCase := range map[string]struct {
		course func(history *VersionHistory)
		isOnly bool
	}{
		"one version all the time": {func(h *VersionHistory) { confirmUntil(h, 0, 20*time.Second) }, true},
		"a new process":            {func(h *VersionHistory) { confirmUntil(h, 15*time.Second, 20*time.Second) }, false},
		"another version is there": {func(h *VersionHistory) {
			confirmUntil(h, 0, 20*time.Second)
			h.Update(20*time.Second, replicasOf("v1", "v2"))
		}, false},
		"another version went in the window": {func(h *VersionHistory) {
			h.Update(0, replicasOf("v1", "v2"))
			confirmUntil(h, 0, 20*time.Second)
			h.Update(11*time.Second, replicasOf("v1"))
		}, false},
		"another version went before the window": {func(h *VersionHistory) {
			h.Update(0, replicasOf("v1", "v2"))
			h.Update(9*time.Second, replicasOf("v1"))
			confirmUntil(h, 0, 20*time.Second)
		}, true},
		"the view was old": {func(h *VersionHistory) {
			confirmUntil(h, 0, 12*time.Second)
			h.Confirm(13*time.Second, 5*time.Second)
			confirmUntil(h, 14*time.Second, 20*time.Second)
		}, false},
		"the view is old": {func(h *VersionHistory) {
			confirmUntil(h, 0, 19*time.Second)
			h.Confirm(20*time.Second, 5*time.Second)
		}, false},
		"the process was suspended": {func(h *VersionHistory) {
			confirmUntil(h, 0, 12*time.Second)
			confirmUntil(h, 18*time.Second, 20*time.Second)
		}, false},
		"the store was restored": {func(h *VersionHistory) {
			confirmUntil(h, 0, 18*time.Second)
			h.Restart()
			h.Confirm(20*time.Second, 0)
		}, false},
		"a replica is doubted": {func(h *VersionHistory) {
			confirmUntil(h, 0, 20*time.Second)
			h.SetDoubted("engines", true)
		}, false},
		"a doubt ended": {func(h *VersionHistory) {
			h.SetDoubted("engines", true)
			confirmUntil(h, 0, 20*time.Second)
			h.SetDoubted("engines", false)
		}, true},
		"a replica of another service is doubted": {func(h *VersionHistory) {
			confirmUntil(h, 0, 20*time.Second)
			h.SetDoubted("others", true)
		}, true},
		"a replica was replaced under its ID in the window": {func(h *VersionHistory) {
			confirmUntil(h, 0, 20*time.Second)
			h.Update(11*time.Second, restarted(replicasOf("v1", "v1")))
		}, false},
		"a replica was replaced after its entry was gone": {func(h *VersionHistory) {
			confirmUntil(h, 0, 20*time.Second)
			h.Update(5*time.Second, replicasOf("v1", "v1")[1:])
			h.Update(11*time.Second, restarted(replicasOf("v1", "v1")))
		}, false},
		"a replica was replaced under its ID before the window": {func(h *VersionHistory) {
			confirmUntil(h, 0, 20*time.Second)
			h.Update(9*time.Second, restarted(replicasOf("v1", "v1")))
		}, true},
		"no view": {func(h *VersionHistory) { h.Confirm(20*time.Second, -1) }, false},
		"the view was old while all replicas ran": {func(h *VersionHistory) {
			missViews(h, [2]time.Duration{13 * time.Second, 18 * time.Second})
			h.SetRan("engines", Span{Until: 19 * time.Second}, true)
		}, true},
		"the view is old while all replicas run": {func(h *VersionHistory) {
			missViews(h, [2]time.Duration{13 * time.Second, 21 * time.Second})
			h.SetRan("engines", Span{Until: 18 * time.Second}, true)
		}, true},
		"the view was old twice while all replicas ran": {func(h *VersionHistory) {
			missViews(h, [2]time.Duration{11 * time.Second, 14 * time.Second}, [2]time.Duration{16 * time.Second, 19 * time.Second})
			h.SetRan("engines", Span{Until: 19 * time.Second}, true)
		}, true},
		"a replica may have ended while the view was old": {func(h *VersionHistory) {
			missViews(h, [2]time.Duration{13 * time.Second, 18 * time.Second})
			h.SetRan("engines", Span{Until: 17 * time.Second}, true)
		}, false},
		"a replica may have ended while the view is old": {func(h *VersionHistory) {
			missViews(h, [2]time.Duration{13 * time.Second, 21 * time.Second})
			h.SetRan("engines", Span{Until: 16 * time.Second}, true)
		}, false},
		"a replica may have ended the second time that the view was old": {func(h *VersionHistory) {
			missViews(h, [2]time.Duration{11 * time.Second, 14 * time.Second}, [2]time.Duration{16 * time.Second, 19 * time.Second})
			h.SetRan("engines", Span{Until: 15 * time.Second}, true)
		}, false},
		"a replica without a start may have been replaced while the view was old": {func(h *VersionHistory) {
			missViews(h, [2]time.Duration{13 * time.Second, 18 * time.Second})
			h.SetRan("engines", Span{Since: 9*time.Second + 1, Until: 19 * time.Second}, true)
		}, false},
		"one process each ran from before the view was old": {func(h *VersionHistory) {
			missViews(h, [2]time.Duration{13 * time.Second, 18 * time.Second})
			h.SetRan("engines", Span{Since: 9 * time.Second, Until: 19 * time.Second}, true)
		}, true},
		"it is not known how long all replicas ran": {func(h *VersionHistory) {
			missViews(h, [2]time.Duration{13 * time.Second, 18 * time.Second})
			h.SetRan("engines", Span{Until: 0}, false)
		}, false},
		"a replica was gone after the view was old": {func(h *VersionHistory) {
			missViews(h, [2]time.Duration{13 * time.Second, 18 * time.Second})
			h.Update(18*time.Second, replicasOf("v1", "v1")[1:])
			h.SetRan("engines", Span{Until: 19 * time.Second}, true)
		}, false},
		"a replica was replaced under its ID after the view was old": {func(h *VersionHistory) {
			missViews(h, [2]time.Duration{13 * time.Second, 18 * time.Second})
			h.Update(18*time.Second, restarted(replicasOf("v1", "v1")))
			h.SetRan("engines", Span{Until: 19 * time.Second}, true)
		}, false},
		"another version came while the view was old": {func(h *VersionHistory) {
			missViews(h, [2]time.Duration{13 * time.Second, 18 * time.Second})
			h.Update(18*time.Second, replicasOf("v1", "v1", "v2"))
			h.SetRan("engines", Span{Until: 19 * time.Second}, true)
		}, false},
		"another node may have seen the store while the view was old": {func(h *VersionHistory) {
			confirmUntil(h, 0, 12*time.Second)
			h.Confirm(13*time.Second, 5*time.Second)
			h.MissPeers()
			confirmUntil(h, 14*time.Second, 20*time.Second)
			h.SetRan("engines", Span{Until: 20 * time.Second}, true)
		}, false},
		"another node saw the store while the view was current": {func(h *VersionHistory) {
			confirmUntil(h, 0, 20*time.Second)
			h.MissPeers()
		}, true},
		"the store was restored while the view was old": {func(h *VersionHistory) {
			missViews(h, [2]time.Duration{13 * time.Second, 18 * time.Second})
			h.Restart()
			h.Confirm(20*time.Second, 0)
			h.SetRan("engines", Span{Until: 20 * time.Second}, true)
		}, false},
		"the process was suspended while the view was old": {func(h *VersionHistory) {
			confirmUntil(h, 0, 12*time.Second)
			h.Confirm(13*time.Second, 5*time.Second)
			confirmUntil(h, 18*time.Second, 20*time.Second)
			h.SetRan("engines", Span{Until: 20 * time.Second}, true)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			history := NewVersionHistory()
			history.Update(0, replicasOf("v1", "v1"))
			testCase.course(history)
			version, isOnly := history.OnlyVersion(20*time.Second, "engines", window)
			g.Expect(isOnly).To(gomega.Equal(testCase.isOnly))
			if isOnly {
				g.Expect(version).To(gomega.Equal("v1"))
			}
			_, isOnly = history.OnlyVersion(20*time.Second, "others", window)
			g.Expect(isOnly).To(gomega.BeFalse())
		})
	}
}

// Guards against a caller that does not name the request that began its stream and is not told apart by what it requests,
// or gets the origin of another stream with the same content.
func TestOriginsAreKeptByContentToo(t *testing.T) {
	g := gomega.NewWithT(t)
	registry := NewRegistry(10)
	content := fingerprint.Of("tenant", "POST", "h", "/stream/", []byte("what was asked"))
	first, second := Record{Key: KeyOf("tenant", "r1"), Content: content, Origin: firstOrigin}, Record{Key: KeyOf("tenant", "r2"), Content: content, Origin: secondOrigin}
	g.Expect(registry.Put(0, first)).To(gomega.BeTrue())
	g.Expect(registry.GetByContent(0, content)).To(gomega.Equal(findingOf(firstOrigin)))
	registry.Put(0, second)
	g.Expect(registry.GetByContent(0, content).Knowledge).To(gomega.Equal(Ambiguous))
	for key, expected := range map[Key]Origin{first.Key: firstOrigin, second.Key: secondOrigin} {
		origin, knowledge := registry.Get(0, key)
		g.Expect(knowledge).To(gomega.Equal(Known))
		g.Expect(origin).To(gomega.Equal(expected))
	}
	_, knowledge := registry.Get(0, content)
	g.Expect(knowledge).To(gomega.Equal(Unknown), "a content is no name")
	registry.Put(Retention, second)
	g.Expect(registry.GetByContent(Retention+1, content)).To(gomega.Equal(findingOf(secondOrigin)))
	g.Expect(registry.GetByContent(3*Retention, content)).To(gomega.Equal(Finding{}))
	g.Expect(registry.byContent).To(gomega.BeEmpty())
}

// Guards against a stream of which nobody knows the version that goes on at that of another stream with the same content, for
// example the caller's try before, which began while no replica was doubted.
func TestUncertainStreamIsNotToldByAnotherWithItsContent(t *testing.T) {
	content := fingerprint.Of("tenant", "POST", "h", "/stream/", []byte("what was asked"))
	certain := Record{Key: KeyOf("tenant", "r1"), Content: content, Origin: firstOrigin}
	uncertain := Record{Key: KeyOf("tenant", "r2"), Content: content, Origin: Origin{Service: firstOrigin.Service}}
	for name, records := range map[string][]Record{
		"it began later":  {certain, uncertain},
		"it began before": {uncertain, certain},
	} {
		t.Run(name, func(t *testing.T) {
			registry := NewRegistry(10)
			for i, record := range records {
				registry.Put(time.Duration(i)*time.Second, record)
			}
			found := registry.GetByContent(2*time.Second, content)
			gomega.NewWithT(t).Expect(found.IsCertain()).To(gomega.BeFalse(), "%+v", found)
		})
	}
}

// Guards against a content that stays ambiguous for as long as it is requested at least once a minute, although the streams
// of the former version ended long ago: after each new version its streams would be refused until the requests pause.
func TestContentIsAmbiguousOnlyWhileStreamsOfBothVersionsAreKept(t *testing.T) {
	g := gomega.NewWithT(t)
	registry := NewRegistry(100)
	content := fingerprint.Of("tenant", "GET", "h", "/stream/", nil)
	begin := func(at time.Duration, origin Origin) {
		registry.Put(at, Record{Key: KeyOf("tenant", at.String()), Content: content, Origin: origin})
	}
	begin(0, firstOrigin)
	begin(time.Second, secondOrigin)
	g.Expect(registry.GetByContent(time.Second, content).Knowledge).To(gomega.Equal(Ambiguous))
	last := 3 * Retention
	for at := Retention / 2; at <= last; at += Retention / 2 {
		begin(at, secondOrigin)
	}
	found := registry.GetByContent(last, content)
	g.Expect(found.Knowledge).To(gomega.Equal(Known), "no stream of the first version was kept for %v", last-Retention)
	g.Expect(found.Origin).To(gomega.Equal(secondOrigin))
}
