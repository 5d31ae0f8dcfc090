package platformsim

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Behavior is how a replica treats one request.
type Behavior int

const (
	// Answer runs the request and answers it.
	Answer Behavior = iota
	// Shed rejects the request with 503 and states that it was not run.
	Shed
	// Fail runs the request and answers 500.
	Fail
	// Reset runs the request and closes the connection without an answer.
	Reset
	// Cut runs the request and closes the connection in the middle of the answer.
	Cut
	// Surplus answers and then sends another response with the id of another request.
	Surplus
	// Stray sends a response with the id of another request before the answer.
	Stray
	// Silent runs the request and sends no answer.
	Silent
	// Unframed answers without a length and without chunks; the end of the connection ends the answer.
	Unframed
	// UnframedCut is Unframed for streams, with the connection closed in the middle of an event.
	UnframedCut
	// Unsigned answers without X-Server-Stamp.
	Unsigned
	// End begins to run the request, and then the replica crashes.
	End
	// Spoil runs the request and sends bytes that are no answer, in the form of SetSpoiledForm.
	Spoil
	// SpoilMidway runs a stream and sends bytes that are no part of the answer in the middle of it.
	SpoilMidway
)

// crashDelay is the time from the start of a run with behavior End to the crash.
const crashDelay = 40 * time.Millisecond

// Run is a request that a replica ran.
type Run struct {
	// At is when the run started.
	At                       time.Time
	ID, Target, Tenant, Host string
	// Authorization is the header's value; nodes must not forward callers' keys.
	Authorization string
	LastEventID   string
	// Header is all headers of the request.
	Header   http.Header
	Body     string
	Deadline time.Duration
	// Cancelled is true if the node closed the connection before the run finished.
	Cancelled bool
	// Completed is true if the run did all of its work, and EndedAt is when it ended, completed or not; zero while it runs.
	Completed bool
	EndedAt   time.Time
	// Spoiled is true if bytes that are no answer were sent.
	Spoiled  bool
	finished bool
	// number is that of the run at its replica, counted from 1.
	number int
	// arrival is the index of the run's arrival in Replica.arrivals.
	arrival int
}

// Pushback is the pushback headers of a replica's answers. Headers with an empty value are omitted.
type Pushback struct {
	// Limit is the value of Server-Limit: requests per second from all nodes together.
	Limit string
	// Leaving is the value of Server-Leaving: "1" if the replica is leaving.
	Leaving string
	// RetryAfter is the value of Retry-After in rejections: the pause in seconds.
	RetryAfter string
}

// headerLines returns the header lines of an answer or a rejection.
func (p Pushback) headerLines(rejects bool) string {
	lines := ""
	for _, header := range []struct{ name, value string }{{"Server-Limit", p.Limit}, {"Server-Leaving", p.Leaving}} {
		if header.value != "" {
			lines += header.name + ": " + header.value + "\r\n"
		}
	}
	if rejects && p.RetryAfter != "" {
		lines += "Retry-After: " + p.RetryAfter + "\r\n"
	}
	return lines
}

// Arrival is a request that reached a replica, run or not.
type Arrival struct {
	ID string
	At time.Time
	// Pushback is the pushback of the answer, whose head was written at HeadAt; both are zero without
	// an answer. Rejected is true if the answer states that the request was not run.
	Pushback Pushback
	HeadAt   time.Time
	Rejected bool
}

