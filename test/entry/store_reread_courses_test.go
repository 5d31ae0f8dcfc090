package entry

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/memnet"
	"github.com/thornwalk/thornwalk/lab/platformsim"
	"github.com/thornwalk/thornwalk/state/replicas"
)

// These tests check the complete read at the end of the restore window on drawn courses of store
// changes, restores and slow answers. A longer run is
//
//	go test ./test/entry -run RestoreCourses -courses 200 -first-course 1000

// Bounds of what a restore course draws.
const (
	maxRestores        = 3
	maxRestoreGap      = 5 * time.Second
	maxStoreDelay      = 400 * time.Millisecond
	maxSlowTime        = 2 * time.Second
	maxChangeInterval  = 400 * time.Millisecond
	maxLostEntryAge    = 5 * time.Second
	maxRestoreOutage   = 3 * time.Second
	configureOneIn     = 20
	manyStoreEntries   = 600 // a complete read then takes two calls
	changesAfterWindow = 10 * time.Second
)

const (
	// relistTime bounds the time from a restore until nodes use a replica that it lists: the
	// restore window, the interval of the check that ends it, and a read of a slow store.
	relistTime = restoreWindow + 3*time.Second
	// configurationTime bounds the time until all nodes have a new configuration.
	configurationTime = 2 * time.Second
	// observedTime exceeds the interval of complete reads of a watched store.
	observedTime = 75 * time.Second
)

// restoreCourse is a course of store changes, restores and slow answers.
type restoreCourse struct {
	*scenario
	random  *rand.Rand
	hosts   []string
	fillers []*platformsim.Replica
	// lost are the replicas whose entries are in the backup but were deleted before the restore.
	lost []*platformsim.Replica
	// restoredAt is the time of the last restore.
	restoredAt time.Time
	changes    sync.WaitGroup
}

func (s *restoreCourse) between(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(s.random.Int64N(int64(longest-shortest)))
}

// runRestoreCourse runs the course of the seed and checks what nodes and callers see after it.
func runRestoreCourse(t *testing.T, seed uint64, nodes int, hasManyEntries bool) {
	synctest.Test(t, func(t *testing.T) {
		s := &restoreCourse{scenario: &scenario{WithT: gomega.NewWithT(t), fabric: memnet.New()}, random: rand.New(rand.NewPCG(seed, uint64(nodes)))}
		for i := range nodes {
			s.hosts = append(s.hosts, fmt.Sprint("n", i+1))
		}
		s.start(s.hosts, []string{"east", "west"}, nil)
		defer s.stop(s.hosts)
		for i := range 5 {
			s.fillers = append(s.fillers, s.addReplica(fmt.Sprint("filler", i), "fillers", 0, time.Millisecond))
		}
		if hasManyEntries {
			for i := range manyStoreEntries {
				s.deployment.Store.Put(fmt.Sprint("other/", i), []byte("x"))
			}
		}
		s.awaitReady()
		s.play()
		s.check(t)
	})
}

// play plays the course up to the last restore. Changes of the store go on after it.
func (s *restoreCourse) play() {
	time.Sleep(s.between(time.Second, 2*time.Second))
	backup := s.deployment.Store.Backup()
	s.lost = s.plainReplicas[:1+s.random.IntN(2)]
	restores := 1 + s.random.IntN(maxRestores)
	stopped := make(chan struct{})
	random, longest := rand.New(rand.NewPCG(s.random.Uint64(), 0)), s.between(5*time.Millisecond, maxChangeInterval)
	s.changes.Go(func() { s.changeStore(random, longest, stopped) })
	for _, replica := range s.lost {
		s.deployment.Store.Delete("servers/" + replica.ID)
	}
	time.Sleep(s.between(time.Second, maxLostEntryAge))
	for i := range restores {
		if i > 0 {
			time.Sleep(s.between(100*time.Millisecond, maxRestoreGap))
		}
		if s.random.IntN(2) == 0 {
			s.deployment.Store.SetDown(true)
			time.Sleep(s.between(100*time.Millisecond, maxRestoreOutage))
			s.deployment.Store.SetDown(false)
		}
		s.deployment.Store.Restore(backup)
		s.restoredAt = time.Now()
	}
	time.AfterFunc(restoreWindow+changesAfterWindow, func() { close(stopped) })
	if s.random.IntN(2) == 0 {
		slowAfter, slowTime, delay := s.between(time.Millisecond, restoreWindow), s.between(100*time.Millisecond, maxSlowTime), s.between(10*time.Millisecond, maxStoreDelay)
		time.AfterFunc(slowAfter, func() { s.deployment.Store.SetDelay(delay) })
		time.AfterFunc(slowAfter+slowTime, func() { s.deployment.Store.SetDelay(0) })
	}
}

