package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/entry"
	"github.com/thornwalk/thornwalk/lab/entrylab"
	"github.com/thornwalk/thornwalk/lab/memnet"
	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// These courses send streams beside one kind of disturbance, alone and beside replicas that are replaced in place, and
// judge each stream piece by piece from its caller's side.

const (
	pieceCourseTime = 12 * time.Second
	pieceInterval   = 50 * time.Millisecond
	pieceEngines    = 10
	pieceSlots      = 6
	pieceEvents     = 8
	pieceStep       = 60 * time.Millisecond
	// onceStreams is the number of streams of which one must not run more than once.
	onceStreams = 4
	// pieceTries is the number of tries of a caller, and pieceDeadline the time for all of them.
	pieceTries    = 6
	pieceDeadline = 4 * time.Second
	// minWholeStreams is the number of whole streams without which a course shows nothing.
	minWholeStreams = 100
)

// piece is one event as the caller read it: its ID, its number within the stream, the request that it answers and the
// replica that sent it.
type piece struct {
	id, number                    int
	request, version, incarnation string
}

// parsePieces returns the whole events of a body, and whether all of the body is whole events.
func parsePieces(body string) (pieces []piece, isWhole bool) {
	for {
		text, after, found := strings.Cut(body, "\n\n")
		if !found {
			return pieces, body == ""
		}
		var event piece
		for line := range strings.SplitSeq(text, "\n") {
			if version, found := strings.CutPrefix(line, platformsim.VersionComment); found {
				event.version = version
				continue
			}
			if incarnation, found := strings.CutPrefix(line, platformsim.IncarnationComment); found {
				event.incarnation = incarnation
				continue
			}
			if id, found := strings.CutPrefix(line, "id: "); found {
				event.id, _ = strconv.Atoi(id)
				continue
			}
			if count, _ := fmt.Sscanf(line, "data: part %d of %s", &event.number, &event.request); count != 2 {
				return pieces, false
			}
		}
		pieces, body = append(pieces, event), after
	}
}

// pieceTry is one try of a caller.
type pieceTry struct {
	id, node string
	status   int
	body     string
	// isComplete is true if the body ended as a complete one does.
	isComplete bool
	retryAfter time.Duration
}

// pieceStream is a stream as its caller sees it, over all tries.
type pieceStream struct {
	tries []pieceTry
	// runsOnce is true if the stream must not run more than once.
	runsOnce bool
}

// judge returns the rule that the stream breaks, empty if it breaks none, and whether the caller has all of it.
func (p *pieceStream) judge() (broken string, isWhole bool) {
	held, version, incarnation := 0, "", ""
	for _, try := range p.tries {
		if try.status != http.StatusOK {
			continue
		}
		pieces, isRead := parsePieces(try.body)
		if !isRead && (try.isComplete || strings.Contains(try.body, "HTTP/1")) {
			return "bytes that are no event", false
		}
		for _, event := range pieces {
			switch {
			case event.request != try.id:
				return "of another request", false
			case event.number <= held:
				return "twice", false
			case event.number > held+1:
				return "missing", false
			case version != "" && event.version != version:
				return "two versions", false
			case p.runsOnce && incarnation != "" && event.incarnation != incarnation:
				return "two runs", false
			}
			held, version, incarnation = event.number, event.version, event.incarnation
		}
		if try.isComplete && held < pieceEvents {
			return "early end", false
		}
	}
	return "", held == pieceEvents
}

// pieceCourse describes a course.
type pieceCourse struct {
	// behave chooses how engines treat a send; nil breaks off both sends of the first try of each fifth stream.
	behave func(*http.Request) platformsim.Behavior
	// eventIDs are those of the engines.
	eventIDs platformsim.EventIDs
	// patience is the time without bytes after which callers leave and resume the stream at another node; zero is
	// forever.
	patience time.Duration
	// pace is the time for which callers wait before each read.
	pace   time.Duration
	adjust func(*entry.Settings)
	// fault runs beside the streams; it may be nil.
	fault func(s *pieceScenario)
	// setsClockBack has each start of an engine state an earlier time than the one before.
	setsClockBack bool
	// isReplaced has engines be replaced in place meanwhile.
	isReplaced bool
	// check runs after the streams; it may be nil.
	check func(s *pieceScenario)
	// storeOutages has the store be away now and then.
	storeOutages bool
}