// Replica is a server of one service. Its methods are safe for concurrent use.
type Replica struct {
	ID, Service, Address, Zone string
	// Version is the version in its entry; empty means v1. If it is set, each event of a stream names it in a
	// comment.
	Version string
	// Incarnation names this start of the replica. If it is set, each event of a stream names it in a comment.
	Incarnation string
	// StartedAt is the time of its start in Unix milliseconds; zero leaves it out of the entry.
	StartedAt int64
	// Warmup is the remaining warm-up time that Register writes.
	Warmup time.Duration
	// GivesReports makes the replica answer GET /api/report with StartedAt. Otherwise it answers that like any request that
	// names no replica, with 421.
	GivesReports bool
	// OnCrash, if not nil, is called after the replica crashed by behavior End.
	OnCrash func()
	Slots   int
	// Events is the number of events of a streamed answer; zero means plain answers.
	Events int
	// EventIDs are the IDs of these events; none means 1, 2, 3 and so on.
	EventIDs EventIDs
	// NamesRuns makes each event name its run in a comment.
	NamesRuns bool
	// Step is the time before each event, and the duration of a plain run.
	Step time.Duration
	// OnRun, if not nil, is called before each run does any work, from several goroutines.
	OnRun func(Run)

	mutex      sync.Mutex
	behaviorOf func(request *http.Request) Behavior
	pushback   Pushback
	workTime   int
	// spoiledForm is that of answers with behavior Spoil.
	spoiledForm SpoiledForm
	runs        []*Run
	running     int
	arrivals    []Arrival
	maxRunning  int
	reports     int
	listener    net.Listener
	conns       map[net.Conn]bool
	crashed     bool
	// brittleness is nil unless the replica is brittle, and rejections are its recent rejections for lack of
	// room.
	brittleness *Brittleness
	rejections  []time.Time
}

// SetBehavior sets the function that chooses how each request is treated; nil means Answer. It is
// called with the replica's mutex held.
func (r *Replica) SetBehavior(behaviorOf func(request *http.Request) Behavior) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.behaviorOf = behaviorOf
}

// SetPushback sets the pushback of all further answers.
func (r *Replica) SetPushback(pushback Pushback) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.pushback = pushback
}

// SetStep sets Step while the replica serves.
func (r *Replica) SetStep(step time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.Step = step
}

func (r *Replica) step() time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.Step
}

// SetWorkTime sets the work time that all further answers report in a load header, in percent of the
// usual. Without it they have no such header. It does not change how long runs take.
func (r *Replica) SetWorkTime(workTime int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.workTime = workTime
}

// Runs returns copies of the requests that the replica ran, in the order of their start.
func (r *Replica) Runs() []Run {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	runs := make([]Run, len(r.runs))
	for i, run := range r.runs {
		runs[i] = *run
	}
	return runs
}

// Unfinished returns copies of the requests that the replica is running, in the order of their start.
func (r *Replica) Unfinished() []Run {
	return slices.DeleteFunc(r.Runs(), func(run Run) bool { return run.finished })
}

// Arrivals returns the number of requests that reached the replica, run or not.
func (r *Replica) Arrivals() int { r.mutex.Lock(); defer r.mutex.Unlock(); return len(r.arrivals) }

// Arrived returns the requests that reached the replica, run or not, in order of arrival.
func (r *Replica) Arrived() []Arrival {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]Arrival{}, r.arrivals...)
}

// MaxConcurrent returns the highest number of requests that ran at the same time.
func (r *Replica) MaxConcurrent() int { r.mutex.Lock(); defer r.mutex.Unlock(); return r.maxRunning }

// Entry is the replica's value in the store.
type Entry struct {
	Service    string `json:"service"`
	Address    string `json:"address"`
	Zone       string `json:"zone"`
	Version    string `json:"version"`
	Slots      int    `json:"slots"`
	State      string `json:"state"`
	Sequence   int    `json:"sequence"`
	StartedAt  int64  `json:"born,omitempty"`
	WarmupLeft int64  `json:"warmup_left_ms"`
}

// defaultVersion is the version of replicas without one.
const defaultVersion = "v1"

// Register writes the replica's entry with the state and returns its revision.
func (r *Replica) Register(store *Store, state string) int64 {
	return store.PutJSON("servers/"+r.ID, Entry{Service: r.Service, Address: r.Address, Zone: r.Zone, Version: cmp.Or(r.Version, defaultVersion), Slots: r.Slots, State: state, StartedAt: r.StartedAt, WarmupLeft: r.Warmup.Milliseconds()})
}

// Serve accepts connections until the listener is closed.
func (r *Replica) Serve(listener net.Listener) {
	r.mutex.Lock()
	r.listener, r.conns = listener, map[net.Conn]bool{}
	r.mutex.Unlock()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		r.mutex.Lock()
		r.conns[conn] = true
		if r.crashed { // accepted as it crashed
			_ = conn.Close()
		}
		r.mutex.Unlock()
		go r.serveConn(conn)
	}
}

