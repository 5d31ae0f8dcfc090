package entry

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/entry"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/lab/entrylab"
)

// What the event log, the metrics and the status of a node say about streams whose engines are silent.

// loggedStream is the ID of the stream that is silent in these tests.
const loggedStream = "silent"

// counterTotal returns the sum of the metric over all nodes.
func (s *scenario) counterTotal(name string) int {
	total := 0
	for _, host := range hosts {
		request, err := http.NewRequest(http.MethodGet, "http://"+entrylab.OperatorsAddress(host)+"/metrics", nil)
		s.Expect(err).NotTo(gomega.HaveOccurred())
		if _, after, found := strings.Cut(s.send(request).body, "\nthornwalk_"+name+" "); found {
			line, _, _ := strings.Cut(after, "\n")
			count, err := strconv.Atoi(line)
			s.Expect(err).NotTo(gomega.HaveOccurred())
			total += count
		}
	}
	return total
}

// startStream starts the stream at n1 and pauses its engine after some events. It returns the index of the engine, and
// a function that waits for the reply.
func (s *silentScenario) startStream(ctx context.Context, deadline time.Duration) (silent int, await func() reply) {
	replies := make(chan reply, 1)
	go func() {
		replies <- s.do("n1", http.MethodPost, "/resume/", func(request *http.Request) {
			*request = *request.WithContext(ctx)
			request.Header.Set("X-Attempt-Id", loggedStream)
			request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
		})
	}()
	time.Sleep(silenceAt)
	silent = -1
	for i, engine := range s.engines {
		if len(engine.Unfinished()) > 0 {
			silent = i
		}
	}
	s.Expect(silent).NotTo(gomega.Equal(-1), "no engine has the stream")
	s.fabric.Pause(s.engineHosts[silent])
	return silent, func() reply { return <-replies }
}

// removeOthers takes all engines but one out of the store.
func (s *silentScenario) removeOthers(kept int) {
	for i, engine := range s.engines {
		if i != kept {
			s.deployment.Store.Delete("servers/" + engine.ID)
		}
	}
	time.Sleep(300 * time.Millisecond)
}

// pauseOthers pauses all engines but one, or resumes them.
func (s *silentScenario) pauseOthers(index int, pause func(host string)) {
	for i, host := range s.engineHosts {
		if i != index {
			pause(host)
		}
	}
}

// silenceLines returns the lines of the silences of the stream: those of the searches, and the others.
func (s *silentScenario) silenceLines() (searches, ends []eventlog.Event) {
	for _, event := range s.loggedEvents("request.silent") {
		s.Expect(event.Request).To(gomega.Equal(loggedStream))
		if event.Outcome == "searching" {
			searches = append(searches, event)
		} else {
			ends = append(ends, event)
		}
	}
	return searches, ends
}

// expectEnd expects that the stream had one silence, with the outcome, and that it is counted once. It returns the lines
// of its searches and of its end.
func (s *silentScenario) expectEnd(outcome string, silent int) ([]eventlog.Event, eventlog.Event) {
	searches, ends := s.silenceLines()
	s.Expect(ends).To(gomega.HaveLen(1))
	s.Expect(ends[0].Outcome).To(gomega.Equal(outcome))
	s.Expect(ends[0].Count).To(gomega.Equal(len(searches)))
	s.Expect(searches[0].SilentMS).To(gomega.BeNumerically("~", 1200, 20))
	for i, event := range append(searches, ends[0]) {
		s.Expect(event.Replica).To(gomega.Equal(s.engines[silent].ID))
		s.Expect(event.HasEvents).To(gomega.BeTrue())
		s.Expect(event.Count).To(gomega.Equal(i))
	}
	for _, other := range []string{"went-on", "replaced", "broke-off", "deadline", "caller-left"} {
		expected := 0
		if other == outcome {
			expected = 1
		}
		s.Expect(s.counterTotal("silences_"+strings.ReplaceAll(other, "-", "_"))).To(gomega.Equal(expected), other)
	}
	s.Expect(s.counterTotal("silence_ms_count")).To(gomega.Equal(1))
	s.Expect(s.counterTotal("silences_current")).To(gomega.BeZero())
	s.Expect(s.counterTotal("silences_longest_ms")).To(gomega.BeZero())
	s.Expect(s.deployment.Node("n1").Status().SilentRequests).To(gomega.BeEmpty())
	return searches, ends[0]
}

