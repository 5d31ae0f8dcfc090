package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// maxMixedStreams is the number of streams that may have events of two versions, over all nodes.
const maxMixedStreams = 2

// eventIDsStream is the random stream of the event IDs. Other draws use others. With this stream the seeds of CI have
// all kinds of IDs.
const eventIDsStream = 11_000_027

// Steps between the IDs of two events where they are not consecutive.
const (
	fixedIDStep             = 3
	minIDStep, maxIDStep    = 1, 6
	consecutiveIDShare      = 0.5
	fixedStepIDShare        = 0.25
	minFirstIDs, moreEvents = 2, 256
)

// eventIDKinds name how the IDs of a run's events are counted.
const (
	idsConsecutive = "consecutive"
	idsFixedSteps  = "in steps of 3"
	idsDrawnSteps  = "in steps that change"
)

// drawEventIDs draws how the engines of a run count the IDs of their events. Any two engines that may continue each
// other's streams have the same IDs.
func drawEventIDs(seed uint64) (name string, ids platformsim.EventIDs) {
	random := rand.New(rand.NewPCG(seed, eventIDsStream))
	choice := random.Float64()
	if choice < consecutiveIDShare {
		return idsConsecutive, nil
	}
	id := 0
	for number := range moreEvents {
		step := fixedIDStep
		if choice >= consecutiveIDShare+fixedStepIDShare {
			step = minIDStep + random.IntN(maxIDStep-minIDStep)
			// A replica whose first IDs are consecutive and later ones are not can't be told from one that left out an event.
			if number < minFirstIDs {
				step = max(step, minIDStep+1)
			}
		}
		id += step
		ids = append(ids, id)
	}
	if choice < consecutiveIDShare+fixedStepIDShare {
		return idsFixedSteps, ids
	}
	return idsDrawnSteps, ids
}

// pieceTry is one request of a stream as its caller saw it.
type pieceTry struct {
	id           string
	node, status int
	// isComplete is true if the answer ended as a complete one.
	isComplete bool
	// events are the whole events, rest is the text after the last one, and malformed is set if an event is not one of
	// a replica.
	events    []platformsim.StreamEvent
	rest      string
	malformed error
}

// pieces are the events of a stream as its caller saw them over all tries.
type pieces struct {
	name, route string
	startedAt   time.Time
	// isResumable is true if a run may follow that continues after the last event.
	isResumable bool
	// count is the number of events of a whole stream, and ids are theirs.
	count int
	ids   platformsim.EventIDs
	tries []pieceTry
}

// parsePieces returns a try with the events of the body.
func parsePieces(try pieceTry, body string, ids platformsim.EventIDs) pieceTry {
	if try.status == http.StatusOK {
		try.events, try.rest, try.malformed = platformsim.ParseEvents(body, ids)
	}
	return try
}

// events returns the events of all tries.
func (p *pieces) events() []platformsim.StreamEvent {
	var all []platformsim.StreamEvent
	for _, try := range p.tries {
		all = append(all, try.events...)
	}
	return all
}

// pieceRule is a rule of the judge. It returns what is wrong with the stream, empty if nothing is. A run may break it
// allowed times.
type pieceRule struct {
	name    string
	allowed int
	check   func(p *pieces) string
}

var pieceRules = []pieceRule{
	{"VERSIONS", maxMixedStreams, (*pieces).mixed}, {"ORDER", 0, (*pieces).misordered}, {"ORDER", 0, (*pieces).joined}, {"MIXED", 0, (*pieces).foreign},
}

// mixed finds a stream with events of two versions.
func (p *pieces) mixed() string {
	if len(distinct(p.events(), func(event platformsim.StreamEvent) string { return event.Version })) < 2 {
		return ""
	}
	return "has events of two versions: " + p.describe()
}

