package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/state/pushback"
	"github.com/thornwalk/thornwalk/structs"
)

// brittleModel is one brittle replica to which several schedulers assign requests. It rejects at once what
// it has no room for, and schedulers learn of answers after a delay.
type brittleModel struct {
	schedulers []*Scheduler
	// room is what the replica really accepts at a time, of slots that its entry states.
	room, slots int
	running     map[string]structs.Instant
	reports     []brittleReport
	rejectedAt  []structs.Instant
	served      int
	sequence    int
}

// brittleReport is an answer of which a scheduler learns at the time.
type brittleReport struct {
	at         structs.Instant
	scheduler  int
	id         string
	isRejected bool
}

// Parameters of the model.
const (
	modelLimit   = 3
	modelStep    = 5 * time.Millisecond
	modelRunTime = 100 * time.Millisecond
	maxReportLag = 40 * time.Millisecond
)

func newBrittleModel(schedulers, slots, room int) *brittleModel {
	m := &brittleModel{slots: slots, room: room, running: map[string]structs.Instant{}}
	for range schedulers {
		s := New()
		pool := coldPool(1, 0)
		pool[0].Slots = slots
		s.SetReplicas(0, pool)
		s.ApplyRejectionLimit(0, pushback.Report{Incarnation: pushback.IncarnationOf(pool[0]), Limit: newLimit(modelLimit)})
		m.schedulers = append(m.schedulers, s)
	}
	return m
}

// step ends runs, delivers reports and lets all schedulers decide, each after it got new requests.
func (m *brittleModel) step(now structs.Instant, random *rand.Rand, requests int) {
	for id, until := range m.running {
		if now >= until {
			delete(m.running, id)
			m.served++
		}
	}
	pending := m.reports[:0]
	for _, report := range m.reports {
		if now < report.at {
			pending = append(pending, report)
			continue
		}
		s := m.schedulers[report.scheduler]
		if report.isRejected {
			s.RecordRejection(now, report.id)
		} else {
			s.RecordAccepted(report.id)
		}
		s.Finish(now, report.id, Observation{CallerLeft: report.isRejected, Duration: modelRunTime})
	}
	m.reports = pending
	for index, s := range m.schedulers {
		for range requests {
			m.sequence++
			s.Submit(now, firstRequest(fmt.Sprint(index, "-", m.sequence), 1))
		}
		for _, decision := range s.Decide(now) {
			if decision.Reason == ReasonNone {
				m.arrive(now, random, index, decision.ID)
			}
		}
	}
}

// arrive lets the assigned request reach the replica.
func (m *brittleModel) arrive(now structs.Instant, random *rand.Rand, scheduler int, id string) {
	lag := time.Duration(random.Int64N(int64(maxReportLag)))
	if len(m.running) >= m.room {
		m.rejectedAt = append(m.rejectedAt, now)
		m.reports = append(m.reports, brittleReport{now + lag, scheduler, id, true})
		return
	}
	m.running[id] = now + modelRunTime
	m.reports = append(m.reports, brittleReport{now + modelRunTime + lag, scheduler, id, false})
}

// mostRejections returns the highest number of rejections within a second.
func (m *brittleModel) mostRejections() int {
	most := 0
	for i, from := range m.rejectedAt {
		count := 0
		for _, at := range m.rejectedAt[i:] {
			if at-from < time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// playBrittle plays a course drawn with the seed, in which the nodes change from one scheduler to the other
// and the replica's room changes. If corrupt is not nil, it is called before each step.
func playBrittle(seed uint64, corrupt func(*Scheduler)) *brittleModel {
	random := rand.New(rand.NewPCG(seed, 0))
	m := newBrittleModel(2, 6, 7)
	shares := [2]float64{1, 0}
	for now := structs.Instant(0); now < 20*time.Second; now += modelStep {
		if random.IntN(200) == 0 {
			m.room = 1 + random.IntN(7)
		}
		if random.IntN(300) == 0 {
			moved := random.Float64()
			shares = [2]float64{moved, 1 - moved}
		}
		for index, s := range m.schedulers {
			s.SetFollowerShare(now, shares[index])
			if corrupt != nil {
				corrupt(s)
			}
		}
		m.step(now, random, random.IntN(2))
	}
	return m
}

// Guards against more rejections in a second than a brittle replica survives, whoever schedules, while its
// room changes.
func TestRejectionsStayWithinTheLimit(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			g := gomega.NewWithT(t)
			m := playBrittle(seed, nil)
			g.Expect(m.mostRejections()).To(gomega.BeNumerically("<=", modelLimit))
			g.Expect(m.served).To(gomega.BeNumerically(">", 150))
		})
	}
}