// endOf returns the line of the end of the stream.
func (s *silentScenario) endOf() eventlog.Event {
	for _, event := range s.loggedEvents("request.ended") {
		if event.Request == loggedStream {
			return event
		}
	}
	s.Expect(false).To(gomega.BeTrue(), "the stream has no line of its end")
	return eventlog.Event{}
}

// Guards against a stream that goes on at another engine without a line that tells which engine was silent, for how
// long, and which one took over.
func TestSilenceIsLoggedIfAnotherEngineTakesOver(t *testing.T) {
	runSilent(t, func(s *silentScenario) {
		defer s.pauseOthers(-1, s.fabric.Resume)
		silent, await := s.startStream(context.Background(), silentDeadline)
		s.Expect(isWholeStream(await())).To(gomega.BeTrue())
		searches, end := s.expectEnd("replaced", silent)
		s.Expect(searches).To(gomega.HaveLen(1))
		s.Expect(end.SilentMS).To(gomega.BeNumerically("~", 1250, 50))
		s.Expect(end.Successor).NotTo(gomega.Or(gomega.BeEmpty(), gomega.Equal(s.engines[silent].ID)))
		s.Expect(end.Successor).To(gomega.Equal(s.endOf().Replica))
		s.Expect(s.counterTotal("successors_took_over")).To(gomega.Equal(1))
		s.Expect(s.requestHistory(loggedStream)).To(gomega.MatchRegexp(`replica %s silent for 1\.2 s; another one was looked for; %s took over`, end.Replica, end.Successor))
	})
}

// Guards against a silence without a line that tells why no other engine was granted.
func TestSilenceIsLoggedIfNoEngineIsGranted(t *testing.T) {
	runSilent(t, func(s *silentScenario) {
		defer s.pauseOthers(-1, s.fabric.Resume)
		silent, await := s.startStream(context.Background(), silentDeadline)
		s.removeOthers(silent)
		time.Sleep(2200*time.Millisecond - 300*time.Millisecond)
		s.fabric.Resume(s.engineHosts[silent])
		s.Expect(isWholeStream(await())).To(gomega.BeTrue())
		searches, end := s.expectEnd("went-on", silent)
		s.Expect(searches).To(gomega.HaveLen(2))
		s.Expect(end.SilentMS).To(gomega.BeNumerically("~", 2230, 60))
		s.Expect(end.Search).To(gomega.BeEmpty())
		s.Expect(end.RetryRefusal).To(gomega.Equal("no-replica-of-version"))
		s.Expect(s.counterTotal("successors_refused")).To(gomega.Equal(len(searches)))
		s.Expect(s.counterTotal("successors_refused_no_replica_of_version")).To(gomega.Equal(len(searches)))
		s.Expect(s.counterTotal("successors_not_needed")).To(gomega.BeZero())
		s.Expect(s.requestHistory(loggedStream)).To(gomega.MatchRegexp(`replica %s silent for 2\.2 s; another one was looked for 2 times and refused \(no-replica-of-version\); %[1]s went on`, end.Replica))
	})
}

// Guards against a silence that reads as if nobody was granted although the engine went on before another one answered.
func TestSilenceIsLoggedIfTheEngineGoesOnBeforeAnother(t *testing.T) {
	runSilent(t, func(s *silentScenario) {
		defer s.pauseOthers(-1, s.fabric.Resume)
		silent, await := s.startStream(context.Background(), silentDeadline)
		s.pauseOthers(silent, s.fabric.Pause)
		time.Sleep(1500 * time.Millisecond)
		s.fabric.Resume(s.engineHosts[silent])
		time.Sleep(300 * time.Millisecond)
		s.pauseOthers(silent, s.fabric.Resume)
		s.Expect(isWholeStream(await())).To(gomega.BeTrue())
		searches, end := s.expectEnd("went-on", silent)
		s.Expect(searches).To(gomega.HaveLen(1))
		s.Expect(end.Search).To(gomega.Equal("sent"))
		s.Expect(end.RetryRefusal).To(gomega.BeEmpty())
		s.Expect(s.counterTotal("successors_not_needed")).To(gomega.Equal(1))
		s.Expect(s.counterTotal("successors_refused")).To(gomega.BeZero())
		s.Expect(s.requestHistory(loggedStream)).To(gomega.MatchRegexp(`replica %s silent for 1\.5 s; another one was looked for; %[1]s went on before it answered`, end.Replica))
	})
}