// pieceScenario is a scenario with engines of two versions.
type pieceScenario struct {
	*scenario
	course  *pieceCourse
	random  *rand.Rand
	group   sync.WaitGroup
	mutex   sync.Mutex
	mixed   []*platformsim.Replica
	starts  int
	streams []*pieceStream
	isOver  bool
	isAway  bool
}

// playPieces plays the course.
func playPieces(t *testing.T, course *pieceCourse, test func(s *pieceScenario)) {
	synctest.Test(t, func(t *testing.T) {
		s := &pieceScenario{scenario: &scenario{WithT: gomega.NewWithT(t), fabric: memnet.New()}, course: course, random: rand.New(rand.NewPCG(*firstCourse, 1))}
		s.start(hosts, []string{"east", "west"}, course.adjust)
		for i := range pieceEngines {
			s.startEngine(i, []string{"v1", "v2"}[i%2]).Register(s.deployment.Store, "ready")
		}
		s.awaitReady()
		defer s.stop(hosts)
		time.Sleep(time.Second)
		s.stream()
		s.group.Wait()
		test(s)
	})
}

// startEngine starts an engine on the host with the number, without an entry.
func (s *pieceScenario) startEngine(number int, version string) *platformsim.Replica {
	host := fmt.Sprint("m", number)
	s.mutex.Lock()
	s.starts++
	startedAt := time.Now()
	if s.course.setsClockBack {
		startedAt = startedAt.Add(-time.Duration(s.starts) * time.Minute)
	}
	engine := &platformsim.Replica{
		ID: "i-" + host, Service: "engines", Zone: []string{"east", "west"}[number%2], Version: version, Incarnation: fmt.Sprint(host, ".", s.starts),
		Slots: pieceSlots, Events: pieceEvents, Step: pieceStep, EventIDs: s.course.eventIDs, StartedAt: startedAt.UnixMilli(),
	}
	s.mutex.Unlock()
	engine.SetBehavior(s.course.behave)
	if s.course.behave == nil {
		engine.SetBehavior(breakOff(2))
	}
	s.Expect(s.deployment.StartReplica(host, engine)).To(gomega.Succeed())
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if number < len(s.mixed) {
		s.mixed[number] = engine
	} else {
		s.mixed = append(s.mixed, engine)
	}
	return engine
}

// engine returns the engine that runs on the host with the number.
func (s *pieceScenario) engine(number int) *platformsim.Replica {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.mixed[number]
}

// writeEntry writes the engine's entry, once the store takes it, unless the engine was replaced meanwhile.
func (s *pieceScenario) writeEntry(number int, engine *platformsim.Replica) {
	for s.isStoreAway() {
		time.Sleep(storePoll)
	}
	if s.engine(number) == engine {
		engine.Register(s.deployment.Store, "ready")
	}
}

func (s *pieceScenario) isStoreAway() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.isAway
}

func (s *pieceScenario) setStoreAway(isAway bool) {
	s.mutex.Lock()
	s.isAway = isAway
	s.mutex.Unlock()
	s.deployment.Store.SetDown(isAway)
}

// goesOn reports whether the course goes on, after the pause.
func (s *pieceScenario) goesOn(pause time.Duration) bool {
	time.Sleep(pause)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.isOver
}

