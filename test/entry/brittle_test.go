package entry

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/entrylab"
	"github.com/thornwalk/thornwalk/lab/memnet"
	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// Times and sizes of the tests of brittle replicas.
const (
	brittleReplicas = 3
	brittleSlots    = 4
	brittleStep     = 100 * time.Millisecond
	// brittleTime is how long replicas say that they are brittle, and shrinkTime how long after the first
	// time they let fewer requests wait.
	brittleTime = 20 * time.Second
	shrinkTime  = 3 * time.Second
	// maxRejections is how many requests a brittle replica may reject in a second.
	maxRejections = 3
	// Waiting requests that a replica accepts before and after shrinkTime.
	wideRoom, narrowRoom = 4, 1
)

// maxCrashes is how often brittle replicas may crash.
const maxCrashes = 2 + brittleReplicas/10

// brittleScenario is seven nodes in three zones and a service of brittle replicas.
type brittleScenario struct {
	*scenario
	nodes      []string
	restarters []*entrylab.Restarter
}

// brittleRun is the outcome of runBrittle.
type brittleRun struct{ sent, served, crashes int }

// runBrittle sends requests at the rate while the replicas are brittle and disturb runs, and calls check. The
// replicas have missingSlots fewer slots than their entries say.
func runBrittle(t *testing.T, rate, missingSlots int, disturb func(s *brittleScenario), check func(s *brittleScenario, run brittleRun)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &brittleScenario{scenario: &scenario{WithT: gomega.NewWithT(t), fabric: memnet.New()}, nodes: []string{"n1", "n2", "n3", "n4", "n5", "n6", "n7"}}
		s.start(s.nodes, threeZones, nil)
		s.configure(func(c *entrylab.Configuration) {
			c.Routes = []entrylab.Route{{Name: "safe", Host: "service.example", PathPrefix: "/safe/", Kind: "safe", Timeout: 4000, Target: 1000, Service: "pool", Attempts: 2}}
			c.Services = append(c.Services, entrylab.Service{Name: "pool"})
		})
		for i := range brittleReplicas {
			host := fmt.Sprint("x", i)
			restarter := &entrylab.Restarter{ID: "i-" + host, Service: "pool", Zone: threeZones[i%len(threeZones)], Slots: brittleSlots, Step: brittleStep}
			s.Expect(s.deployment.Keep(host, restarter)).To(gomega.Succeed())
			s.restarters = append(s.restarters, restarter)
		}
		s.awaitReady()
		defer s.stop(s.nodes)
		s.send(rate, 2*time.Second)
		s.setBrittleness(brittleSlots - missingSlots + wideRoom)
		time.AfterFunc(shrinkTime, func() { s.setBrittleness(brittleSlots - missingSlots + narrowRoom) })
		var group sync.WaitGroup
		if disturb != nil {
			group.Go(func() { time.Sleep(shrinkTime); disturb(s) })
		}
		run := s.send(rate, brittleTime)
		group.Wait()
		for _, restarter := range s.restarters {
			run.crashes += len(restarter.Ends())
		}
		check(s, run)
	})
}

// setBrittleness makes all replicas brittle with room for that many requests.
func (s *brittleScenario) setBrittleness(room int) {
	for _, restarter := range s.restarters {
		restarter.SetBrittleness(&platformsim.Brittleness{MaxRejections: maxRejections, Room: room})
	}
}

// send sends requests to all nodes in turn.
func (s *brittleScenario) send(rate int, duration time.Duration) (run brittleRun) {
	var group sync.WaitGroup
	var mutex sync.Mutex
	interval := time.Second / time.Duration(rate)
	for i := range int(duration / interval) {
		node := s.nodes[i%len(s.nodes)]
		group.Go(func() {
			got := s.do(node, http.MethodGet, "/safe/", nil)
			mutex.Lock()
			defer mutex.Unlock()
			run.sent++
			if got.status == http.StatusOK {
				run.served++
			}
		})
		time.Sleep(interval)
	}
	group.Wait()
	return run
}

// disturbSchedulers kills, suspends and partitions nodes for the rest of brittleTime, most often the
// scheduling node, drawn with the seed.
func disturbSchedulers(seed uint64) func(s *brittleScenario) {
	return func(s *brittleScenario) {
		random := rand.New(rand.NewPCG(seed, 2))
		for end := time.Now().Add(brittleTime - shrinkTime - 2*time.Second); time.Now().Before(end); {
			time.Sleep(time.Duration(200+random.IntN(1500)) * time.Millisecond)
			host := s.nodes[random.IntN(len(s.nodes))]
			if random.IntN(2) == 0 {
				host = s.scheduler()
			}
			switch random.IntN(3) {
			case 0:
				s.deployment.Node(host).Kill()
				s.Expect(s.deployment.StartNode(host, threeZones[indexOf(s.nodes, host)%len(threeZones)])).To(gomega.Succeed())
			case 1:
				s.fabric.Pause(host)
				time.Sleep(time.Duration(200+random.IntN(2000)) * time.Millisecond)
				s.fabric.Resume(host)
			default:
				random.Shuffle(len(s.nodes), func(i, j int) { s.nodes[i], s.nodes[j] = s.nodes[j], s.nodes[i] })
				at := 1 + random.IntN(len(s.nodes)-1)
				s.fabric.Partition(s.nodes[:at], s.nodes[at:])
				time.Sleep(time.Duration(200+random.IntN(2000)) * time.Millisecond)
				s.fabric.Heal()
			}
		}
	}
}

// Guards against brittle replicas that crash because the nodes together send more than they have room for,
// while schedulers change, on drawn courses.
func TestBrittleReplicasStayUpOnDisturbedCourses(t *testing.T) {
	for _, missing := range []int{0, 2} {
		for seed := *firstCourse; seed < *firstCourse+uint64(*courseCount); seed++ {
			t.Run(fmt.Sprintf("%d slots missing, seed %d", missing, seed), func(t *testing.T) {
				t.Parallel()
				runBrittle(t, 60, missing, disturbSchedulers(seed), func(s *brittleScenario, run brittleRun) {
					t.Logf("served %d of %d, %d crashes", run.served, run.sent, run.crashes)
					s.Expect(run.crashes).To(gomega.BeNumerically("<=", maxCrashes))
				})
			})
		}
	}
}

// Guards against rejections by brittle replicas, and against unused room, at loads up to their capacity
// and above it, without disturbances.
func TestBrittleReplicasServeTheirCapacity(t *testing.T) {
	for _, load := range []float64{0.5, 0.8, 1.5} {
		for _, missing := range []int{0, 2} {
			capacity := brittleReplicas * (brittleSlots - missing) * int(time.Second/brittleStep)
			t.Run(fmt.Sprintf("load %v, %d slots missing", load, missing), func(t *testing.T) {
				t.Parallel()
				runBrittle(t, int(load*float64(capacity)), missing, nil, func(s *brittleScenario, run brittleRun) {
					t.Logf("served %d of %d, %d crashes", run.served, run.sent, run.crashes)
					s.Expect(run.crashes).To(gomega.BeNumerically("<=", maxCrashes))
					s.Expect(float64(run.served)).To(gomega.BeNumerically(">=", 0.6*min(float64(run.sent), float64(capacity)*brittleTime.Seconds())))
				})
			})
		}
	}
}
