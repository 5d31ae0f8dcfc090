package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// With Options.Versions a service has replicas of two software versions. Some streams break off, and their callers
// resume them at other nodes.
const (
	versionedService, versionedRoute = "versioned", "versioned"
	// versionedCount is the number of replicas, half of them of each version.
	versionedCount = 4
	versionedSlots = 6
	// versionedRate is the number of new streams per second, of which every brokenStreams-th breaks off on its first try.
	versionedRate = 20
	brokenStreams = 3
	versionTries  = 4
)

// The rules on streams and versions.
const (
	// minResumedStreams is the least number of resumed streams that are judged, and minGoOnShare the least share of them
	// that go on, in relation to the share of new streams that begin.
	minResumedStreams = 12
	minGoOnShare      = 0.5
)

// versionedStream is a stream as its caller saw it over all tries.
type versionedStream struct {
	id string
	// route is that of the stream; isUnnamed is true if its caller does not name the request that began it.
	route     string
	isUnnamed bool
	tries     []pieceTry
	// began is true once the caller has an event, resumed if it resumed the stream, and wentOn if that brought an event.
	began, resumed, wentOn bool
	span                   span
}

// pieces returns the events for the judge of pieces.
func (s *versionedStream) pieces(ids platformsim.EventIDs) *pieces {
	return &pieces{name: s.id, route: s.route, startedAt: s.span.from, isResumable: true, count: engineEvents, ids: ids, tries: s.tries}
}

// lastID returns the ID of the last event, 0 without one.
func (s *versionedStream) lastID() int {
	last := 0
	for _, try := range s.tries {
		for _, event := range try.events {
			last = event.ID
		}
	}
	return last
}

// startVersioned starts the replicas of both versions.
func (d *deployment) startVersioned(block string, ids platformsim.EventIDs) error {
	for number := range versionedCount {
		listener, err := listen(hostAddress(block, firstVersionedHost+number, replicaPort))
		if err != nil {
			return err
		}
		d.replicaListeners = append(d.replicaListeners, listener)
		replica := &platformsim.Replica{
			ID: fmt.Sprintf("versioned-%d", number), Service: versionedService, Address: listener.Addr().String(), Zone: "east",
			Version: fmt.Sprintf("v%d", 1+number%2), Slots: versionedSlots, Events: engineEvents, Step: engineStep, EventIDs: ids, NamesRuns: true,
		}
		replica.Incarnation = replica.ID
		replica.SetBehavior(breakOffFirstTries)
		go replica.Serve(listener)
		replica.Register(d.store, "ready")
		d.versioned = append(d.versioned, replica)
	}
	return nil
}

// breakOffFirstTries cuts the first tries of the streams whose IDs say so.
func breakOffFirstTries(request *http.Request) platformsim.Behavior {
	if id := request.Header.Get("X-Attempt-Id"); strings.Contains(id, "broken") && strings.HasSuffix(id, "-0") {
		return platformsim.Cut
	}
	return platformsim.Answer
}

// sendVersioned begins streams of the service with two versions for the duration. The callers of half of those that break
// off don't name them.
func (c *callers) sendVersioned(ctx context.Context, duration time.Duration) {
	c.sendStreams(ctx, duration, func(name string, number int) {
		stream := c.sendStream(versionedStream{id: name, route: versionedRoute, isUnnamed: number%(2*brokenStreams) == 0}, number%nodeCount)
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.streams = append(c.streams, stream)
	})
}

// sendStreams begins streams for the duration, some of which break off. It returns when it started all.
func (c *callers) sendStreams(ctx context.Context, duration time.Duration, send func(name string, number int)) {
	end := time.Now().Add(duration)
	for number := 0; time.Now().Before(end) && ctx.Err() == nil; number++ {
		name := fmt.Sprintf("sound%06d", number)
		if number%brokenStreams == 0 {
			name = fmt.Sprintf("broken%06d", number)
		}
		c.group.Go(func() { send(name, number) })
		time.Sleep(time.Second / versionedRate)
	}
}

