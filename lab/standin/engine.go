package standin

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"sync"
	"time"

	"github.com/thornwalk/thornwalk/lab/enginesim"
	"github.com/thornwalk/thornwalk/protocol/openai"
	"github.com/thornwalk/thornwalk/structs"
)

// Fault is a fault of an engine or service in the handling of a request.
type Fault int

// Faults of engines and services.
const (
	NoFault Fault = iota
	// DiesBeforeAnswer closes the connection after the request was read. The request
	// continues to run.
	DiesBeforeAnswer
	// DropsRequest closes the connection after the request was read. The engine does
	// not run the request and does not know its id afterwards. Services handle it as
	// DiesBeforeAnswer.
	DropsRequest
	// DiesMidAnswer closes the connection after a part of the answer.
	DiesMidAnswer
	// AnswersTwice sends each event twice. Engines only.
	AnswersTwice
	// AnswersOutOfOrder swaps neighbouring events. Engines only.
	AnswersOutOfOrder
	// AnswersForOther sends an event of another request before each event. Engines
	// only.
	AnswersForOther
	// AnswersLate delays the answer by LateAnswerDelay.
	AnswersLate
)

// LateAnswerDelay is the delay of AnswersLate.
const LateAnswerDelay = 2 * time.Second

// Execution is an engine's or service's record of one request.
type Execution struct {
	RequestID string
	Replica   structs.ReplicaID
	// Count is the number of submissions of the request.
	Count int
	// Key is the Idempotency-Key. Only services record it.
	Key  string
	Body string
	// At is the time of the first submission.
	At time.Time
	// Tokens counts the tokens of the answer so far. Prefilled and Recomputed count
	// prompt tokens, as in enginesim.Job.
	Tokens, Prefilled, Recomputed int
	Priority                      int
	Done, Cancelled               bool
}

// engineJob is a request at the engine with the events of its answer.
type engineJob struct {
	job       *enginesim.Job
	execution *Execution
	chat      bool
	events    [][]byte
	done      bool
	changed   chan struct{}
}

// Engine is a stand-in for a model engine. It is safe for concurrent use. ReportLag and
// ChecksFence must be set before the engine serves requests.
type Engine struct {
	ID structs.ReplicaID
	// ReportLag is the minimum age of the load reports that the engine returns.
	ReportLag time.Duration
	// ChecksFence makes the engine reject load orders with a stale fence.
	ChecksFence bool

	mutex        sync.Mutex
	engine       *enginesim.Engine
	jobs         map[string]*engineJob
	requestIDs   []string
	executions   map[string]*Execution
	models       []string
	leaving      bool
	fence        int64
	orders       []OrderRecord
	selectFault  func(requestID string) Fault
	reports      []timedReport
	events       []structs.CacheEvent
	eventBatches int
	sequence     uint64
	wake         chan struct{}
	stop         chan struct{}
	stopped      sync.WaitGroup
}

type timedReport struct {
	takenAt time.Time
	report  structs.LoadReport
}

// OrderRecord is the engine's record of an order to load a model.
type OrderRecord struct {
	Model    string
	Fence    int64
	Accepted bool
	At       time.Time
}

// NewEngine starts an engine with the models loaded. Blocks in its cache are counted in
// zone, which may be nil. The caller must call Stop.
func NewEngine(id structs.ReplicaID, spec enginesim.Spec, zone *enginesim.ZoneBlocks, models ...string) *Engine {
	e := &Engine{
		ID: id, engine: enginesim.New(spec, zone), jobs: map[string]*engineJob{}, executions: map[string]*Execution{},
		models: models, wake: make(chan struct{}, 1), stop: make(chan struct{}),
	}
	e.stopped.Go(e.run)
	return e
}

// Stop ends the engine and waits until its goroutine has returned. It must be called
// once.
func (e *Engine) Stop() {
	close(e.stop)
	e.stopped.Wait()
}