// The courses must find each broken variant.
func TestBrokenRejectionLimitsAreFound(t *testing.T) {
	variants := map[string]func(*Scheduler){
		"rejections don't count": func(s *Scheduler) {
			for _, state := range s.replicaStates {
				state.rejections.rejectedAt = nil
			}
		},
		"requests at risk don't count": func(s *Scheduler) {
			for _, state := range s.replicaStates {
				state.rejections.atRisk = nil
			}
		},
		"no share of the followers": func(s *Scheduler) { s.settledShare = settledShare{share: 2} },
	}
	for name, corrupt := range variants {
		t.Run(name, func(t *testing.T) {
			worst := 0
			for seed := range uint64(60) {
				worst = max(worst, playBrittle(seed, corrupt).mostRejections())
			}
			t.Log(worst, "rejections in a second")
			gomega.NewWithT(t).Expect(worst).To(gomega.BeNumerically(">", modelLimit))
		})
	}
}

// Guards against a newcomer's part that counts followers whose previous scheduler may still count them.
func TestPartsRiseOnlyOnceTheyAreSettled(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	limit := newLimit(9)
	g.Expect(s.rejectionPart(0, limit)).To(gomega.BeZero(), "without followers")
	s.SetFollowerShare(time.Second, 1)
	g.Expect(s.rejectionPart(time.Second, limit)).To(gomega.Equal(1))
	g.Expect(s.rejectionPart(time.Second+FollowTime, limit)).To(gomega.Equal(6))
	s.SetFollowerShare(4*time.Second, 0.5)
	g.Expect(s.rejectionPart(4*time.Second, limit)).To(gomega.Equal(3))
	s.SetFollowerShare(5*time.Second, 1)
	s.SetFollowerShare(5*time.Second+FollowTime/2, 0.75)
	s.SetFollowerShare(5*time.Second+FollowTime, 1)
	g.Expect(s.rejectionPart(5*time.Second+FollowTime, limit)).To(gomega.Equal(5), "the lowest share meanwhile")
}

// A replica that crashed is as brittle as the others of its service, until it says otherwise.
func TestNewIncarnationIsAsBrittleAsItsService(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	pool := coldPool(2, 0)
	s.SetReplicas(0, pool)
	s.SetFollowerShare(0, 1)
	s.ApplyRejectionLimit(0, pushback.Report{Incarnation: pushback.IncarnationOf(pool[0]), Limit: newLimit(modelLimit)})
	isBrittle := func(index int) bool {
		return s.snapshot(time.Second, pool[index].Service).replicas[index].isBrittle
	}
	g.Expect(isBrittle(1)).To(gomega.BeTrue(), "it has not answered yet")
	s.ApplyRejectionLimit(0, pushback.Report{Incarnation: pushback.IncarnationOf(pool[1]), Limit: pushback.Limit{State: pushback.LimitNone}})
	g.Expect(isBrittle(1)).To(gomega.BeTrue(), "no limit as the first one proves nothing")
	s.ApplyRejectionLimit(time.Second, pushback.Report{Incarnation: pushback.IncarnationOf(pool[0]), Limit: pushback.Limit{State: pushback.LimitNone}})
	g.Expect(isBrittle(0)).To(gomega.BeFalse())
	g.Expect(isBrittle(1)).To(gomega.BeFalse())
}

// The believed room shrinks with each rejection and grows back slowly.
func TestBelievedRoomShrinksFastAndGrowsSlowly(t *testing.T) {
	g := gomega.NewWithT(t)
	var limit rejectionLimit
	g.Expect(limit.room(0, 6)).To(gomega.Equal(6))
	limit.recordRejection(0, 6, 6)
	g.Expect(limit.room(0, 6)).To(gomega.Equal(5))
	limit.recordRejection(0, 6, 4)
	g.Expect(limit.room(0, 6)).To(gomega.Equal(3))
	g.Expect(limit.room(4*time.Second-1, 6)).To(gomega.Equal(3))
	g.Expect(limit.room(4*time.Second, 6)).To(gomega.Equal(4))
	g.Expect(limit.room(time.Minute, 6)).To(gomega.Equal(6))
	for range 20 {
		limit.recordRejection(time.Minute, 6, 1)
	}
	g.Expect(limit.room(time.Minute, 6)).To(gomega.Equal(1), "room for one is always tried")
}
