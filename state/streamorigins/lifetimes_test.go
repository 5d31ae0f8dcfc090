package streamorigins

import (
	"testing"
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// Guards against a stream that is taken for younger than its caller says, at its node or at others, and against callers
// that count for longer than they have time.
func TestCallersWithMoreTimeCountWhileTheyHaveIt(t *testing.T) {
	check := func(name string, lifetimes *Lifetimes, at structs.Instant, want time.Duration) {
		t.Helper()
		if got := lifetimes.Of(at, time.Second); got != want {
			t.Errorf("%s: %v after %v", name, got, at)
		}
	}
	one := &Lifetimes{}
	one.State(10*time.Second, 20*time.Second)
	check("one", one, 11*time.Second, 2*time.Second)
	check("one", one, 30*time.Second, 20*time.Second)
	check("one", one, 31*time.Second, 2*time.Second)

	many := &Lifetimes{}
	for at := range 100 {
		many.State(structs.Instant(at)*time.Second, 20*time.Second)
		many.State(structs.Instant(at)*time.Second, 5*time.Second)
	}
	check("many", many, 99*time.Second, 20*time.Second)
	check("many", many, 109*time.Second, 20*time.Second)
	check("many", many, 120*time.Second, 2*time.Second)

	close := &Lifetimes{}
	for at := range 100_000 {
		close.State(structs.Instant(at)*time.Millisecond, time.Hour)
		close.State(structs.Instant(at)*time.Millisecond, time.Minute)
	}
	if count := len(close.stated); count > statedSteps+1 {
		t.Errorf("%d streams are kept", count)
	}
	check("close together", close, 100*time.Second, 100*time.Second)

	sender, other := &Lifetimes{}, &Lifetimes{}
	sender.State(10*time.Second, 20*time.Second)
	other.Report(11*time.Second, 10*time.Second, sender.Longest(10*time.Second))
	other.Report(12*time.Second, 12*time.Second, 0)
	check("reported", other, 29*time.Second, 20*time.Second)
	check("reported", other, 31*time.Second, 2*time.Second)
	if other.Longest(12*time.Second) != 0 {
		t.Error("what was reported is passed on")
	}
}
