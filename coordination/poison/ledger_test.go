package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/state/poisonrecords"
	"github.com/thornwalk/thornwalk/structs"
)

// named returns the record of a request.
func named(name string) poisonrecords.Record {
	return poisonrecords.Record{Fingerprint: fingerprint.Of("office", "POST", "a.example", "/"+name, nil), Service: "engines", Route: "chat"}
}

// ledger returns one that tries barred requests.
func ledger() *Tracker {
	l := NewTracker(DefaultPolicy())
	l.SetTrialsAllowed(true)
	return l
}

// end enters as many ends of lives under the request, each placed when the last was known.
func end(l *Tracker, of poisonrecords.Record, count int) {
	for i := range count {
		at := structs.Instant(i+1) * time.Second
		l.RecordCrash(at, of, poisonrecords.Incarnation(fmt.Sprint(of.Fingerprint, i)), at-time.Millisecond)
	}
}

func (l *Tracker) standingAt(now structs.Instant, of poisonrecords.Record) State {
	standing, _ := l.State(now, of.Fingerprint)
	return standing
}

func TestARequestIsBarredAfterThreeLivesAndNotAfterThreeTries(t *testing.T) {
	g := gomega.NewWithT(t)
	l, of := ledger(), named("x")
	g.Expect(l.standingAt(0, of)).To(gomega.Equal(Clear))
	for range 5 {
		_, _ = l.RecordCrash(time.Second, of, "a/1", 0) // five tries ran in one life
	}
	g.Expect(l.standingAt(time.Second, of)).To(gomega.Equal(Suspect))
	_, _ = l.RecordCrash(2*time.Second, of, "b/1", 0)
	g.Expect(l.standingAt(2*time.Second, of)).To(gomega.Equal(Suspect))
	standing, news := l.RecordCrash(3*time.Second, of, "c/1", 0)
	g.Expect(standing).To(gomega.Equal(Blocked))
	g.Expect(news).To(gomega.BeTrue())
	g.Expect(l.standingAt(3*time.Second, named("y"))).To(gomega.Equal(Clear))
}

// A replica that starts again under its id may end again before this node has heard that it
// started: what was placed after the first end ran in another life.
func TestALifeThatThisNodeHasNotHeardOfCounts(t *testing.T) {
	g := gomega.NewWithT(t)
	l, of := ledger(), named("x")
	for i := range 3 {
		at := structs.Instant(i+1) * time.Second
		_, _ = l.RecordCrash(at, of, "a/1", at-100*time.Millisecond)
	}
	g.Expect(l.standingAt(3*time.Second, of)).To(gomega.Equal(Blocked))
}

func TestAnAnswerClearsARequest(t *testing.T) {
	g := gomega.NewWithT(t)
	l, of := ledger(), named("x")
	end(l, of, 2)
	g.Expect(l.RecordSuccess(3*time.Second, of.Fingerprint)).To(gomega.BeTrue())
	g.Expect(l.standingAt(3*time.Second, of)).To(gomega.Equal(Clear))
	_, _ = l.RecordCrash(4*time.Second, of, "late", 0)
	g.Expect(l.standingAt(4*time.Second, of)).To(gomega.Equal(Suspect))
	g.Expect(l.RecordSuccess(5*time.Second, named("y").Fingerprint)).To(gomega.BeFalse())
}

func TestABarredRequestIsTriedTwiceAndNoMore(t *testing.T) {
	g := gomega.NewWithT(t)
	l, of := ledger(), named("x")
	end(l, of, 3)
	tried := 0
	for now := 3 * time.Second; now < 10*time.Minute; now += 100 * time.Millisecond {
		standing, comeBack := l.State(now, of.Fingerprint)
		if standing == OnTrial {
			l.RecordTrial(now, of.Fingerprint)
			tried++
			_, _ = l.RecordCrash(now, of, poisonrecords.Incarnation(fmt.Sprint("trial", tried)), now)
		} else {
			g.Expect(comeBack).To(gomega.BeNumerically(">=", DefaultPolicy().FirstTrial))
		}
		l.Sweep(now)
	}
	g.Expect(tried).To(gomega.Equal(DefaultPolicy().Trials))
	g.Expect(l.standingAt(10*time.Minute, of)).To(gomega.Equal(Blocked), "it is not forgotten")
}

// A trial that finds its replica down is no trial, and the next replica gets it at once.
func TestATrialThatCameToNoReplicaGoesOn(t *testing.T) {
	g := gomega.NewWithT(t)
	l, of := ledger(), named("x")
	end(l, of, 3)
	now := 3*time.Second + DefaultPolicy().FirstTrial
	g.Expect(l.standingAt(now, of)).To(gomega.Equal(OnTrial))
	l.RecordTrial(now, of.Fingerprint)
	g.Expect(l.standingAt(now, of)).To(gomega.Equal(Blocked))
	l.CancelTrial(of.Fingerprint)
	g.Expect(l.standingAt(now, of)).To(gomega.Equal(OnTrial))
	l.RecordTrial(now, of.Fingerprint)
	g.Expect(l.Shared(now)[0].Trials).To(gomega.Equal(1))
	g.Expect(l.RecordSuccess(now, of.Fingerprint)).To(gomega.BeTrue())
	g.Expect(l.standingAt(now, of)).To(gomega.Equal(Clear))
}

