package streamorigins

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

func drawOrigin(t *rapid.T) Origin {
	return Origin{
		Service: rapid.SampledFrom([]string{"engines", "others"}).Draw(t, "service"),
		Version: rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(t, "version"),
	}
}

func drawFinding(t *rapid.T) Finding {
	switch knowledge := Knowledge(rapid.IntRange(0, 2).Draw(t, "knowledge")); knowledge {
	case Known:
		return findingOf(drawOrigin(t))
	default:
		return Finding{Knowledge: knowledge}
	}
}

// rank orders findings: unknown, uncertain, certain, ambiguous.
func rank(f Finding) int {
	switch {
	case f.Knowledge == Unknown:
		return 0
	case f.Knowledge == Known && !f.IsCertain():
		return 1
	case f.Knowledge == Known:
		return 2
	}
	return 3
}

// Guards against knowledge of an origin that depends on the order of messages, or on ones that come twice.
func TestFindingsAreALattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawFinding(t), drawFinding(t), drawFinding(t)
		switch {
		case a.Join(b) != b.Join(a):
			t.Fatalf("%v and %v: the order counts", a, b)
		case a.Join(b).Join(c) != a.Join(b.Join(c)):
			t.Fatalf("%v, %v and %v: the grouping counts", a, b, c)
		case a.Join(a) != a || a.Join(Finding{}) != a:
			t.Fatalf("%v changes by nothing new", a)
		case rank(a.Join(b)) < max(rank(a), rank(b)):
			t.Fatalf("%v and %v: less is known", a, b)
		case a.Join(b).IsCertain() && a.Knowledge == Known && a.Origin.Service != a.Join(b).Origin.Service:
			t.Fatalf("%v and %v: the service changes", a, b)
		}
	})
}

// Guards against nodes that know different origins of a stream after they were told the same, in another order, with
// repetitions, or by way of each other.
func TestRegistriesAgreeOnWhatTheyWereTold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := KeyOf("", "r")
		records := rapid.SliceOfN(rapid.Custom(drawOrigin), 1, 5).Draw(t, "records")
		order := rapid.Permutation(append(records, records...)).Draw(t, "order")
		first, second := NewRegistry(1), NewRegistry(1)
		before := Finding{}
		for _, origin := range records {
			first.Put(0, Record{Key: key, Origin: origin})
			origin, knowledge := first.Get(0, key)
			now := Finding{origin, knowledge}
			if before.Join(now) != now {
				t.Fatalf("%v after %v", now, before)
			}
			before = now
		}
		for _, origin := range order {
			second.Put(0, Record{Key: key, Origin: origin})
		}
		origin, knowledge := second.Get(0, key)
		if (Finding{origin, knowledge}) != before {
			t.Fatalf("%v and %v", before, Finding{origin, knowledge})
		}
	})
}

// formerRegistry keeps one origin as nodes without Finding do: any two records that differ make it ambiguous, and an
// uncertain origin is known, without a version.
type formerRegistry struct{ finding Finding }

func (r *formerRegistry) put(origin Origin) {
	switch r.finding.Knowledge {
	case Unknown:
		r.finding = findingOf(origin)
	case Known:
		if r.finding.Origin != origin {
			r.finding = Finding{Knowledge: Ambiguous}
		}
	}
}

// Guards against a former node that states more, or another origin, than was recorded, and against an answer to it that
// it takes for an unknown stream.
func TestFormerNodesStateNoOtherOrigin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		former, truth := formerRegistry{}, Finding{}
		for _, origin := range rapid.SliceOfN(rapid.Custom(drawOrigin), 1, 5).Draw(t, "records") {
			former.put(origin)
			truth = truth.Join(findingOf(origin))
		}
		if former.finding.IsCertain() && former.finding != truth {
			t.Fatalf("the former node states %v, known is %v", former.finding, truth)
		}
		encoded, err := msgpack.Marshal(truth)
		if err != nil {
			t.Fatal(err)
		}
		var answer struct {
			Origin    Origin
			Knowledge uint8
		}
		if err := msgpack.Unmarshal(encoded, &answer); err != nil {
			t.Fatal(err)
		}
		if answer.Knowledge < 1 || answer.Knowledge > 2 {
			t.Fatalf("a former node does not know the state %d", answer.Knowledge)
		}
	})
}

// Guards against an answer of a later version that counts as an unknown stream, or ends the process.
func TestOtherStatesCountAsAmbiguous(t *testing.T) {
	later := Finding{Origin: Origin{Service: "engines", Version: "v1"}, Knowledge: 7}
	for _, joined := range []Finding{later.Join(Finding{}), Finding{}.Join(later), later.Join(findingOf(Origin{Service: "engines", Version: "v1"}))} {
		if joined != (Finding{Knowledge: Ambiguous}) || joined.Knowledge.String() != "ambiguous" || later.Knowledge.String() != "ambiguous" {
			t.Errorf("%v", joined)
		}
	}
}