// replaceInPlace replaces engines in place by ones of the other version, one after the other.
func (s *pieceScenario) replaceInPlace() {
	for i := 0; s.goesOn(500 * time.Millisecond); i = (i + 3) % pieceEngines {
		number, delay, entryDelay := i, time.Duration(250+s.random.IntN(1200))*time.Millisecond, time.Duration(s.random.IntN(1000))*time.Millisecond
		s.group.Go(func() {
			ended := s.engine(number)
			if !ended.Crash() {
				return // it is being replaced
			}
			time.Sleep(delay)
			next := s.startEngine(number, map[string]string{"v1": "v2", "v2": "v1"}[ended.Version])
			time.Sleep(entryDelay)
			s.writeEntry(number, next)
		})
	}
}

// failStoreRepeatedly takes the store away now and then.
func (s *pieceScenario) failStoreRepeatedly() {
	for s.goesOn(1500 * time.Millisecond) {
		s.setStoreAway(true)
		time.Sleep(2500 * time.Millisecond)
		s.setStoreAway(false)
	}
}

// stream begins streams at the nodes in turn for pieceCourseTime and waits for their ends and those of the faults.
func (s *pieceScenario) stream() {
	faults := []func(){}
	if s.course.fault != nil {
		faults = append(faults, func() { s.course.fault(s) })
	}
	if s.course.isReplaced {
		faults = append(faults, s.replaceInPlace)
	}
	if s.course.storeOutages {
		faults = append(faults, s.failStoreRepeatedly)
	}
	for _, fault := range faults {
		s.group.Go(fault)
	}
	var callers sync.WaitGroup
	started := time.Now()
	for i := 0; time.Since(started) < pieceCourseTime; i++ {
		path := fmt.Sprint("sound", i)
		if i%brokenStreams == 0 {
			path = fmt.Sprint("broken", i)
		}
		callers.Go(func() {
			stream := s.call(i, path)
			s.mutex.Lock()
			defer s.mutex.Unlock()
			s.streams = append(s.streams, stream)
		})
		time.Sleep(pieceInterval)
	}
	callers.Wait()
	s.mutex.Lock()
	s.isOver = true
	s.mutex.Unlock()
}

// call sends a stream and resumes it at the other nodes until it is whole.
func (s *pieceScenario) call(first int, path string) *pieceStream {
	stream, started := &pieceStream{runsOnce: first%onceStreams == 0}, time.Now()
	began, lastID := "", 0
	route, tries := "resume", pieceTries
	if stream.runsOnce {
		route, tries = "stream", 1
	}
	for try := range tries {
		left := pieceDeadline - time.Since(started)
		if left <= 0 {
			break
		}
		got := s.try(hosts[(first+try)%len(hosts)], fmt.Sprintf("%s-%d", path, try), route+"/"+path, left, began, lastID)
		stream.tries = append(stream.tries, got)
		pieces, _ := parsePieces(got.body)
		if len(pieces) > 0 && got.status == http.StatusOK {
			lastID = pieces[len(pieces)-1].id
			if began == "" {
				began = got.id
			}
		}
		if got.status == http.StatusOK && got.isComplete {
			break
		}
		time.Sleep(max(got.retryAfter, 2*time.Millisecond))
	}
	return stream
}

// errImpatient ends a try of a caller that left.
var errImpatient = errors.New("no bytes for too long")

// try sends one request for the stream to the node.
func (s *pieceScenario) try(node, id, path string, left time.Duration, began string, lastID int) pieceTry {
	got := pieceTry{id: id, node: node}
	ctx, cancel := context.WithTimeoutCause(context.Background(), left+time.Second, errImpatient)
	defer cancel()
	impatience := func() {}
	if s.course.patience > 0 {
		timer := time.AfterFunc(s.course.patience, cancel)
		defer timer.Stop()
		impatience = func() { timer.Reset(s.course.patience) }
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entrylab.CallersAddress(node)+"/"+path, strings.NewReader(path))
	s.Expect(err).NotTo(gomega.HaveOccurred())
	request.Host = "service.example"
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer key-1")
	if began != "" {
		request.Header.Set("Resumes", began)
		request.Header.Set("Last-Event-Id", strconv.Itoa(lastID))
	}
	transport := &http.Transport{DialContext: s.dialFromCaller, DisableKeepAlives: true, ReadBufferSize: 128}
	defer transport.CloseIdleConnections()
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		return got
	}
	defer response.Body.Close()
	got.status = response.StatusCode
	wait, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	got.retryAfter = time.Duration(wait * float64(time.Second))
	var body strings.Builder
	part := make([]byte, 64)
	for {
		impatience()
		time.Sleep(s.course.pace)
		count, err := response.Body.Read(part)
		body.Write(part[:count])
		if err != nil {
			got.body, got.isComplete = body.String(), errors.Is(err, io.EOF)
			return got
		}
	}
}