// misordered finds a stream with an event that is missing, comes twice or out of order, or that ends as complete before
// its last event.
func (p *pieces) misordered() string {
	last := 0
	for _, try := range p.tries {
		for _, event := range try.events {
			if event.Number != last+1 {
				return fmt.Sprintf("has event %d after event %d: %s", event.Number, last, p.describe())
			}
			last = event.Number
		}
		switch {
		case try.isComplete && (last != p.count || try.rest != ""):
			return fmt.Sprintf("ends as complete after event %d of %d, with %d bytes of another: %s", last, p.count, len(try.rest), p.describe())
		case try.rest != "" && !p.isBeginningOf(try, last+1):
			return fmt.Sprintf("ends after event %d with %.80q: %s", last, try.rest, p.describe())
		}
	}
	return ""
}

// isBeginningOf reports whether the rest of the try is the beginning of the event with the number.
func (p *pieces) isBeginningOf(try pieceTry, number int) bool {
	return number <= p.count && platformsim.StreamEvent{Number: number, ID: p.ids.ID(number), Request: try.id}.HasBeginning(try.rest)
}

// joined finds a stream with events of two runs although it may not be resumed, or of which a run did not begin after
// the last event of the one before.
func (p *pieces) joined() string {
	events := p.events()
	if !p.isResumable && len(distinct(events, senderOf)) > 1 {
		return "may not be resumed and has events of two runs: " + p.describe()
	}
	lastID, last := 0, ""
	for _, event := range events {
		if sender := senderOf(event); sender != last && event.Run > 0 && event.After != lastID {
			return fmt.Sprintf("has event %d, after the one with the ID %d, of a run that began after the ID %d: %s", event.Number, lastID, event.After, p.describe())
		}
		lastID, last = event.ID, senderOf(event)
	}
	return ""
}

// senderOf names the run that sent the event.
func senderOf(event platformsim.StreamEvent) string {
	if event.Run == 0 {
		return event.Incarnation
	}
	return fmt.Sprintf("%s/%d", event.Incarnation, event.Run)
}

// foreign finds an answer with an event of another request, or with what is no event.
func (p *pieces) foreign() string {
	for _, try := range p.tries {
		if try.malformed != nil {
			return fmt.Sprintf("got other bytes than events: %v", try.malformed)
		}
		for _, event := range try.events {
			if event.Request != try.id {
				return fmt.Sprintf("request %s has an event of the request %s that %s (%s) sent", try.id, event.Request, senderOf(event), event.Version)
			}
		}
	}
	return ""
}

// describe returns which runs sent the events of each try.
func (p *pieces) describe() string {
	var parts []string
	for _, try := range p.tries {
		part := fmt.Sprintf("%s at node %d gave %d", try.id, try.node, try.status)
		for number, event := range try.events {
			if number == 0 || senderOf(try.events[number-1]) != senderOf(event) {
				part += fmt.Sprintf(", from event %d %s (%s)", event.Number, senderOf(event), event.Version)
			}
		}
		parts = append(parts, part)
	}
	return strings.Join(parts, "; ")
}

func distinct(events []platformsim.StreamEvent, of func(platformsim.StreamEvent) string) []string {
	var values []string
	for _, event := range events {
		if value := of(event); !slices.Contains(values, value) {
			values = append(values, value)
		}
	}
	return values
}

// checkPieces applies all rules to the streams of a run, which started at the time. It returns the number of streams
// that each of them finds.
func checkPieces(streams []*pieces, startedAt time.Time, violate reportViolation) map[string]int {
	counts := map[string]int{}
	for _, rule := range pieceRules {
		var found []string
		for _, stream := range streams {
			if problem := rule.check(stream); problem != "" {
				found = append(found, fmt.Sprintf("%s: %s (%s), sent at %.2f s, %s", rule.name, stream.name, stream.route, stream.startedAt.Sub(startedAt).Seconds(), problem))
			}
		}
		if len(found) == 0 {
			continue
		}
		counts[rule.name] += len(found)
		if len(found) <= rule.allowed {
			continue
		}
		violate("%s: %d streams in all, %d allowed", rule.name, len(found), rule.allowed)
		for _, line := range found[:min(len(found), maxShownPerRule)] {
			violate("%s", line)
		}
	}
	return counts
}