// Crash closes the listener and every connection. It reports whether this is the first call; Serve must
// have been called before.
func (r *Replica) Crash() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.listener.Close()
	for conn := range r.conns {
		_ = conn.Close()
	}
	first := !r.crashed
	r.crashed = true
	return first
}

// HasCrashed reports whether the replica has crashed.
func (r *Replica) HasCrashed() bool { r.mutex.Lock(); defer r.mutex.Unlock(); return r.crashed }

// crashUnderRequest crashes the replica and calls OnCrash, once even if several requests crash it at the
// same time.
func (r *Replica) crashUnderRequest() {
	if r.Crash() && r.OnCrash != nil {
		r.OnCrash()
	}
}

func (r *Replica) serveConn(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		r.mutex.Lock()
		delete(r.conns, conn)
		r.mutex.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil || !r.serveRequest(conn, reader, request, string(body)) {
			return
		}
	}
}

// serveRequest answers one request and reports whether the connection may be used again.
func (r *Replica) serveRequest(conn net.Conn, reader *bufio.Reader, request *http.Request, body string) bool {
	if r.GivesReports && request.Method == http.MethodGet && request.URL.Path == reportPath {
		return r.writeReport(conn)
	}
	behavior, arrival := r.recordArrival(request)
	id := request.Header.Get("X-Attempt-Id")
	switch {
	case request.Header.Get("X-Expect-Instance") != r.ID:
		return writeText(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: "+r.ID+"\r\nContent-Length: 0\r\n\r\n")
	case behavior == Shed || requiresReservation(request.Header) || r.lacksRoom():
		return writeText(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Attempt-Id: "+id+"\r\n"+r.pushbackLines(arrival, true)+"Content-Length: 0\r\n\r\n")
	}
	run := r.beginRun(request, body, arrival)
	defer r.endRun(run)
	if r.OnRun != nil {
		r.OnRun(*run)
	}
	ctx, stop := r.watchDisconnect(conn, reader, run)
	reusable := r.writeResponse(ctx, conn, behavior, id, run)
	stop()
	return reusable
}

// reportPath is the path of the replica's report on itself.
const reportPath = "/api/report"

// writeReport answers with the replica's report on itself, which takes no slot.
func (r *Replica) writeReport(conn net.Conn) bool {
	r.mutex.Lock()
	r.reports++
	body := fmt.Sprintf(`{"stage":"both","models":[],"busy":false,"sequence":0,"queued":0,"running":%d,"handles":0,"state":"ready","born":%d}`, r.running, r.StartedAt)
	r.mutex.Unlock()
	return writeText(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
}

// Reports returns the number of reports that the replica gave.
func (r *Replica) Reports() int { r.mutex.Lock(); defer r.mutex.Unlock(); return r.reports }

// requiresReservation reports whether the request relies on a reserved slot or on reserved memory. The
// replica reserves neither and rejects such requests.
func requiresReservation(header http.Header) bool {
	return header.Get("X-Hold") != "" || header.Get("Kv-From") != ""
}

// recordArrival records the arrival and returns the behavior for the request and the arrival's index.
func (r *Replica) recordArrival(request *http.Request) (Behavior, int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.arrivals = append(r.arrivals, Arrival{ID: request.Header.Get("X-Attempt-Id"), At: time.Now()})
	index := len(r.arrivals) - 1
	if r.behaviorOf == nil {
		return Answer, index
	}
	return r.behaviorOf(request), index
}

// pushbackLines returns the pushback header lines of an answer whose head is written now, and records
// the pushback with the arrival.
func (r *Replica) pushbackLines(arrival int, rejects bool) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	recorded := &r.arrivals[arrival]
	recorded.Pushback, recorded.HeadAt, recorded.Rejected = r.pushback, time.Now(), rejects
	return r.pushback.headerLines(rejects) + r.brittleLine()
}

func (r *Replica) beginRun(request *http.Request, body string, arrival int) *Run {
	deadline, _ := strconv.Atoi(request.Header.Get("X-Deadline-Ms"))
	run := &Run{
		At: time.Now(),
		ID: request.Header.Get("X-Attempt-Id"), Target: request.RequestURI, Host: request.Host, Body: body,
		Tenant: request.Header.Get("X-Tenant"), Authorization: request.Header.Get("Authorization"),
		LastEventID: request.Header.Get("Last-Event-Id"), Header: request.Header, Deadline: time.Duration(deadline) * time.Millisecond,
		arrival: arrival,
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.runs = append(r.runs, run)
	run.number = len(r.runs)
	r.running++
	r.maxRunning = max(r.maxRunning, r.running)
	return run
}

// endRun marks the run as finished; further calls have no effect. A run finishes when its work is done,
// before the last bytes of its answer are written.
func (r *Replica) endRun(run *Run) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !run.finished {
		run.finished, run.EndedAt = true, time.Now()
		r.running--
	}
}

// completeRun marks the run as finished with all of its work done.
func (r *Replica) completeRun(run *Run) {
	r.endRun(run)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	run.Completed = true
}

// cancelRun marks the run as one whose connection the node closed.
func (r *Replica) cancelRun(run *Run) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	run.Cancelled = true
}

// watchDisconnect sets run.Cancelled if the peer closes the connection during the run. The context ends
// when the peer closes or sends more data; the returned function stops the watch and waits for its end.
func (r *Replica) watchDisconnect(conn net.Conn, reader *bufio.Reader, run *Run) (context.Context, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if _, err := reader.Peek(1); err != nil && ctx.Err() == nil {
			r.cancelRun(run)
		}
		cancel()
	}()
	return ctx, func() {
		cancel()
		_ = conn.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = conn.SetReadDeadline(time.Time{})
	}
}