// Guards against a refusal that is recorded of a search that was only cancelled, as its engine went on before the
// scheduling node had decided.
func TestCancelledSearchIsNoRefusal(t *testing.T) {
	runSilent(t, func(s *silentScenario) {
		scheduler := s.scheduler()
		s.Expect(scheduler).NotTo(gomega.Equal("n1"))
		defer s.pauseOthers(-1, s.fabric.Resume)
		silent, await := s.startStream(context.Background(), silentDeadline)
		time.Sleep(1100 * time.Millisecond)
		s.fabric.Pause(scheduler)
		time.Sleep(200 * time.Millisecond)
		s.fabric.Resume(s.engineHosts[silent])
		time.Sleep(300 * time.Millisecond)
		s.fabric.Resume(scheduler)
		s.Expect(isWholeStream(await())).To(gomega.BeTrue())
		_, end := s.expectEnd("went-on", silent)
		s.Expect(end.Search).To(gomega.Equal("requested"))
		s.Expect(end.RetryRefusal).To(gomega.BeEmpty())
		s.Expect(s.endOf().RetryRefusal).To(gomega.BeEmpty())
		s.Expect(s.counterTotal("successors_not_needed")).To(gomega.Equal(1))
		s.Expect(s.counterTotal("successors_refused")).To(gomega.BeZero())
	})
}

// Guards against an engine that breaks a stream off after a silence and reads as one that was given up, or of which
// nobody can tell whether another one was being looked for.
func TestSilenceIsLoggedIfTheEngineBreaksOff(t *testing.T) {
	for _, search := range []string{"", "sent"} {
		t.Run("search "+search, func(t *testing.T) {
			runSilent(t, func(s *silentScenario) {
				defer s.pauseOthers(-1, s.fabric.Resume)
				silent, await := s.startStream(context.Background(), silentDeadline)
				summary := `silent for 1\.5 s; another one was looked for; .* broke off before it answered`
				if search == "" {
					s.removeOthers(silent)
					summary = `silent for 1\.5 s; another one was looked for and refused \(no-replica-of-version\); .* broke off`
				} else {
					s.pauseOthers(silent, s.fabric.Pause)
					time.Sleep(300 * time.Millisecond)
				}
				time.Sleep(1200 * time.Millisecond)
				s.engines[silent].Crash()
				s.fabric.Resume(s.engineHosts[silent])
				time.Sleep(100 * time.Millisecond)
				s.pauseOthers(silent, s.fabric.Resume)
				got := await()
				_, end := s.expectEnd("broke-off", silent)
				s.Expect(end.Search).To(gomega.Equal(search))
				s.Expect(isWholeStream(got)).To(gomega.Equal(search != ""))
				if search == "" {
					s.Expect(s.endOf().Reason).To(gomega.Equal("replica-broke-off"))
					s.Expect(s.counterTotal("closed_replica_broke_off")).To(gomega.Equal(1))
				}
				s.Expect(s.requestHistory(loggedStream)).To(gomega.MatchRegexp(summary))
			})
		})
	}
}

// Guards against a stream whose time was over during a silence and that reads as broken off by its engine, and against
// a node that doesn't tell which requests are silent now.
func TestSilenceIsLoggedUntilTheDeadline(t *testing.T) {
	runSilent(t, func(s *silentScenario) {
		defer s.pauseOthers(-1, s.fabric.Resume)
		silent, await := s.startStream(context.Background(), 4*time.Second)
		s.removeOthers(silent)
		time.Sleep(1700 * time.Millisecond)
		s.Expect(s.counterTotal("silences_current")).To(gomega.Equal(1))
		s.Expect(s.counterTotal("silences_longest_ms")).To(gomega.BeNumerically("~", 2050, 60))
		status := s.deployment.Node("n1").Status().SilentRequests
		s.Expect(status).To(gomega.HaveLen(1))
		s.Expect(status["engines"]).To(gomega.And(
			gomega.HaveField("Requests", 1), gomega.HaveField("LongestMS", gomega.BeNumerically("~", 2050, 60)),
		))
		s.Expect(status["engines"]).To(gomega.BeAssignableToTypeOf(entry.SilenceStatus{}))
		s.Expect(await().complete).To(gomega.BeFalse())
		_, end := s.expectEnd("deadline", silent)
		s.Expect(end.SilentMS).To(gomega.BeNumerically("~", 3630, 60))
		s.Expect(s.endOf()).To(gomega.And(gomega.HaveField("Reason", "deadline"), gomega.HaveField("IsClosed", true)))
		s.Expect(s.counterTotal("closed_deadline")).To(gomega.Equal(1))
		s.Expect(s.requestHistory(loggedStream)).To(gomega.MatchRegexp(`replica %s silent for 3\.6 s; another one was looked for \d times and refused \(no-replica-of-version\); the time of the request was over`, end.Replica))
	})
}