// verdicts counts the streams by the rule that they break, and the whole ones.
func (s *pieceScenario) verdicts(t *testing.T) (broken map[string]int, whole, resumed int) {
	broken = map[string]int{}
	for _, stream := range s.streams {
		rule, isWhole := stream.judge()
		if isWhole {
			whole++
		}
		answers := slices.DeleteFunc(slices.Clone(stream.tries), func(try pieceTry) bool { return try.status != http.StatusOK || try.body == "" })
		if len(answers) > 1 {
			resumed++
		}
		if rule == "" {
			continue
		}
		if broken[rule]++; broken[rule] <= 2 {
			t.Logf("%s:", rule)
			for _, try := range stream.tries {
				t.Logf("  %s at %s: %d, complete %v, %q", try.id, try.node, try.status, try.isComplete, try.body)
			}
		}
	}
	return broken, whole, resumed
}

// unevenIDs rise by one at first, and by other steps later on.
func unevenIDs() platformsim.EventIDs {
	var ids platformsim.EventIDs
	for number := 1; number <= pieceEvents; number++ {
		beyond := max(number-3, 0)
		ids = append(ids, number+beyond*beyond)
	}
	return ids
}

// mixBehaviors draws the behavior of each send to streams that may break off, and of some others.
func mixBehaviors(behaviors ...platformsim.Behavior) func(*http.Request) platformsim.Behavior {
	random := rand.New(rand.NewPCG(1, 2))
	var mutex sync.Mutex
	return func(request *http.Request) platformsim.Behavior {
		mutex.Lock()
		defer mutex.Unlock()
		if strings.HasPrefix(request.Header.Get("X-Attempt-Id"), "broken") || random.IntN(6) == 0 {
			return behaviors[random.IntN(len(behaviors))]
		}
		return platformsim.Answer
	}
}

// inTurn runs the change for each node in turn until the course is over.
func inTurn(pause time.Duration, change func(s *pieceScenario, host string)) func(*pieceScenario) {
	return func(s *pieceScenario) {
		for i := 0; s.goesOn(pause); i++ {
			change(s, hosts[i%len(hosts)])
		}
	}
}

func (s *pieceScenario) startNode(host string) {
	s.Expect(s.deployment.StartNode(host, []string{"east", "west"}[slices.Index(hosts, host)%2])).To(gomega.Succeed())
}

// loseNodePower ends the node on the host without a word to its peers, and starts it again.
func loseNodePower(s *pieceScenario, host string) {
	others := append(slices.DeleteFunc(slices.Clone(hosts), func(other string) bool { return other == host }), "store", "caller")
	for i := range pieceEngines {
		others = append(others, fmt.Sprint("m", i))
	}
	s.fabric.Partition([]string{host}, others)
	s.deployment.Node(host).Kill()
	time.Sleep(time.Second)
	s.fabric.Heal()
	s.startNode(host)
}

// loseEnginePower ends engines without a word to the nodes. Others take their hosts and IDs.
func loseEnginePower(s *pieceScenario) {
	for i := 0; s.goesOn(time.Second); i = (i + 3) % pieceEngines {
		host, ended := fmt.Sprint("m", i), s.engine(i)
		s.fabric.Partition([]string{host}, hosts)
		if !ended.Crash() {
			s.fabric.Heal()
			continue
		}
		time.Sleep(600 * time.Millisecond)
		s.fabric.Heal()
		next := s.startEngine(i, map[string]string{"v1": "v2", "v2": "v1"}[ended.Version])
		time.Sleep(400 * time.Millisecond)
		s.writeEntry(i, next)
	}
}

