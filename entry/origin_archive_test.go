package entry

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/outside"
	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/state/catalog"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/state/streamorigins"
)

// fakeOriginStore keeps batches by name. Its calls fail with the errors, in turn; nil is no failure. A write that fails with
// StoreUnknown is done nevertheless.
type fakeOriginStore struct {
	batches       map[string]streamorigins.Batch
	grants, reads int
	writeErrors   []error
	delay         time.Duration
}

func (s *fakeOriginStore) GrantLease(context.Context, time.Duration) (outside.LeaseID, error) {
	s.grants++
	return outside.LeaseID(s.grants), nil
}

func (s *fakeOriginStore) WriteStreamOrigins(_ context.Context, name string, batch streamorigins.Batch, lease outside.LeaseID) error {
	if lease == 0 {
		return errors.New("no lease")
	}
	var err error
	if len(s.writeErrors) > 0 {
		err, s.writeErrors = s.writeErrors[0], s.writeErrors[1:]
	}
	if _, found := s.batches[name]; !found && (err == nil || errors.Is(err, errkind.StoreUnknown)) {
		s.batches[name] = batch
	}
	return err
}

func (s *fakeOriginStore) ReadStreamOrigins(ctx context.Context) ([]streamorigins.Batch, error) {
	s.reads++
	select {
	case <-time.After(s.delay):
	case <-ctx.Done():
	}
	var batches []streamorigins.Batch
	for _, batch := range s.batches {
		batches = append(batches, batch)
	}
	return batches, nil
}

func newOriginStore(batches ...streamorigins.Batch) *fakeOriginStore {
	store := &fakeOriginStore{batches: map[string]streamorigins.Batch{}}
	for i, batch := range batches {
		store.batches[fmt.Sprint(i)] = batch
	}
	return store
}

// newArchivingNode returns the scheduling node, with replicas of the versions.
func newArchivingNode(store outside.StreamOriginStore, versions ...string) *Node {
	n := New(&Settings{Name: "n"}, Dependencies{StreamOrigins: store, Now: startedAgo(time.Minute)})
	n.scheduler = "n"
	var all []replicas.Replica
	for _, version := range versions {
		all = append(all, engine("at-"+version, version))
	}
	n.versionHistory.Update(n.now(), all)
	return n
}

// startedAgo returns a clock by which a process that starts now has run for the time.
func startedAgo(age time.Duration) func() time.Duration {
	start, isFirst := time.Now(), true
	return func() time.Duration {
		if isFirst {
			isFirst = false
			return 0
		}
		return age + time.Since(start)
	}
}

func originRecord(id, version string) streamorigins.Record {
	return streamorigins.Record{Key: streamorigins.KeyOf("", id), Origin: streamorigins.Origin{Service: "engines", Version: version}}
}

// Guards against origins that are written where one version serves, by other nodes than the scheduling one, or while they are
// uncertain.
func TestOriginsAreArchivedWhereSeveralVersionsServe(t *testing.T) {
	for name, testCase := range map[string]struct {
		versions   []string
		scheduler  string
		record     streamorigins.Record
		isArchived bool
	}{
		"two versions":       {[]string{"v1", "v2"}, "n", originRecord("a", "v1"), true},
		"one version":        {[]string{"v1"}, "n", originRecord("a", "v1"), false},
		"another node":       {[]string{"v1", "v2"}, "m", originRecord("a", "v1"), false},
		"an uncertain one":   {[]string{"v1", "v2"}, "n", originRecord("a", ""), false},
		"of another service": {[]string{"v1", "v2"}, "n", streamorigins.Record{Key: streamorigins.KeyOf("", "a"), Origin: streamorigins.Origin{Service: "s", Version: "v1"}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			n := newArchivingNode(newOriginStore(), testCase.versions...)
			n.scheduler = testCase.scheduler
			_, err := n.serveStreamOrigins(t.Context(), &streamOriginsReport{Records: []streamorigins.Record{testCase.record}})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(len(n.originArchive.backlog) > 0).To(gomega.Equal(testCase.isArchived))
		})
	}
}

