package platformsim

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Behavior is how a replica treats one request.
type Behavior int

// The behaviors.
const (
	// Answer runs the request and answers it.
	Answer Behavior = iota
	// Shed proves that the request was not run.
	Shed
	// Fail runs the request and answers 500.
	Fail
	// Reset runs the request and closes the connection without an answer.
	Reset
	// Cut runs the request and closes the connection in the middle of the answer.
	Cut
	// Surplus answers, and then answers again under another request's id.
	Surplus
	// Stray first sends the answer to another request.
	Stray
	// Silent runs the request and says nothing.
	Silent
	// Unframed answers without a length and ends with the connection.
	Unframed
	// Unsigned answers without the replica's signature.
	Unsigned
	// End begins to run the request, and then the whole replica ends.
	End
)

// endDelay is how long a replica runs a request under which it ends.
const endDelay = 40 * time.Millisecond

// Run is a request that a replica ran.
type Run struct {
	// At is when it began.
	At                       time.Time
	ID, Target, Tenant, Host string
	// Authorization must be empty: the key is not the replica's business.
	Authorization string
	LastEvent     string
	// Header is all that came with the request.
	Header   http.Header
	Body     string
	Deadline time.Duration
	// Cancelled is true if the connection closed before the end.
	Cancelled bool
	over      bool
	// arrival is the number of the run's arrival.
	arrival int
}

// Pushback is what a replica says in all its answers to hold requests back, as the values of the
// headers; empty ones are left out.
type Pushback struct {
	// Limit is the requests a second that it takes from all nodes together.
	Limit string
	// Leaving is "1" if it leaves.
	Leaving string
	// RetryAfter is the seconds of rest that it asks for where it refuses.
	RetryAfter string
}

// lines are the header lines of an answer.
func (p Pushback) lines(refuses bool) string {
	lines := ""
	for _, header := range []struct{ name, value string }{{"Server-Limit", p.Limit}, {"Server-Leaving", p.Leaving}} {
		if header.value != "" {
			lines += header.name + ": " + header.value + "\r\n"
		}
	}
	if refuses && p.RetryAfter != "" {
		lines += "Retry-After: " + p.RetryAfter + "\r\n"
	}
	return lines
}

// Arrival is a request that reached a replica, run or not.
type Arrival struct {
	ID string
	At time.Time
	// Said is what the answer says, whose head was written at HeadAt; zero if there was none.
	// Refused is true if it proves that nothing was run.
	Said    Pushback
	HeadAt  time.Time
	Refused bool
}

// Replica is a server of one service. It is safe for concurrent use.
type Replica struct {
	ID, Service, Address, Zone string
	// Version is that of its software; empty means the first.
	Version string
	// Born is the Unix millisecond of its start, and zero if it tells none.
	Born int64
	// Warmup is how long it says to stay cold, as its entry is written.
	Warmup time.Duration
	// OnEnd is called, if it is not nil, when the replica ended under a request.
	OnEnd func()
	Slots int
	// Events is the number of events of a stream; zero makes a plain answer.
	Events int
	// Step is the time between two events, and the time of a plain answer.
	Step time.Duration

	mutex    sync.Mutex
	behave   func(request *http.Request) Behavior
	says     Pushback
	runs     []*Run
	running  int
	arrivals []Arrival
	most     int
	listener net.Listener
	conns    map[net.Conn]bool
	ended    bool
}

// SetBehavior sets how requests are treated; nil means Answer.
func (r *Replica) SetBehavior(behave func(request *http.Request) Behavior) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.behave = behave
}

// Say sets what the replica says in all its answers from now on.
func (r *Replica) Say(says Pushback) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.says = says
}

// Runs returns what the replica ran.
func (r *Replica) Runs() []Run {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	runs := make([]Run, len(r.runs))
	for i, run := range r.runs {
		runs[i] = *run
	}
	return runs
}