// loseHalfOfPower returns a fault that ends half of the engines at once without a word to the nodes, every few seconds.
// Others take their hosts and IDs after the time.
func loseHalfOfPower(after time.Duration) func(*pieceScenario) {
	return func(s *pieceScenario) { s.loseHalfOfPower(after) }
}

func (s *pieceScenario) loseHalfOfPower(after time.Duration) {
	for s.goesOn(3 * time.Second) {
		ended := map[int]*platformsim.Replica{}
		var lost []string
		for i := range pieceEngines / 2 {
			lost = append(lost, fmt.Sprint("m", i))
		}
		s.fabric.Partition(lost, hosts)
		for i := range lost {
			if engine := s.engine(i); engine.Crash() {
				ended[i] = engine
			}
		}
		time.Sleep(after)
		s.fabric.Heal()
		for i, engine := range ended {
			delay := time.Duration(s.random.IntN(300)) * time.Millisecond
			s.group.Go(func() {
				time.Sleep(delay)
				next := s.startEngine(i, map[string]string{"v1": "v2", "v2": "v1"}[engine.Version])
				time.Sleep(400 * time.Millisecond)
				s.writeEntry(i, next)
			})
		}
		time.Sleep(4 * time.Second)
	}
}

// changeConfigurations writes configurations in quick succession, some of which change a quota and a timeout.
func changeConfigurations(s *pieceScenario) {
	for i := 0; s.goesOn(330 * time.Millisecond); i++ {
		s.configure(func(configuration *entrylab.Configuration) {
			configuration.Tenants[0].Rate, configuration.Tenants[0].Burst = float64(10_000*(1+i%2)), 20_000
			for route := range configuration.Routes {
				configuration.Routes[route].Timeout = 4000 + 500*(i%3)
			}
		})
	}
}

// holdMemory sends bodies that together are more than a node may hold.
func holdMemory(s *pieceScenario) {
	for s.goesOn(100 * time.Millisecond) {
		for _, host := range hosts {
			s.group.Go(func() {
				s.do(host, http.MethodPost, "/once/", func(request *http.Request) {
					const size = 1 << 20
					request.Body, request.ContentLength = io.NopCloser(io.LimitReader(slowZeros{}, size)), size
				})
			})
		}
	}
}

// expectLittleMemory expects that the nodes ended requests for lack of memory.
func expectLittleMemory(s *pieceScenario) {
	s.Expect(s.counters("ended_memory_full ")).To(gomega.BeNumerically(">", 0))
}

// slowZeros is an endless reader that waits before each part.
type slowZeros struct{}

func (slowZeros) Read(content []byte) (int, error) {
	time.Sleep(20 * time.Millisecond)
	clear(content)
	return len(content), nil
}

// restoreStore restores the store from a copy that is some seconds old, or has it forget its history. Replicas write
// their entries again with their next heartbeats.
func restoreStore(s *pieceScenario) {
	for i := 0; s.goesOn(1500 * time.Millisecond); i++ {
		backup := s.deployment.Store.Backup()
		time.Sleep(2 * time.Second)
		if i%2 == 1 {
			s.deployment.Store.Compact()
			continue
		}
		s.setStoreAway(true)
		time.Sleep(500 * time.Millisecond)
		s.setStoreAway(false)
		s.deployment.Store.Restore(backup)
		for number := range pieceEngines {
			s.group.Go(func() {
				time.Sleep(time.Duration(200+100*number) * time.Millisecond)
				if engine := s.engine(number); !engine.HasCrashed() {
					s.writeEntry(number, engine)
				}
			})
		}
	}
}