// Guards against batches that are lost as a write fails or its outcome is unknown, against two with one name, and against a
// backlog without a bound.
func TestBatchesOfOriginsAreWrittenOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	store := newOriginStore()
	store.writeErrors = []error{errkind.New(errkind.StoreUnavailable, "down"), errkind.New(errkind.StoreUnknown, "lost"), nil}
	n := newArchivingNode(store, "v1", "v2")
	writer := originWriter{node: n}
	n.archiveOriginLocked(originRecord("a", "v1"))
	writer.writeNext() // nothing is written
	n.archiveOriginLocked(originRecord("b", "v2"))
	writer.writeNext() // the answer is lost
	writer.writeNext()
	g.Expect(store.batches).To(gomega.HaveLen(1))
	g.Expect(store.grants).To(gomega.Equal(2), "the first lease may be over")
	writer.writeNext()
	writer.writeNext()
	g.Expect(store.batches).To(gomega.HaveLen(2))
	other := newArchivingNode(store, "v1", "v2")
	other.readOriginArchive(t.Context())
	for id, version := range map[string]string{"a": "v1", "b": "v2"} {
		origin, _ := other.knownOrigin(streamorigins.KeyOf("", id))
		g.Expect(origin.Version).To(gomega.Equal(version))
	}
	n.isStoreDown = true
	for i := range maxArchiveBacklog + 1 {
		n.archiveOriginLocked(originRecord(fmt.Sprint(i), "v1"))
	}
	writer.writeNext()
	g.Expect(n.originArchive.backlog).To(gomega.HaveLen(maxArchiveBacklog))
	g.Expect(n.originArchive.dropped).To(gomega.Equal(int64(1)))
	g.Expect(store.batches).To(gomega.HaveLen(2))
}

// Guards against a wrong origin from the store: of an ID that was used for two streams, from an old copy, or of a batch that no node
// has written.
func TestArchivedOriginsAreTrueOrMissing(t *testing.T) {
	now := time.Now().UnixMilli()
	batch := func(age time.Duration, records ...streamorigins.Record) streamorigins.Batch {
		return streamorigins.BatchOf(now-age.Milliseconds(), records)
	}
	odd := batch(0, originRecord("a", "v1"))
	odd.Origins[0].Keys = odd.Origins[0].Keys[1:]
	for name, testCase := range map[string]struct {
		batches []streamorigins.Batch
		found   streamorigins.Knowledge
	}{
		"one record":              {[]streamorigins.Batch{batch(0, originRecord("a", "v1"))}, streamorigins.Known},
		"it is there twice":       {[]streamorigins.Batch{batch(time.Second, originRecord("a", "v1")), batch(0, originRecord("a", "v1"))}, streamorigins.Known},
		"two streams have the ID": {[]streamorigins.Batch{batch(time.Second, originRecord("a", "v1")), batch(0, originRecord("a", "v2"))}, streamorigins.Ambiguous},
		"of another stream":       {[]streamorigins.Batch{batch(0, originRecord("b", "v1"))}, streamorigins.Unknown},
		"from an old copy":        {[]streamorigins.Batch{batch(maxArchiveAge+time.Second, originRecord("a", "v1"))}, streamorigins.Unknown},
		"from the future":         {[]streamorigins.Batch{batch(-maxArchiveAge-time.Second, originRecord("a", "v1"))}, streamorigins.Unknown},
		"keys are cut":            {[]streamorigins.Batch{odd}, streamorigins.Unknown},
		"no version":              {[]streamorigins.Batch{{WrittenAt: now, Origins: []streamorigins.OriginBatch{{Service: "engines", Keys: make([]byte, 16)}}}}, streamorigins.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			n := newArchivingNode(newOriginStore(testCase.batches...), "v1", "v2")
			c := &call{node: n, ctx: t.Context(), route: &catalog.Route{Backends: []catalog.WeightedService{{Service: "engines"}}}}
			found := c.findOrigin(originSearch{key: streamorigins.KeyOf("", "a")})
			gomega.NewWithT(t).Expect(found.Knowledge).To(gomega.Equal(testCase.found))
		})
	}
}

