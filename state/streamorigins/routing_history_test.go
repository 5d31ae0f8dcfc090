package streamorigins

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against streams without a record that are taken to have begun under the present configuration although another
// one, which may have led them elsewhere or allowed them to live longer, was in force within their lifetime.
func TestRoutingHistoryCoversTheLifetimeOfStreams(t *testing.T) {
	g := gomega.NewWithT(t)
	var history RoutingHistory
	lifetime := StreamLifetime(4 * time.Second)
	g.Expect(history.BeganUnderCurrent(0, lifetime)).To(gomega.BeFalse(), "no configuration")
	history.Update(0, []time.Duration{4 * time.Second, 15 * time.Second})
	g.Expect(history.BeganUnderCurrent(Retention, lifetime)).To(gomega.BeFalse(), "the first one, as another process may have had a former one")
	g.Expect(history.BeganUnderCurrent(Retention+time.Second, lifetime)).To(gomega.BeTrue())
	history.Update(time.Minute, []time.Duration{4 * time.Second})
	g.Expect(history.BeganUnderCurrent(time.Minute+20*time.Second, lifetime)).To(gomega.BeFalse(), "streams of the former one may live for 30 s")
	g.Expect(history.BeganUnderCurrent(time.Minute+31*time.Second, lifetime)).To(gomega.BeTrue())
	history.Update(2*time.Minute, []time.Duration{4 * time.Second})
	g.Expect(history.BeganUnderCurrent(2*time.Minute+8*time.Second, lifetime)).To(gomega.BeFalse())
	g.Expect(history.BeganUnderCurrent(2*time.Minute+9*time.Second, lifetime)).To(gomega.BeTrue())
	g.Expect(history.BeganUnderCurrent(2*time.Minute+9*time.Second, StreamLifetime(0))).To(gomega.BeFalse(), "a route without a timeout")
	history.Lag(3 * time.Minute)
	g.Expect(history.BeganUnderCurrent(3*time.Minute+8*time.Second, lifetime)).To(gomega.BeFalse(), "a node had a former one until then")
}

// Guards against a new process that takes its first configuration for the only one: it does not know which one was in force
// before, nor for how long the streams of that one may live.
func TestFirstConfigurationOfAProcessMayHaveAFormerOne(t *testing.T) {
	// The routes of the configuration before, which no record at this process shows, had timeouts of 15 s.
	var history RoutingHistory
	history.Update(time.Second, []time.Duration{2 * time.Second})
	lifetime := StreamLifetime(2 * time.Second)
	gomega.NewWithT(t).Expect(history.BeganUnderCurrent(time.Second+lifetime+time.Millisecond, lifetime)).To(gomega.BeFalse())
}

// Guards against streams of a former configuration that may live for longer than it is remembered.
func TestFormerConfigurationIsRememberedForTheLifetimeOfItsStreams(t *testing.T) {
	g := gomega.NewWithT(t)
	var history RoutingHistory
	history.Update(0, []time.Duration{maxHistory})
	history.Update(time.Minute, []time.Duration{2 * time.Second})
	at := time.Minute + maxHistory + time.Second
	g.Expect(history.BeganUnderCurrent(at, StreamLifetime(2*time.Second))).To(gomega.BeFalse(), "its streams may live for %v", StreamLifetime(maxHistory))
	history.Update(at, []time.Duration{2 * time.Second})
	g.Expect(history.BeganUnderCurrent(at+5*time.Second, StreamLifetime(2*time.Second))).To(gomega.BeFalse(), "after another one")
}

// Guards against a stream that is taken for younger than it may be after configurations changed the routes, and against former
// configurations that count for longer than streams may live under them.
func TestFormerConfigurationsCountWhileTheirStreamsMayLive(t *testing.T) {
	long, short := []time.Duration{20 * time.Second}, []time.Duration{time.Second}
	for name, testCase := range map[string]struct {
		// configurations take effect 10 s apart from each other, from two minutes on.
		configurations [][]time.Duration
		after, timeout time.Duration
		began          bool
	}{
		"shortened":                   {[][]time.Duration{long, short}, 50 * time.Second, time.Second, false},
		"shortened long ago":          {[][]time.Duration{long, short}, 51 * time.Second, time.Second, true},
		"longer":                      {[][]time.Duration{short, long}, 50 * time.Second, 20 * time.Second, false},
		"longer, long ago":            {[][]time.Duration{short, long}, 51 * time.Second, 20 * time.Second, true},
		"shortened twice":             {[][]time.Duration{long, short, short}, 50 * time.Second, time.Second, false},
		"the same timeout":            {[][]time.Duration{short, short}, 11 * time.Second, time.Second, false},
		"the same timeout, long ago":  {[][]time.Duration{short, short}, 13 * time.Second, time.Second, true},
		"without a bound before":      {[][]time.Duration{{0}, short}, 70 * time.Second, time.Second, false},
		"no streaming route before":   {[][]time.Duration{nil, short}, 11 * time.Second, time.Second, false},
		"no streaming route any more": {[][]time.Duration{long, nil}, 30 * time.Second, 20 * time.Second, false},
	} {
		var history RoutingHistory
		history.Update(0, short)
		start := 2 * time.Minute
		for i, timeouts := range testCase.configurations {
			history.Update(start+time.Duration(i)*10*time.Second, timeouts)
		}
		if began := history.BeganUnderCurrent(start+testCase.after, StreamLifetime(testCase.timeout)); began != testCase.began {
			t.Errorf("%s: %v", name, began)
		}
	}
}

// Guards against former configurations that are kept for ever.
func TestFormerConfigurationsAreForgotten(t *testing.T) {
	var history RoutingHistory
	for at := time.Duration(0); at < time.Hour; at += time.Second {
		history.Update(at, []time.Duration{time.Second})
	}
	if count := len(history.former); count > int(maxHistory/time.Second)+1 {
		t.Errorf("%d former configurations", count)
	}
}