// SetFault sets the function that selects the fault of each request. Nil means no
// faults.
func (e *Engine) SetFault(selectFault func(requestID string) Fault) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.selectFault = selectFault
}

// SetSlowdown sets the factor by which the duration of each step is multiplied.
func (e *Engine) SetSlowdown(factor float64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.engine.Slowdown = factor
}

// SetLeaving makes the engine report that it is leaving.
func (e *Engine) SetLeaving() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.leaving = true
}

// Executions returns the records of all requests in the order of their first
// submission.
func (e *Engine) Executions() []Execution {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	executions := make([]Execution, 0, len(e.executions))
	for _, id := range e.requestIDs {
		executions = append(executions, *e.executions[id])
	}
	return executions
}

// Orders returns the records of all load orders in the order of their arrival.
func (e *Engine) Orders() []OrderRecord {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]OrderRecord(nil), e.orders...)
}

// run executes the steps of the simulated engine in real time until Stop.
func (e *Engine) run() {
	var progress []enginesim.Progress
	for {
		e.mutex.Lock()
		duration, busy := e.engine.BeginStep()
		e.mutex.Unlock()
		if !busy {
			select {
			case <-e.wake:
				continue
			case <-e.stop:
				return
			}
		}
		if !e.sleep(duration) {
			return
		}
		e.mutex.Lock()
		progress = e.engine.EndStep(progress[:0])
		for _, entry := range progress {
			e.recordProgress(entry)
		}
		e.mutex.Unlock()
	}
}

// sleep waits for the duration. It returns false if the engine was stopped.
func (e *Engine) sleep(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-e.stop:
		return false
	}
}

// TokenText returns the text of a token. It contains the request id and the number of
// the token, counted from one, so that misplaced and missing tokens can be detected.
func TokenText(requestID string, number int) string { return fmt.Sprintf("%s/%d ", requestID, number) }

// recordProgress updates the execution and appends the events of a step. The caller
// holds the mutex.
func (e *Engine) recordProgress(entry enginesim.Progress) {
	job, found := e.jobs[entry.Job.ID]
	if !found {
		return
	}
	job.execution.Tokens = entry.Job.Emitted
	job.execution.Prefilled = entry.Job.Prefilled
	job.execution.Recomputed = entry.Job.Recomputed
	job.events = append(job.events, job.tokenEvent(TokenText(entry.Job.ID, entry.Job.Emitted), entry.Done))
	if entry.Done {
		job.events = append(job.events, job.usageEvent())
		job.done = true
		job.execution.Done = true
	}
	close(job.changed)
	job.changed = make(chan struct{})
}

func (j *engineJob) tokenEvent(text string, last bool) []byte {
	choice := openai.ChunkChoice{}
	if j.chat {
		choice.Delta = &openai.Delta{Content: text}
	} else {
		choice.Text = text
	}
	if last {
		reason := "stop"
		choice.FinishReason = &reason
	}
	return j.encode(openai.Chunk{Choices: []openai.ChunkChoice{choice}})
}

func (j *engineJob) usageEvent() []byte {
	usage := openai.Usage{
		PromptTokens: j.job.PromptTokens, CompletionTokens: j.job.Emitted, TotalTokens: j.job.PromptTokens + j.job.Emitted,
		PromptDetails: &openai.PromptDetails{CachedTokens: j.job.Cached},
	}
	return j.encode(openai.Chunk{Choices: []openai.ChunkChoice{}, Usage: &usage})
}

func (j *engineJob) encode(chunk openai.Chunk) []byte {
	chunk.ID = j.job.ID
	chunk.Object = "text_completion"
	if j.chat {
		chunk.Object = "chat.completion.chunk"
	}
	chunk.Model = "stand-in"
	data, err := json.Marshal(chunk)
	if err != nil {
		panic(err) // unreachable: all values of a chunk can be encoded
	}
	return data
}

