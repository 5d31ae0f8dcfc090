package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/poison"
	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/state/poisonrecords"
	"github.com/thornwalk/thornwalk/state/promptparts"
)

func partOf(id string) poison.Part {
	return poison.Part{Key: promptparts.Key("tenant", "s", id), ID: id}
}

// newPromptRequest returns a request like no other whose prompt has the parts.
func newPromptRequest(id string, parts ...string) Request {
	request := newRequest(id, 0)
	request.Fingerprint = fingerprint.Of("tenant", "", "", id, nil)
	for _, part := range parts {
		request.Parts = append(request.Parts, partOf(part).Key)
	}
	return request
}

// newPartScheduler returns a scheduler with four slots and the tracker that it uses.
func newPartScheduler() (*Scheduler, *poison.Tracker) {
	tracker := poison.NewTracker(poison.DefaultPolicy())
	tracker.SetTrialsAllowed(true)
	s := New()
	s.SetPoisonTracker(tracker)
	s.SetReplicas(0, replicasWithSlots(2, 2))
	return s, tracker
}

// crashUnder records that many crashes under a request with the parts.
func crashUnder(tracker *poison.Tracker, count int, parts ...string) {
	var all []poison.Part
	for _, part := range parts {
		all = append(all, partOf(part))
	}
	for i := range count {
		tracker.RecordPartCrash(0, poisonrecords.Record{Service: "s"}, all, poisonrecords.Incarnation(fmt.Sprint("i", i)), 0)
	}
}

// Guards against requests with a suspect part that run at several replicas at once, and against others that wait
// for them.
func TestRequestsWithASuspectPartRunOneAtATime(t *testing.T) {
	g := gomega.NewWithT(t)
	s, tracker := newPartScheduler()
	crashUnder(tracker, 1, "suspect")
	s.Submit(0, newPromptRequest("first", "common", "suspect"))
	s.Submit(0, newPromptRequest("second", "common", "suspect"))
	s.Submit(0, newPromptRequest("sound", "common"))
	g.Expect(assignedIDs(s.Decide(0))).To(gomega.ConsistOf("first", "sound"))
	completion, _ := s.Finish(ms, "first", Observation{Duration: ms})
	g.Expect(completion.Parts).To(gomega.HaveLen(2))
	g.Expect(assignedIDs(s.Decide(ms))).To(gomega.Equal([]string{"second"}))
}

// Guards against requests that are sent although a part of their prompt is blocked, without a hint for operators.
func TestRequestsWithABlockedPartAreRejectedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	s, tracker := newPartScheduler()
	crashUnder(tracker, 3, "bad")
	s.Submit(0, newPromptRequest("a", "common", "bad"))
	s.Submit(0, newPromptRequest("b", "common"))
	for _, decision := range s.Decide(0) {
		if decision.ID == "b" {
			g.Expect(decision.Reason).To(gomega.Equal(ReasonNone))
			continue
		}
		g.Expect(decision.Reason).To(gomega.Equal(ReasonBlocked))
		g.Expect(decision.BlockedBy).To(gomega.Equal(partOf("bad").Key))
		g.Expect(decision.RetryAfter).To(gomega.BeNumerically(">", 0))
	}
}

// Guards against an innocent part whose trials are used up by requests that also have the harmful one.
func TestRequestWithOneBlockedPartIsTriedBeforeOneWithTwo(t *testing.T) {
	g := gomega.NewWithT(t)
	s, tracker := newPartScheduler()
	crashUnder(tracker, 3, "innocent", "bad")
	now := 600 * ms
	s.Submit(now, newPromptRequest("both", "innocent", "bad"))
	s.Submit(now, newPromptRequest("one", "innocent"))
	decisions := s.Decide(now)
	g.Expect(assignedIDs(decisions)).To(gomega.Equal([]string{"one"}))
	g.Expect(reasons(decisions)).To(gomega.HaveKeyWithValue("both", ReasonBlocked))
	now += 3 * time.Second
	tracker.RecordPartAnswer(now, []fingerprint.Fingerprint{partOf("innocent").Key})
	s.Submit(now, newPromptRequest("later", "innocent", "bad"))
	decisions = s.Decide(now)
	g.Expect(assignedIDs(decisions)).To(gomega.Equal([]string{"later"}))
	g.Expect(decisions[0].Trials).To(gomega.Equal([]fingerprint.Fingerprint{partOf("bad").Key}))
}

// Guards against two parts that are blocked together for good.
func TestRequestWithTwoBlockedPartsIsTriedLater(t *testing.T) {
	g := gomega.NewWithT(t)
	s, tracker := newPartScheduler()
	crashUnder(tracker, 3, "x", "y")
	s.Submit(ms, newPromptRequest("early", "x", "y"))
	g.Expect(reasons(s.Decide(ms))).To(gomega.HaveKeyWithValue("early", ReasonBlocked))
	s.Submit(3*time.Second, newPromptRequest("late", "x", "y"))
	decisions := s.Decide(3 * time.Second)
	g.Expect(assignedIDs(decisions)).To(gomega.Equal([]string{"late"}))
	g.Expect(decisions[0].Trials).To(gomega.HaveLen(2))
}

// Guards against prompts that count as harmless before a replica has written an answer to them.
func TestPromptIsProvedByAnAnswer(t *testing.T) {
	for name, testCase := range map[string]struct {
		observed Observation
		proves   bool
	}{
		"whole answer":                 {Observation{Whole: true, Succeeded: true}, true},
		"whole failure":                {Observation{Whole: true, Failed: true}, false},
		"refused by the replica":       {Observation{Whole: true}, false},
		"broken off before it began":   {Observation{Failed: true, Duration: time.Second}, false},
		"broken off at once":           {Observation{Failed: true, Events: 1, FirstEvent: time.Second, Duration: time.Second + 100*ms}, false},
		"broken off long after":        {Observation{Failed: true, Events: 9, FirstEvent: time.Second, Duration: 2 * time.Second}, true},
		"given up by the caller later": {Observation{CallerLeft: true, Events: 9, FirstEvent: time.Second, Duration: 2 * time.Second}, true},
	} {
		t.Run(name, func(t *testing.T) {
			gomega.NewWithT(t).Expect(testCase.observed.ProvesPrompt()).To(gomega.Equal(testCase.proves))
		})
	}
}