// Guards against a read for each stream that is resumed, and against resumed streams that do not wait for the one under way.
func TestOneReadOfTheArchiveServesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		store := newOriginStore(streamorigins.BatchOf(time.Now().UnixMilli(), []streamorigins.Record{originRecord("a", "v1")}))
		store.delay = 100 * time.Millisecond
		n := newArchivingNode(store, "v1", "v2")
		find := func(id string) streamorigins.Knowledge {
			c := &call{node: n, ctx: t.Context(), route: &catalog.Route{Backends: []catalog.WeightedService{{Service: "engines"}}}}
			return c.findArchivedOrigin(streamorigins.KeyOf("", id)).Knowledge
		}
		found := make(chan streamorigins.Knowledge, 10)
		for range cap(found) {
			go func() { found <- find("a") }()
		}
		for range cap(found) {
			g.Expect(<-found).To(gomega.Equal(streamorigins.Known))
		}
		g.Expect(store.reads).To(gomega.Equal(1))
		for range 600 {
			g.Expect(find("b")).To(gomega.Equal(streamorigins.Unknown))
			time.Sleep(100 * time.Millisecond)
		}
		g.Expect(store.reads).To(gomega.BeNumerically("<=", 8), "in a minute in which they bring nothing new")
	})
}

// Guards against a stream that goes on at a replica that is only assumed to be the listed one, although it may have been replaced
// while no node ran, also at a node that hears of the origin from another one; and against streams that are refused because a
// single node started.
func TestNothingIsAssumedAfterATimeWithoutNodes(t *testing.T) {
	for name, testCase := range map[string]struct {
		attended  time.Duration
		isAssumed bool
	}{
		"all started":                      {700 * time.Millisecond, false},
		"a peer of the release before":     {0, false},
		"a peer has run for a moment more": {3 * time.Second, false},
		"peers have run for long":          {time.Minute, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			now := time.Minute
			store := newOriginStore(streamorigins.BatchOf(time.Now().UnixMilli(), []streamorigins.Record{originRecord("a", "v1")}))
			n := New(&Settings{Name: "n"}, Dependencies{StreamOrigins: store, Now: func() time.Duration { return now }})
			n.versionHistory.Update(n.now(), []replicas.Replica{engine("first", "v1"), engine("second", "v2")})
			n.readOriginArchive(t.Context())
			g.Expect(store.reads).To(gomega.BeZero(), "it has not heard of its peers yet")
			now += time.Second
			n.identities.ObserveView(n.now())
			n.recordFreshness(n.now(), liveness.Heartbeat{Name: "m", ReplicasAgeMS: -1, ConfigurationAgeMS: -1, AttendedMS: testCase.attended.Milliseconds()})
			g.Expect(n.identities.isChurning(n.now(), "engines")).To(gomega.BeFalse())
			n.readOriginArchive(t.Context())
			g.Expect(n.identities.isChurning(n.now(), "engines")).To(gomega.Equal(!testCase.isAssumed))
			answer, err := n.serveStreamOrigin(t.Context(), &streamOriginQuestion{Key: streamorigins.KeyOf("", "a")})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(answer.WasUnattended).To(gomega.Equal(!testCase.isAssumed))
			for end := now + 8*time.Second; now < end; now += time.Second {
				n.identities.ObserveView(n.now())
			}
			g.Expect(n.identities.isChurning(n.now(), "engines")).To(gomega.BeFalse(), "views cover the start")
		})
	}
}