func TestOnlyANodeThatSchedulesForMostTriesABarredRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	l, of := ledger(), named("x")
	end(l, of, 3)
	l.SetTrialsAllowed(false)
	g.Expect(l.standingAt(time.Hour, of)).To(gomega.Equal(Blocked))
}

func TestAPolicyOfNoEndsBarsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	l, of := ledger(), named("x")
	end(l, of, 3)
	l.SetPolicy(Policy{})
	g.Expect(l.standingAt(4*time.Second, of)).To(gomega.Equal(Clear))
	end(l, named("y"), 3)
	_, found := l.Get(named("y").Fingerprint)
	g.Expect(found).To(gomega.BeFalse())
}

// Ledgers that heard of the same records are the same, in whatever order and however often
// they heard of them, and a cleared request does not come back by an older record.
func TestLedgersAgreeWhateverTheOrderOfNews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := []*Tracker{ledger(), ledger(), ledger()}
		requests := []poisonrecords.Record{named("x"), named("y")}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			node := nodes[rapid.IntRange(0, 2).Draw(t, "node")]
			of := requests[rapid.IntRange(0, 1).Draw(t, "content")]
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				_, _ = node.RecordCrash(0, of, poisonrecords.Incarnation(fmt.Sprint("life", rapid.IntRange(0, 9).Draw(t, "life"))), -1)
			case 2:
				node.RecordSuccess(0, of.Fingerprint)
			case 3:
				node.RecordTrial(0, of.Fingerprint)
			case 4:
				node.Merge(0, nodes[rapid.IntRange(0, 2).Draw(t, "from")].Shared(0))
			}
		}
		for range 2 {
			for _, node := range nodes {
				for _, other := range nodes {
					node.Merge(0, other.Shared(0))
				}
			}
		}
		for _, node := range nodes[1:] {
			for _, of := range requests {
				first, _ := nodes[0].Get(of.Fingerprint)
				here, _ := node.Get(of.Fingerprint)
				if told := first.Persistent || len(first.Incarnations) >= toldLives; told && fmt.Sprint(first.Incarnations, first.Generation, first.Trials) != fmt.Sprint(here.Incarnations, here.Generation, here.Trials) {
					t.Fatalf("%v and %v", first, here)
				}
			}
		}
	})
}

func TestAClearedRequestIsNotBarredAgainByOldNews(t *testing.T) {
	g := gomega.NewWithT(t)
	l, other, of := ledger(), ledger(), named("x")
	end(l, of, 3)
	other.Merge(4*time.Second, l.Shared(4*time.Second))
	g.Expect(other.standingAt(4*time.Second, of)).To(gomega.Equal(Blocked))
	l.Unblock(5*time.Second, of.Fingerprint)
	l.Merge(6*time.Second, other.Shared(6*time.Second))
	g.Expect(l.standingAt(6*time.Second, of)).To(gomega.Equal(Clear))
	g.Expect(l.Summary()).NotTo(gomega.Equal(other.Summary()))
	other.Merge(6*time.Second, l.Shared(6*time.Second))
	g.Expect(other.standingAt(6*time.Second, of)).To(gomega.Equal(Clear))
	g.Expect(l.Summary()).To(gomega.Equal(other.Summary()))
}

// Two nodes that forget a suspect one after the other must not have it from each other for
// ever.
func TestAllNodesForgetASuspect(t *testing.T) {
	g := gomega.NewWithT(t)
	l, other, of := ledger(), ledger(), named("x")
	end(l, of, 2)
	for now := 3 * time.Second; now < 2*recordMemory+time.Minute; now += time.Second {
		other.Merge(now, l.Shared(now))
		l.Merge(now+300*time.Millisecond, other.Shared(now))
		l.Sweep(now)
		other.Sweep(now + 300*time.Millisecond)
	}
	g.Expect(l.Shared(0)).To(gomega.BeEmpty())
	g.Expect(other.Shared(0)).To(gomega.BeEmpty())
}

// A caller that makes up requests can't push out what is barred.
func TestTheLedgerIsBoundedAndKeepsWhatIsBarred(t *testing.T) {
	g := gomega.NewWithT(t)
	l := ledger()
	end(l, named("barred"), 3)
	for i := range 2 * maximumRecords {
		end(l, named(fmt.Sprint(i)), 1)
	}
	g.Expect(len(l.entries)).To(gomega.BeNumerically("<=", maximumRecords))
	g.Expect(l.standingAt(0, named("barred"))).To(gomega.Equal(Blocked))
	for i := range maximumLasting + 10 {
		end(l, named(fmt.Sprint("more", i)), 3)
	}
	g.Expect(l.Persistent(0)).To(gomega.HaveLen(maximumLasting), "what the store takes in one value")
}

func TestNoCallOfAnotherCountsAsOnesOwn(t *testing.T) {
	g := gomega.NewWithT(t)
	l := ledger()
	_, news := l.RecordCrash(0, poisonrecords.Record{}, "a/1", 0)
	g.Expect(news).To(gomega.BeFalse(), "a request whose content is not known is nobody's")
}