// Guards against a caller that leaves during a silence and can't be told from one that leaves at any other time.
func TestSilenceIsLoggedUntilTheCallerLeaves(t *testing.T) {
	runSilent(t, func(s *silentScenario) {
		defer s.pauseOthers(-1, s.fabric.Resume)
		ctx, leave := context.WithCancel(context.Background())
		silent, await := s.startStream(ctx, silentDeadline)
		s.removeOthers(silent)
		time.Sleep(1700 * time.Millisecond)
		leave()
		await()
		time.Sleep(time.Second)
		_, end := s.expectEnd("caller-left", silent)
		s.Expect(end.SilentMS).To(gomega.BeNumerically("~", 2030, 60))
		s.Expect(s.endOf().Reason).To(gomega.Equal("caller-left"))
		s.Expect(s.requestHistory(loggedStream)).To(gomega.MatchRegexp(`replica %s silent for 2\.\d s; .*; the caller left`, end.Replica))
	})
}

// Guards against lines, counters or a load of the log for streams whose engines are silent for less than the limit.
func TestShortSilencesAreNotLogged(t *testing.T) {
	runSilent(t, func(s *silentScenario) {
		await := s.startStreams(silentStreams)
		s.silence(s.engineHosts, time.Second)
		for _, got := range await() {
			s.Expect(isWholeStream(got)).To(gomega.BeTrue())
		}
		s.Expect(s.loggedEvents("request.silent")).To(gomega.BeEmpty())
		s.Expect(s.counterTotal("silence_ms_count")).To(gomega.BeZero())
		s.Expect(s.counterTotal("successors_requested")).To(gomega.BeZero())
		lines := 0
		for _, kind := range []string{"received", "placed", "sent", "ended"} {
			lines += len(s.loggedEvents("request." + kind))
		}
		s.Expect(lines).To(gomega.Equal(4 * silentStreams))
	})
}

// overloadLogs logs more lines than the nodes write in a second, so that requests which begin in the next one are
// sampled.
func (s *scenario) overloadLogs() {
	for _, host := range hosts {
		for range 1500 {
			s.do(host, http.MethodGet, "/nowhere/", nil)
		}
	}
	time.Sleep(1100 * time.Millisecond)
}

// Guards against a long silence whose many lines displace the one that tells how its stream ended.
func TestSilenceLinesDoNotDisplaceTheEndOfASampledStream(t *testing.T) {
	runSilent(t, func(s *silentScenario) {
		defer s.pauseOthers(-1, s.fabric.Resume)
		const deadline = 40 * time.Second
		s.configure(func(configuration *entrylab.Configuration) {
			for i := range configuration.Routes {
				configuration.Routes[i].Timeout = int(deadline.Milliseconds())
			}
		})
		s.overloadLogs()
		silent, await := s.startStream(context.Background(), deadline)
		s.removeOthers(silent)
		s.Expect(await().complete).To(gomega.BeFalse())
		s.Expect(s.endOf()).To(gomega.And(gomega.HaveField("Reason", "deadline"), gomega.HaveField("IsClosed", true)))
		_, ends := s.silenceLines()
		s.Expect(ends).To(gomega.HaveLen(1))
	})
}

// Guards against a silence of a whole service that fills the log with lines of streams that end well.
func TestSilenceLinesOfAnsweredStreamsAreSampled(t *testing.T) {
	runSilent(t, func(s *silentScenario) {
		s.overloadLogs()
		await := s.startStreams(silentStreams)
		s.silence(s.engineHosts, 1900*time.Millisecond)
		for _, got := range await() {
			s.Expect(isWholeStream(got)).To(gomega.BeTrue())
		}
		logged, all := map[string]bool{}, map[string]bool{}
		for _, event := range s.loggedEvents("request.silent") {
			logged[event.Request] = true
		}
		for _, event := range s.loggedEvents("request.ended") {
			if event.Route == "resume" {
				all[event.Request] = true
			}
		}
		s.Expect(s.counterTotal("silence_ms_count")).To(gomega.BeNumerically(">=", silentStreams))
		s.Expect(logged).To(gomega.Equal(all), "streams of which a part of the lines is logged")
		s.Expect(len(logged)).To(gomega.BeNumerically("<", silentStreams*2/3))
	})
}