// Arrivals returns how many requests reached the replica, and MostAtOnce how
// many it ever ran at the same time.
func (r *Replica) Arrivals() int { r.mutex.Lock(); defer r.mutex.Unlock(); return len(r.arrivals) }

// Arrived returns the requests that reached the replica, run or not, in their order.
func (r *Replica) Arrived() []Arrival {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]Arrival{}, r.arrivals...)
}

// MostAtOnce returns the largest number of requests that ran at the same time.
func (r *Replica) MostAtOnce() int { r.mutex.Lock(); defer r.mutex.Unlock(); return r.most }

// Entry is the replica's value in the store.
type Entry struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	Sequence int    `json:"sequence"`
	Born     int64  `json:"born,omitempty"`
	Warmup   int64  `json:"warmup_left_ms"`
}

// firstVersion is that of replicas that name none.
const firstVersion = "v1"

// Register writes the replica's entry with the state.
func (r *Replica) Register(store *Store, state string) int64 {
	return store.PutJSON("servers/"+r.ID, Entry{Service: r.Service, Address: r.Address, Zone: r.Zone, Version: cmp.Or(r.Version, firstVersion), Slots: r.Slots, State: state, Born: r.Born, Warmup: r.Warmup.Milliseconds()})
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
		r.mutex.Unlock()
		go r.serveConn(conn)
	}
}

// Crash closes the listener and every connection. It returns false if that was done before.
func (r *Replica) Crash() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.listener.Close()
	for conn := range r.conns {
		_ = conn.Close()
	}
	first := !r.ended
	r.ended = true
	return first
}

// endUnder crashes the replica under a request, which several may do at once.
func (r *Replica) endUnder() {
	if r.Crash() && r.OnEnd != nil {
		r.OnEnd()
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
		if err != nil || !r.answer(conn, reader, request, string(body)) {
			return
		}
	}
}