// submit starts a request. For a known id it returns the existing job and counts
// another submission.
func (e *Engine) submit(job *enginesim.Job, chat bool, body string) *engineJob {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	execution := e.recordSubmission(job.ID, body)
	execution.Priority = int(job.Rank)
	if existing, found := e.jobs[job.ID]; found {
		return existing
	}
	entry := &engineJob{job: job, execution: execution, chat: chat, changed: make(chan struct{})}
	e.jobs[job.ID] = entry
	e.engine.Submit(job)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return entry
}

// recordSubmission counts a submission. The caller holds the mutex.
func (e *Engine) recordSubmission(id, body string) *Execution {
	execution, found := e.executions[id]
	if !found {
		execution = &Execution{RequestID: id, Replica: e.ID, Body: body, At: time.Now()}
		e.executions[id] = execution
		e.requestIDs = append(e.requestIDs, id)
	}
	execution.Count++
	return execution
}

// cancel ends a request that is not done and removes its job. Its execution is kept.
func (e *Engine) cancel(id string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	entry, found := e.jobs[id]
	if !found || entry.done {
		return
	}
	e.engine.Cancel(id)
	entry.execution.Cancelled = true
	entry.execution.Prefilled = entry.job.Prefilled
	delete(e.jobs, id)
	close(entry.changed)
	entry.changed = make(chan struct{})
}

// report returns the latest report that is at least ReportLag old, or the oldest report
// if all are younger.
func (e *Engine) report() structs.LoadReport {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := time.Now()
	e.sequence++
	current := e.engine.Report()
	current.Replica, current.Sequence = e.ID, e.sequence
	current.Models = append([]string(nil), e.models...)
	current.Role = structs.RoleBoth
	e.reports = append(e.reports, timedReport{takenAt: now, report: current})
	latest := e.reports[0]
	for len(e.reports) > 1 && now.Sub(e.reports[1].takenAt) >= e.ReportLag {
		e.reports = e.reports[1:]
		latest = e.reports[0]
	}
	latest.report.Age = now.Sub(latest.takenAt)
	latest.report.Leaving = e.leaving
	return latest.report
}

// batchesPerEventLoss is the number of batches of cache events of which one is lost.
const batchesPerEventLoss = 10

// cacheEvents returns the events after the sequence number. A lost batch appears as a
// gap in the sequence numbers.
func (e *Engine) cacheEvents(after uint64) []structs.CacheEvent {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	batch := e.engine.CacheEvents()
	e.eventBatches++
	if e.eventBatches%batchesPerEventLoss != 0 {
		e.events = append(e.events, batch...)
	}
	const maxEvents = 4096
	if excess := len(e.events) - maxEvents; excess > 0 {
		e.events = e.events[excess:]
	}
	for i, event := range e.events {
		if event.Sequence > after {
			return append([]structs.CacheEvent(nil), e.events[i:]...)
		}
	}
	return nil
}

// loadModel executes an order to load a model. It returns false if the order is
// rejected because its fence is stale.
func (e *Engine) loadModel(model string, fence int64) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	accepted := !e.ChecksFence || fence >= e.fence
	e.orders = append(e.orders, OrderRecord{Model: model, Fence: fence, Accepted: accepted, At: time.Now()})
	if !accepted {
		return false
	}
	e.fence = max(e.fence, fence)
	for _, loaded := range e.models {
		if loaded == model {
			return true
		}
	}
	e.models = append(e.models, model)
	return true
}

// outputTokens returns the length of an answer: requested if positive, otherwise a
// length derived from the request id. The length is bounded by limit.
func outputTokens(id string, requested, limit int) int {
	if requested > 0 {
		return min(requested, max(limit, 1))
	}
	digest := fnv.New32a()
	_, _ = digest.Write([]byte(id)) // never fails
	const minTokens, tokenRange = 8, 56
	return min(minTokens+int(digest.Sum32()%tokenRange), max(limit, 1))
}

// SetReportLag sets the minimum age of the load reports that the engine returns.
func (e *Engine) SetReportLag(lag time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.ReportLag = lag
}