// changeStore writes entries of the fillers again, and at times the configuration, until stopped.
func (s *restoreCourse) changeStore(random *rand.Rand, longest time.Duration, stopped <-chan struct{}) {
	for {
		select {
		case <-stopped:
			return
		case <-time.After(time.Duration(random.Int64N(int64(longest)))):
		}
		s.fillers[random.IntN(len(s.fillers))].Register(s.deployment.Store, "ready")
		if random.IntN(configureOneIn) == 0 {
			s.configure(nil)
		}
	}
}

// lacking returns the nodes that lack a lost replica.
func (s *restoreCourse) lacking() []string {
	return slices.DeleteFunc(slices.Clone(s.hosts), func(host string) bool {
		known := s.deployment.Node(host).Status().Replicas
		for _, lost := range s.lost {
			if !slices.ContainsFunc(known, func(r replicas.Replica) bool { return r.ID == lost.ID }) {
				return false
			}
		}
		return true
	})
}

// check checks that all nodes use the lost replicas and have a new configuration in time.
func (s *restoreCourse) check(t *testing.T) {
	time.Sleep(time.Until(s.restoredAt.Add(relistTime)))
	lacking, scheduler := s.lacking(), s.scheduler()
	before := arrivalCount(s.lost)
	statuses := map[int]int{}
	done := make(chan reply, 30)
	for i := range cap(done) {
		go func() { done <- s.do(s.hosts[i%len(s.hosts)], http.MethodGet, "/safe/", nil) }()
		time.Sleep(4 * time.Millisecond)
	}
	for range cap(done) {
		statuses[(<-done).status]++
	}
	arrivals := arrivalCount(s.lost) - before
	if len(lacking) > 0 {
		for len(s.lacking()) > 0 && time.Since(s.restoredAt) < observedTime {
			time.Sleep(50 * time.Millisecond)
		}
		t.Errorf("nodes %v (scheduler %s) lack %d listed replicas %v after the restore, %v at %v; of 30 requests %d arrived at them, statuses %v",
			lacking, scheduler, len(s.lost), relistTime, s.lacking(), time.Since(s.restoredAt), arrivals, statuses)
	}
	if arrivals == 0 || statuses[http.StatusOK] < cap(done) {
		t.Errorf("of 30 requests %d arrived at %d listed replicas %v after the restore, statuses %v", arrivals, len(s.lost), relistTime, statuses)
	}
	s.changes.Wait()
	s.configure(nil)
	time.Sleep(configurationTime)
	for _, host := range s.hosts {
		if version := s.deployment.Node(host).Status().Version; version != s.version {
			t.Errorf("node %s has configuration %d %v after %d was written", host, version, configurationTime, s.version)
		}
	}
}

// runRestoreCourses runs the courses that the flags ask for, with few and many entries in the store.
func runRestoreCourses(t *testing.T, nodes int) {
	for _, hasManyEntries := range []bool{false, true} {
		for i := range *courseCount {
			seed := *firstCourse + uint64(i)
			t.Run(fmt.Sprintf("many entries %t, seed %d", hasManyEntries, seed), func(t *testing.T) {
				runRestoreCourse(t, seed, nodes, hasManyEntries)
			})
		}
	}
}

// Guards against replicas that nodes do not use although a restored store lists them, because a
// complete read did not follow the restore window. All three nodes watch the store.
func TestListedReplicasAreUsedOnRestoreCourses(t *testing.T) { runRestoreCourses(t, 3) }

// Guards against listed replicas that do not reach the nodes that pull updates instead of watching the
// store: two of the five.
func TestListedReplicasReachAllNodesOnRestoreCourses(t *testing.T) { runRestoreCourses(t, 5) }
