package streamorigins

// Finding is what is known of a stream's origin. Findings are ordered: unknown, uncertain (Known without a version),
// certain (Known with one), ambiguous. The zero value is unknown.
//
// Nodes of other versions read and write Knowledge as a number; for them an uncertain origin is Known without a version.
type Finding struct {
	// Origin is valid only if it is known.
	Origin    Origin
	Knowledge Knowledge
}

// findingOf returns the finding that one record makes.
func findingOf(origin Origin) Finding { return Finding{Origin: origin, Knowledge: Known} }

// IsCertain reports whether the version that began the stream is known.
func (f Finding) IsCertain() bool { return f.Knowledge == Known && f.Origin.Version != "" }

// Join returns what both findings tell together: the least that is not below either. It is commutative, associative and
// idempotent, so that records may be lost, repeated and reordered.
func (f Finding) Join(other Finding) Finding {
	switch {
	case f.Knowledge == Unknown:
		return other.normalized()
	case other.Knowledge == Unknown:
		return f.normalized()
	case f.Knowledge != Known || other.Knowledge != Known || f.Origin.Service != other.Origin.Service:
		return Finding{Knowledge: Ambiguous}
	case f.Origin.Version == "":
		return other
	case other.Origin.Version == "" || other.Origin == f.Origin:
		return f
	}
	return Finding{Knowledge: Ambiguous}
}

// Either returns what is known of a stream that is the one of either finding: its origin if both have the same, and that it
// is uncertain or ambiguous otherwise. It is commutative.
func (f Finding) Either(other Finding) Finding {
	joined := f.Join(other)
	isUncertain := f.Knowledge == Known && f.Origin.Version == "" || other.Knowledge == Known && other.Origin.Version == ""
	if isUncertain {
		joined.Origin.Version = ""
	}
	return joined
}

// normalized returns the finding without an origin unless it is known. States of later versions of this program count as
// ambiguous.
func (f Finding) normalized() Finding {
	switch f.Knowledge {
	case Known:
		return f
	case Unknown:
		return Finding{}
	}
	return Finding{Knowledge: Ambiguous}
}