// refuseLeases has the store refuse all calls while the entries of engines run out.
func refuseLeases(s *pieceScenario) {
	for s.goesOn(1500 * time.Millisecond) {
		s.setStoreAway(true)
		time.Sleep(1500 * time.Millisecond)
		for number := range pieceEngines / 2 {
			s.deployment.Store.Delete("servers/" + s.engine(number).ID)
		}
		time.Sleep(time.Second)
		s.setStoreAway(false)
		time.Sleep(700 * time.Millisecond)
		for number := range pieceEngines / 2 {
			if engine := s.engine(number); !engine.HasCrashed() {
				s.writeEntry(number, engine)
			}
		}
	}
}

var pieceCourses = map[string]pieceCourse{
	"calm":                           {},
	"time of day set back":           {setsClockBack: true},
	"configurations":                 {fault: changeConfigurations},
	"resets midway":                  {behave: mixBehaviors(platformsim.Cut, platformsim.Reset, platformsim.Cut, platformsim.Answer)},
	"spoiled midway, cuts":           {behave: mixBehaviors(platformsim.SpoilMidway, platformsim.Cut, platformsim.SpoilMidway, platformsim.Answer)},
	"slow engines":                   {fault: func(s *pieceScenario) { s.engine(1).SetStep(5 * pieceStep); s.engine(2).SetStep(5 * pieceStep) }},
	"nodes lose power":               {fault: inTurn(2*time.Second, loseNodePower), patience: 800 * time.Millisecond},
	"engines lose power":             {fault: loseEnginePower, patience: 800 * time.Millisecond},
	"half of the engines lose power": {fault: loseHalfOfPower(1200 * time.Millisecond), patience: 800 * time.Millisecond},
	"one node without a store": {fault: func(s *pieceScenario) {
		s.fabric.Partition(hosts[:1], []string{"store"})
		time.Sleep(9 * time.Second)
		s.fabric.Heal()
	}},
	"store busy, leases end":    {fault: refuseLeases},
	"little memory":             {fault: holdMemory, adjust: func(settings *entry.Settings) { settings.BufferMB = 4 }, check: expectLittleMemory},
	"event IDs of uneven steps": {eventIDs: unevenIDs()},
	"store restored":            {fault: restoreStore},
	"planned stops": {
		adjust: func(settings *entry.Settings) { settings.StopGrace = 2500 },
		fault:  inTurn(500*time.Millisecond, func(s *pieceScenario, host string) { s.deployment.Node(host).Stop(); s.startNode(host) }),
	},
	"slow callers": {pace: 90 * time.Millisecond},
	"nodes freeze": {
		patience: 300 * time.Millisecond,
		fault: inTurn(700*time.Millisecond, func(s *pieceScenario, host string) {
			s.fabric.Pause(host)
			time.Sleep(900 * time.Millisecond)
			s.fabric.Resume(host)
		}),
	},
}