// writeResponse answers the run by the behavior and reports whether the connection may be used again.
func (r *Replica) writeResponse(ctx context.Context, conn net.Conn, behavior Behavior, id string, run *Run) bool {
	switch behavior {
	case Silent:
		<-ctx.Done()
		return false
	case Reset:
		sleep(ctx, r.step())
		return false
	case End:
		if sleep(ctx, crashDelay) {
			r.crashUnderRequest()
		}
		return false
	case Fail:
		sleep(ctx, r.step())
		return writeText(conn, r.responseHead("500 Internal Server Error", id, "", run)+"Content-Length: 3\r\n\r\nbad")
	case Spoil:
		sleep(ctx, r.step())
		r.writeSpoiled(ctx, conn, id, run)
		return false
	case Stray:
		writeText(conn, r.responseHead("200 OK", "another-request", "", nil)+"Content-Length: 5\r\n\r\nother")
	}
	if r.Events > 0 {
		return r.writeStream(ctx, conn, behavior, id, run)
	}
	if sleep(ctx, r.step()) {
		r.completeRun(run)
	}
	r.endRun(run)
	return r.writePlain(conn, behavior, id, run)
}

// PlainBody returns the body of a plain answer to the request.
func PlainBody(id string) string { return "answer to " + id }

func (r *Replica) writePlain(conn net.Conn, behavior Behavior, id string, run *Run) bool {
	body := PlainBody(id)
	switch behavior {
	case Unframed:
		writeText(conn, r.responseHead("200 OK", id, "", run)+"\r\n"+body)
		return false
	case Unsigned:
		return writeText(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nContent-Length: 4\r\n\r\nfake", id))
	case Cut:
		writeText(conn, r.responseHead("200 OK", id, "", run)+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body[:len(body)/2]))
		return false
	}
	writeText(conn, r.responseHead("200 OK", id, "", run)+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
	if behavior == Surplus {
		writeText(conn, r.responseHead("200 OK", "another-request", "", nil)+"Content-Length: 5\r\n\r\nother")
	}
	return true
}

// responseHead returns the status line and common headers of a response. Without a run it contains no
// pushback headers.
func (r *Replica) responseHead(status, id, contentType string, run *Run) string {
	head := "HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + id + "\r\nX-Server-Stamp: " + r.ID + "\r\n"
	if contentType != "" {
		head += "Content-Type: " + contentType + "\r\n"
	}
	if run != nil {
		head += r.pushbackLines(run.arrival, false) + r.loadLine()
	}
	return head
}

// loadLine returns the load header line of an answer, empty if the replica reports no work time.
func (r *Replica) loadLine() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.workTime == 0 {
		return ""
	}
	return fmt.Sprintf("X-Server-Load: %d,0,%d,%d\r\n", r.running, r.Slots, r.workTime)
}

func writeText(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

// sleep waits for the duration. It returns false if the context ends first.
func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}