// answer returns whether the connection may be used again.
func (r *Replica) answer(conn net.Conn, reader *bufio.Reader, request *http.Request, body string) bool {
	behavior, arrival := r.arrive(request)
	id := request.Header.Get("X-Attempt-Id")
	switch {
	case request.Header.Get("X-Expect-Instance") != r.ID:
		return write(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: "+r.ID+"\r\nContent-Length: 0\r\n\r\n")
	case behavior == Shed || namesUnknownMemory(request.Header):
		return write(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Attempt-Id: "+id+"\r\n"+r.tell(arrival, true)+"Content-Length: 0\r\n\r\n")
	}
	run := r.begin(request, body)
	run.arrival = arrival
	defer r.end(run)
	ctx, stop := r.watchClose(conn, reader, run)
	again := r.respond(ctx, conn, behavior, id, run)
	stop()
	return again
}

// namesUnknownMemory returns whether the request relies on a slot or on memory that
// was set aside for it. This replica sets nothing aside, so it refuses all of them.
func namesUnknownMemory(header http.Header) bool {
	return header.Get("X-Hold") != "" || header.Get("Kv-From") != ""
}

// arrive enters the request and returns how it is treated, and the number of the arrival.
func (r *Replica) arrive(request *http.Request) (Behavior, int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.arrivals = append(r.arrivals, Arrival{ID: request.Header.Get("X-Attempt-Id"), At: time.Now()})
	number := len(r.arrivals) - 1
	if r.behave == nil {
		return Answer, number
	}
	return r.behave(request), number
}

// tell records what the answer says whose head is written now, and returns its lines.
func (r *Replica) tell(arrival int, refuses bool) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	told := &r.arrivals[arrival]
	told.Said, told.HeadAt, told.Refused = r.says, time.Now(), refuses
	return r.says.lines(refuses)
}

func (r *Replica) begin(request *http.Request, body string) *Run {
	deadline, _ := strconv.Atoi(request.Header.Get("X-Deadline-Ms"))
	run := &Run{
		At: time.Now(),
		ID: request.Header.Get("X-Attempt-Id"), Target: request.RequestURI, Host: request.Host, Body: body,
		Tenant: request.Header.Get("X-Tenant"), Authorization: request.Header.Get("Authorization"),
		LastEvent: request.Header.Get("Last-Event-Id"), Header: request.Header, Deadline: time.Duration(deadline) * time.Millisecond,
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.runs = append(r.runs, run)
	r.running++
	r.most = max(r.most, r.running)
	return run
}

// end counts the run as over, once. A run is over when its work is done, which
// is before the last bytes of its answer are out.
func (r *Replica) end(run *Run) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !run.over {
		run.over = true
		r.running--
	}
}

// watchClose notes when the other side closes while the request runs. The stop
// function ends the watch.
func (r *Replica) watchClose(conn net.Conn, reader *bufio.Reader, run *Run) (context.Context, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if _, err := reader.Peek(1); err != nil && ctx.Err() == nil {
			r.mutex.Lock()
			run.Cancelled = true
			r.mutex.Unlock()
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

// respond writes the answer and returns whether the connection may be used again.
func (r *Replica) respond(ctx context.Context, conn net.Conn, behavior Behavior, id string, run *Run) bool {
	switch behavior {
	case Silent:
		<-ctx.Done()
		return false
	case Reset:
		wait(ctx, r.Step)
		return false
	case End:
		if wait(ctx, endDelay) {
			r.endUnder()
		}
		return false
	case Fail:
		wait(ctx, r.Step)
		return write(conn, r.head("500 Internal Server Error", id, "", run)+"Content-Length: 3\r\n\r\nbad")
	case Stray:
		write(conn, r.head("200 OK", "another-request", "", nil)+"Content-Length: 5\r\n\r\nother")
	}
	if r.Events > 0 {
		return r.stream(ctx, conn, behavior, id, run)
	}
	wait(ctx, r.Step)
	r.end(run)
	return r.plain(conn, behavior, id, run)
}

// PlainBody is the answer of a plain service to the request.
func PlainBody(id string) string { return "answer to " + id }

func (r *Replica) plain(conn net.Conn, behavior Behavior, id string, run *Run) bool {
	body := PlainBody(id)
	switch behavior {
	case Unframed:
		write(conn, r.head("200 OK", id, "", run)+"\r\n"+body)
		return false
	case Unsigned:
		return write(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nContent-Length: 4\r\n\r\nfake", id))
	case Cut:
		write(conn, r.head("200 OK", id, "", run)+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body[:len(body)/2]))
		return false
	}
	write(conn, r.head("200 OK", id, "", run)+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
	if behavior == Surplus {
		write(conn, r.head("200 OK", "another-request", "", nil)+"Content-Length: 5\r\n\r\nother")
	}
	return true
}

// Event is the text of one event of a stream.
func Event(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: part %d of %s\n\n", number, number, id)
}

func (r *Replica) stream(ctx context.Context, conn net.Conn, behavior Behavior, id string, run *Run) bool {
	first, _ := strconv.Atoi(run.LastEvent)
	write(conn, r.head("200 OK", id, "text/event-stream", run)+"Transfer-Encoding: chunked\r\n\r\n")
	for number := first + 1; number <= r.Events; number++ {
		if !wait(ctx, r.Step) {
			return false
		}
		event := Event(run.LastEvent+id, number)
		if run.LastEvent != "" {
			event = Event(id, number)
		}
		if behavior == Cut && number > r.Events/2 {
			write(conn, chunk(event[:len(event)/2]))
			return false
		}
		if !write(conn, chunk(event)) {
			return false
		}
	}
	r.end(run)
	return write(conn, "0\r\n\r\n")
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// head returns the head of the answer to a run; one that belongs to no run says nothing beside.
func (r *Replica) head(status, id, contentType string, run *Run) string {
	head := "HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + id + "\r\nX-Server-Stamp: " + r.ID + "\r\n"
	if contentType != "" {
		head += "Content-Type: " + contentType + "\r\n"
	}
	if run != nil {
		head += r.tell(run.arrival, false)
	}
	return head
}

func write(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

// wait returns false if the context ended first.
func wait(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}