// Guards against a judge of pieces that finds nothing.
func TestPiecesOfStreamsAreJudged(t *testing.T) {
	events := func(request, version string, numbers ...int) string {
		var text strings.Builder
		for _, number := range numbers {
			text.WriteString(platformsim.VersionComment + version + "\n" + platformsim.Event(request, number))
		}
		return text.String()
	}
	ofReplica := func(replica string, from, to int) string {
		var text strings.Builder
		for number := from; number <= to; number++ {
			text.WriteString(platformsim.IncarnationComment + replica + "\n" + platformsim.Event("a-0", number))
		}
		return text.String()
	}
	try := func(id string, isComplete bool, body string) pieceTry {
		return pieceTry{id: id, status: http.StatusOK, isComplete: isComplete, body: body}
	}
	first := try("a-0", false, events("a-0", "v1", 1, 2, 3)+"id: 4")
	for name, testCase := range map[string]struct {
		tries  []pieceTry
		broken string
	}{
		"whole":              {[]pieceTry{first, try("a-1", true, events("a-1", "v1", 4, 5, 6, 7, 8))}, ""},
		"broken off":         {[]pieceTry{first}, ""},
		"refused":            {[]pieceTry{first, {id: "a-1", status: http.StatusServiceUnavailable, isComplete: true}}, ""},
		"twice":              {[]pieceTry{first, try("a-1", false, events("a-1", "v1", 3, 4))}, "twice"},
		"back":               {[]pieceTry{try("a-0", false, events("a-0", "v1", 1, 2, 1))}, "twice"},
		"missing":            {[]pieceTry{first, try("a-1", false, events("a-1", "v1", 5))}, "missing"},
		"first one missing":  {[]pieceTry{try("a-0", false, events("a-0", "v1", 2))}, "missing"},
		"two versions":       {[]pieceTry{first, try("a-1", false, events("a-1", "v2", 4))}, "two versions"},
		"of another request": {[]pieceTry{first, try("a-1", false, events("a-0", "v1", 4))}, "of another request"},
		"two replicas":       {[]pieceTry{try("a-0", true, ofReplica("m0", 1, 4)+ofReplica("m1", 5, 8))}, ""},
		"early end":          {[]pieceTry{try("a-0", true, events("a-0", "v1", 1, 2, 3))}, "early end"},
		"empty end":          {[]pieceTry{first, try("a-1", true, "")}, "early end"},
		"end within a piece": {[]pieceTry{try("a-0", true, events("a-0", "v1", 1, 2)+"id: 3")}, "bytes that are no event"},
		"other bytes":        {[]pieceTry{try("a-0", true, "HTTP/1.1 200 OK\n\n")}, "bytes that are no event"},
	} {
		stream := &pieceStream{tries: testCase.tries}
		if broken, _ := stream.judge(); broken != testCase.broken {
			t.Errorf("%s: judged as %q", name, broken)
		}
	}
	once := &pieceStream{tries: []pieceTry{try("a-0", true, ofReplica("m0", 1, 4)+ofReplica("m1", 5, 8))}, runsOnce: true}
	if broken, _ := once.judge(); broken != "two runs" {
		t.Errorf("two runs: judged as %q", broken)
	}
}

// Guards against streams in which a piece is missing, comes twice or is of another request, that hold pieces of two
// versions, or that end early and look complete, beside each kind of disturbance.
func TestPiecesOfStreamsAreInOrder(t *testing.T) {
	for _, name := range slices.Sorted(maps.Keys(pieceCourses)) {
		for variant, change := range map[string]func(*pieceCourse){
			"":                                  func(*pieceCourse) {},
			", replaced in place, store outage": func(course *pieceCourse) { course.isReplaced, course.storeOutages = true, true },
		} {
			course := pieceCourses[name]
			change(&course)
			t.Run(name+variant, func(t *testing.T) {
				t.Parallel()
				playPieces(t, &course, func(s *pieceScenario) { s.expectOrder(t) })
			})
		}
	}
}

// expectOrder expects that no stream breaks a rule, but for the few that may hold two versions.
func (s *pieceScenario) expectOrder(t *testing.T) {
	broken, whole, resumed := s.verdicts(t)
	t.Logf("%d streams, %d whole, %d went on after they were resumed, broken: %v", len(s.streams), whole, resumed, broken)
	s.Expect(whole).To(gomega.BeNumerically(">=", minWholeStreams))
	if s.course.check != nil {
		s.course.check(s)
	}
	for rule, count := range broken {
		allowed := 0
		if rule == "two versions" {
			allowed = mixedStreamsAllowed
		}
		s.Expect(count).To(gomega.BeNumerically("<=", allowed), rule)
	}
}

// Guards against streams that go on at another version where many engines lose power, and others are back at their
// addresses before anything that was under way there has been silent for long.
func TestPiecesAreInOrderWhereEnginesLosePowerForAMoment(t *testing.T) {
	for _, after := range []time.Duration{400 * time.Millisecond, 600 * time.Millisecond, 800 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			t.Parallel()
			course := pieceCourse{fault: loseHalfOfPower(after), patience: 800 * time.Millisecond}
			playPieces(t, &course, func(s *pieceScenario) { s.expectOrder(t) })
		})
	}
}
