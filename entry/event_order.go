package entry

// eventOrder checks that the IDs of the events of one answer rise. IDs that are no integers have no order.
type eventOrder struct {
	last    int64
	hasLast bool
}

// next returns errEventOrder if the ID of the next event does not rise.
func (o *eventOrder) next(id string) error {
	number, isNumber := numericEventID(id)
	if !isNumber {
		return nil
	}
	if o.hasLast && number <= o.last {
		return errEventOrder
	}
	o.last, o.hasLast = number, true
	return nil
}

// relayedIDs are the IDs of the events that the caller has. While all of them are consecutive, the next one is known, so
// that a continuation that begins after it lacks an event. Otherwise nothing shows that.
type relayedIDs struct {
	last int64
	// count is that of the events with an ID, and isIrregular is true once an ID did not follow the one before.
	count       int
	isIrregular bool
	// isNewAnswer is true before the first event of an answer.
	isNewAnswer bool
	// hadBefore is the ID of the last event that the caller had before its request, if it is a number.
	hadBefore    int64
	hasHadBefore bool
}

// resumeAfter records the ID of the last event that the caller has of a stream that it resumes.
func (r *relayedIDs) resumeAfter(id string) { r.hadBefore, r.hasHadBefore = numericEventID(id) }

// minConsecutiveIDs is the number of consecutive IDs that show how they are counted: a replica may number events, or
// what they hold.
const minConsecutiveIDs = 2

// next records the ID of the next event. It returns errEventGap if the event begins a continuation and another event is
// missing before it. A gap within an answer is the replica's own way to count.
func (r *relayedIDs) next(id string) error {
	number, isNumber := numericEventID(id)
	if r.count == 0 && isNumber && r.hasHadBefore && number == r.hadBefore+1 {
		r.last, r.count = r.hadBefore, 1
	}
	follows := isNumber && (r.count == 0 || number == r.last+1)
	if r.isNewAnswer && !follows && isNumber && !r.isIrregular && r.count >= minConsecutiveIDs {
		return errEventGap
	}
	r.isIrregular = r.isIrregular || !follows
	r.last, r.isNewAnswer = number, false
	r.count++
	return nil
}

// isUncheckedContinuation reports whether the event begins a continuation of which nothing shows whether an event is
// missing before it: the IDs so far are too few, not consecutive or no numbers.
func (r *relayedIDs) isUncheckedContinuation(id string) bool {
	number, isNumber := numericEventID(id)
	isFollowing := isNumber && number == r.last+1 && !r.isIrregular
	return r.isNewAnswer && r.count > 0 && !isFollowing && (!isNumber || r.isIrregular || r.count < minConsecutiveIDs)
}
