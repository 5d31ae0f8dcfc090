package entry

import (
	"cmp"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/entrylab"
	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// lifetimeCourse is a stream that is broken off, and resumed by its caller once all engines have another version.
type lifetimeCourse struct {
	// timeout is the route's while the stream runs, and laterTimeout when it is resumed; zero is none.
	timeout, laterTimeout time.Duration
	// laterService is the service of the route when the stream is resumed, if it is not "engines".
	laterService string
	// deadline is the caller's for all tries, and resumedAfter the time from the stream's begin to its last try.
	deadline, resumedAfter time.Duration
	// isNamed has the caller name the request that began the stream.
	isNamed bool
	// retries has the caller try again and again until then.
	retries bool
	// keepsVersion leaves the engines as they are, so that the stream may go on.
	keepsVersion bool
}

// setStreamTerms changes the timeout and the service of resumable streams.
func (s *versionsScenario) setStreamTerms(timeout time.Duration, service string) {
	s.configure(func(configuration *entrylab.Configuration) {
		for i := range configuration.Routes {
			if configuration.Routes[i].Resumable {
				configuration.Routes[i].Timeout = int(timeout.Milliseconds())
				configuration.Routes[i].Service = cmp.Or(service, "engines")
			}
		}
		configuration.Services = append(configuration.Services, entrylab.Service{Name: "others"})
	})
	time.Sleep(time.Second)
}

// play returns the events that the caller has.
func (c *lifetimeCourse) play(s *versionsScenario) platformsim.Events {
	s.setStreamTerms(c.timeout, "")
	other := &platformsim.Replica{ID: "i-other", Service: "others", Zone: "east", Version: "v3", Slots: 4, Events: 6, Step: 60 * time.Millisecond}
	s.Expect(s.deployment.AddReplica("other", other)).To(gomega.Succeed())
	for i := range 2 {
		s.startEngine(fmt.Sprint("first", i), "v1", breakOff(2))
	}
	// So that no stream of an earlier version, or of a configuration that was in force before the nodes started, can be resumed.
	time.Sleep(max(2*c.timeout, c.deadline, c.resumedAfter) + 70*time.Second)
	started := time.Now()
	try := func(number int, lastEvent int) platformsim.Events {
		got := s.do(hosts[number%len(hosts)], http.MethodPost, "/resume/broken", func(request *http.Request) {
			request.Header.Set("X-Attempt-Id", fmt.Sprint("lifetime-", number))
			request.Header.Set("X-Deadline-Ms", strconv.FormatInt((c.deadline-time.Since(started)).Milliseconds(), 10))
			if lastEvent > 0 {
				request.Header.Set("Last-Event-Id", strconv.Itoa(lastEvent))
				if c.isNamed {
					request.Header.Set("Resumes", "lifetime-0")
				}
			}
		})
		if got.status != http.StatusOK {
			return platformsim.Events{}
		}
		return platformsim.ReadEvents(got.body)
	}
	events := try(0, 0)
	s.Expect(events.LastID).To(gomega.BeNumerically(">", 0), "the stream began")
	if !c.keepsVersion {
		first := s.mixed[len(s.mixed)-2:]
		for i := range 2 {
			s.startEngine(fmt.Sprint("second", i), "v2", nil)
		}
		for _, engine := range first {
			engine.Crash()
			s.deployment.Store.Delete("servers/" + engine.ID)
		}
	}
	if c.laterTimeout != c.timeout || c.laterService != "" {
		s.setStreamTerms(c.laterTimeout, c.laterService)
	}
	for number := 1; ; number++ {
		if left := c.resumedAfter - time.Since(started); !c.retries {
			time.Sleep(left)
		}
		if continuation := try(number, events.LastID); continuation.LastID > 0 {
			events.Add(continuation)
			return events
		}
		if time.Since(started) >= c.resumedAfter {
			return events
		}
		time.Sleep(250 * time.Millisecond)
	}
}

// runWithoutEngines runs the test without engines.
func runWithoutEngines(t *testing.T, test func(s *versionsScenario)) {
	runScenario(t, func(base *scenario) {
		for _, replica := range base.engines {
			replica.Crash()
			base.deployment.Store.Delete("servers/" + replica.ID)
		}
		base.engines = nil
		test(&versionsScenario{scenario: base})
	})
}

// Guards against streams without a record that go on at another version, because they began longer ago than the present
// timeout of their route suggests.
func TestUnnamedStreamsThatLiveLongDoNotChangeTheirVersion(t *testing.T) {
	for name, course := range map[string]*lifetimeCourse{
		"the timeout was shortened":             {timeout: 20 * time.Second, laterTimeout: time.Second, deadline: 18 * time.Second, resumedAfter: 6 * time.Second},
		"the timeout was shortened, many tries": {timeout: 20 * time.Second, laterTimeout: time.Second, deadline: 18 * time.Second, resumedAfter: 10 * time.Second, retries: true},
		"the timeout was removed":               {timeout: 40 * time.Second, deadline: 39 * time.Second, resumedAfter: 30 * time.Second},
		"the timeout was set":                   {laterTimeout: time.Second, deadline: 18 * time.Second, resumedAfter: 6 * time.Second},
		"the caller has more time":              {timeout: time.Second, laterTimeout: time.Second, deadline: 10 * time.Second, resumedAfter: 6 * time.Second},
		"the caller has more time, many tries":  {timeout: time.Second, laterTimeout: time.Second, deadline: 10 * time.Second, resumedAfter: 9 * time.Second, retries: true},
		"the route has no timeout":              {deadline: 100 * time.Second, resumedAfter: 80 * time.Second},
		"the service was changed":               {timeout: 4 * time.Second, laterTimeout: 4 * time.Second, laterService: "others", deadline: 4 * time.Second, resumedAfter: 3 * time.Second, keepsVersion: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runWithoutEngines(t, func(s *versionsScenario) {
				events := course.play(s)
				s.Expect(events.Versions).To(gomega.Equal([]string{"v1"}))
			})
		})
	}
}

// Guards against streams without a record that are refused where the service has had one version for as long as they may
// have lived.
func TestUnnamedStreamsThatLiveLongGoOnAtTheirVersion(t *testing.T) {
	for name, course := range map[string]*lifetimeCourse{
		"the caller has more time": {timeout: time.Second, laterTimeout: time.Second, deadline: 10 * time.Second, resumedAfter: 6 * time.Second, keepsVersion: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runWithoutEngines(t, func(s *versionsScenario) {
				events := course.play(s)
				s.Expect(events.Versions).To(gomega.Equal([]string{"v1"}))
				s.Expect(events.LastID).To(gomega.Equal(6))
			})
		})
	}
}

// Guards against a stream that its caller names and that goes on at another version once the record of it has expired.
func TestNamedStreamDoesNotChangeItsVersionOnceItsRecordHasExpired(t *testing.T) {
	course := lifetimeCourse{timeout: 4 * time.Second, laterTimeout: 4 * time.Second, deadline: 100 * time.Second, resumedAfter: 80 * time.Second, isNamed: true, retries: true}
	runWithoutEngines(t, func(s *versionsScenario) {
		s.Expect(course.play(s).Versions).To(gomega.Equal([]string{"v1"}))
	})
}