// sendStream sends a stream to the node and resumes it at the others until it is complete or its time is over.
func (c *callers) sendStream(stream versionedStream, node int) versionedStream {
	stream.span = span{from: time.Now()}
	first := ""
	for try := range versionTries {
		id := fmt.Sprintf("%s-%d", stream.id, try)
		resumes := stream.began
		isComplete, retryAfter := c.tryStream(&stream, id, first, (node+try)%nodeCount)
		if first == "" && stream.began {
			first = id
		}
		stream.resumed = stream.resumed || resumes
		if isComplete || time.Since(stream.span.from)+retryAfter > requestDeadlineMS*time.Millisecond {
			break
		}
		time.Sleep(retryAfter)
	}
	stream.span.to = time.Now()
	return stream
}

// tryStream sends one try, which resumes the stream that the request first began unless that is empty. It reports
// whether the stream is complete, and when to come back if not.
func (c *callers) tryStream(stream *versionedStream, id, first string, node int) (isComplete bool, retryAfter time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+hostAddress(c.block, node+1, callersPort)+"/"+stream.route+"/", strings.NewReader(stream.id))
	if err != nil {
		return false, 0
	}
	request.Host, request.GetBody = routeHost, nil
	left := requestDeadlineMS*time.Millisecond - time.Since(stream.span.from)
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+tenantKey)
	if first != "" {
		if !stream.isUnnamed {
			request.Header.Set("Resumes", first)
		}
		request.Header.Set("Last-Event-Id", strconv.Itoa(stream.lastID()))
	}
	response, err := c.client.Do(request)
	if err != nil {
		return false, 0
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	try := pieceTry{id: id, node: node, status: response.StatusCode, isComplete: response.StatusCode == http.StatusOK && err == nil}
	stream.add(parsePieces(try, string(body), c.ids), first != "")
	if response.StatusCode != http.StatusOK {
		return false, parseRetryAfter(response.Header.Get("Retry-After"))
	}
	return err == nil, 0
}

// add adds a try.
func (s *versionedStream) add(try pieceTry, resumed bool) {
	s.tries = append(s.tries, try)
	s.began, s.wentOn = s.began || len(try.events) > 0, s.wentOn || resumed && len(try.events) > 0
}

// streamTally counts streams.
type streamTally struct{ sent, began, resumed, wentOn int }

func (t *streamTally) add(stream versionedStream) {
	t.sent++
	for _, count := range []struct {
		applies bool
		counter *int
	}{{stream.began, &t.began}, {stream.resumed, &t.resumed}, {stream.wentOn, &t.wentOn}} {
		if count.applies {
			*count.counter++
		}
	}
}

func (t streamTally) String() string {
	return fmt.Sprintf("%d of %d began, %d of %d resumed ones went on", t.began, t.sent, t.wentOn, t.resumed)
}

// goesOnTooSeldom reports whether resumed streams go on less than minGoOnShare as often as new ones begin.
func (t streamTally) goesOnTooSeldom() bool {
	return t.resumed >= minResumedStreams && float64(t.wentOn)/float64(t.resumed) < minGoOnShare*float64(t.began)/float64(t.sent)
}

// checkVersions checks that resumed streams go on outside of unplanned faults. The judge of pieces checks that streams
// keep to the version that began them.
func checkVersions(result *Result, c *callers, i *injector, violate reportViolation) {
	mixed := 0
	var all, undisturbed streamTally
	for _, stream := range c.streams {
		if stream.pieces(c.ids).mixed() != "" {
			mixed++
		}
		all.add(stream)
		if !slices.ContainsFunc(i.unplanned, stream.span.overlaps) {
			undisturbed.add(stream)
		}
	}
	result.Worst["versions"] = fmt.Sprintf("%d streams of two versions; %v; outside of faults %v", mixed, all, undisturbed)
	if undisturbed.goesOnTooSeldom() {
		violate("streams are resumed too seldom: %v", undisturbed)
	}
}
