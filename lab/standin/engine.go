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

// Misbehavior is how an engine or service fails a request.
type Misbehavior int

// The misbehaviors.
const (
	Behaves Misbehavior = iota
	// DiesBeforeAnswer closes the connection after reading the request; the
	// request runs on.
	DiesBeforeAnswer
	// ForgetsRequest closes the connection after reading the request, which is
	// lost: the engine does not know it afterwards.
	ForgetsRequest
	// DiesMidAnswer closes the connection after a few events.
	DiesMidAnswer
	// AnswersTwice sends each event twice.
	AnswersTwice
	// AnswersOutOfOrder swaps neighbouring events.
	AnswersOutOfOrder
	// AnswersForOther sends an event of another request in between.
	AnswersForOther
	// AnswersLate holds the answer back for LateBy.
	AnswersLate
)

// LateBy is the delay of AnswersLate.
const LateBy = 2 * time.Second

// Execution is what an engine or service recorded of one request.
type Execution struct {
	RequestID string
	Replica   structs.ReplicaID
	// Count is how often the request was submitted.
	Count int
	// Key is the Idempotency-Key, which services see.
	Key  string
	Body string
	// At is the time of the first submission.
	At time.Time
	// Tokens is the length of the answer; Prefilled and Recomputed count
	// prompt tokens.
	Tokens, Prefilled, Recomputed int
	Priority                      int
	Done, Cancelled               bool
}

// engineJob is a request at the stand-in with its events.
type engineJob struct {
	job       *enginesim.Job
	execution *Execution
	chat      bool
	events    [][]byte
	done      bool
	changed   chan struct{}
}

// Engine stands in for a model engine.
type Engine struct {
	ID structs.ReplicaID
	// ReportLag is the age of the load that the engine reports.
	ReportLag time.Duration
	// ChecksFence makes it refuse orders with a stale fence.
	ChecksFence bool

	mutex      sync.Mutex
	engine     *enginesim.Engine
	jobs       map[string]*engineJob
	order      []string
	executions map[string]*Execution
	models     []string
	leaving    bool
	fence      int64
	orders     []OrderRecord
	misbehave  func(requestID string) Misbehavior
	reports    []datedReport
	events     []structs.CacheEvent
	eventGap   int
	sequence   uint64
	wake       chan struct{}
	stop       chan struct{}
	stopped    sync.WaitGroup
}

type datedReport struct {
	at     time.Time
	report structs.LoadReport
}

// OrderRecord is an order as the engine saw it.
type OrderRecord struct {
	Model    string
	Fence    int64
	Accepted bool
	At       time.Time
}

// NewEngine starts a stand-in that holds the models.
func NewEngine(id structs.ReplicaID, spec enginesim.Spec, zone *enginesim.ZoneBlocks, models ...string) *Engine {
	e := &Engine{
		ID: id, engine: enginesim.New(spec, zone), jobs: map[string]*engineJob{}, executions: map[string]*Execution{},
		models: models, wake: make(chan struct{}, 1), stop: make(chan struct{}),
	}
	e.stopped.Go(e.run)
	return e
}

// Stop ends the stand-in's work.
func (e *Engine) Stop() {
	close(e.stop)
	e.stopped.Wait()
}

// SetMisbehavior sets how requests fail; nil for none.
func (e *Engine) SetMisbehavior(misbehave func(requestID string) Misbehavior) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.misbehave = misbehave
}

// SetSlowdown multiplies the time of each step.
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

// Executions returns the records of all requests.
func (e *Engine) Executions() []Execution {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	executions := make([]Execution, 0, len(e.executions))
	for _, id := range e.order {
		executions = append(executions, *e.executions[id])
	}
	return executions
}

// Orders returns the orders in the order of their arrival.
func (e *Engine) Orders() []OrderRecord {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]OrderRecord(nil), e.orders...)
}

// run drives the steps of the model in real time.
func (e *Engine) run() {
	var progress []enginesim.Progress
	for {
		e.mutex.Lock()
		duration, busy := e.engine.Begin()
		e.mutex.Unlock()
		if !busy {
			select {
			case <-e.wake:
				continue
			case <-e.stop:
				return
			}
		}
		if !e.pause(duration) {
			return
		}
		e.mutex.Lock()
		progress = e.engine.End(progress[:0])
		for _, entry := range progress {
			e.emit(entry)
		}
		e.mutex.Unlock()
	}
}

func (e *Engine) pause(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-e.stop:
		return false
	}
}

// TokenText is the text of a token; a checker can tell whose answer it is part
// of and whether the answer is whole.
func TokenText(requestID string, number int) string { return fmt.Sprintf("%s/%d ", requestID, number) }

// emit appends the events of a step. The mutex is held.
func (e *Engine) emit(entry enginesim.Progress) {
	job, known := e.jobs[entry.Job.ID]
	if !known {
		return
	}
	job.execution.Tokens = entry.Job.Emitted
	job.execution.Prefilled = entry.Job.Prefilled
	job.execution.Recomputed = entry.Job.Recomputed
	job.events = append(job.events, job.chunk(TokenText(entry.Job.ID, entry.Job.Emitted), entry.Done))
	if entry.Done {
		job.events = append(job.events, job.usage())
		job.done = true
		job.execution.Done = true
	}
	close(job.changed)
	job.changed = make(chan struct{})
}

func (j *engineJob) chunk(text string, last bool) []byte {
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

func (j *engineJob) usage() []byte {
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
		panic(err) // unreachable: the chunk holds plain values only
	}
	return data
}

// submit enters a request. It returns the existing job for a known id, which
// counts as a second submission.
func (e *Engine) submit(job *enginesim.Job, chat bool, body string) *engineJob {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	execution := e.record(job.ID, body)
	execution.Priority = int(job.Rank)
	if known, found := e.jobs[job.ID]; found {
		return known
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

// record counts a submission. The mutex is held.
func (e *Engine) record(id, body string) *Execution {
	execution, found := e.executions[id]
	if !found {
		execution = &Execution{RequestID: id, Replica: e.ID, Body: body, At: time.Now()}
		e.executions[id] = execution
		e.order = append(e.order, id)
	}
	execution.Count++
	return execution
}

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

// report returns the newest report that is at least ReportLag old.
func (e *Engine) report() structs.LoadReport {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := time.Now()
	e.sequence++
	current := e.engine.Report()
	current.Replica, current.Sequence = e.ID, e.sequence
	current.Models = append([]string(nil), e.models...)
	current.Role = structs.RoleBoth
	e.reports = append(e.reports, datedReport{at: now, report: current})
	chosen := e.reports[0]
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.ReportLag {
		e.reports = e.reports[1:]
		chosen = e.reports[0]
	}
	chosen.report.Age = now.Sub(chosen.at)
	chosen.report.Leaving = e.leaving
	return chosen.report
}

// eventLossInterval is how many batches of cache events pass for each that is
// lost.
const eventLossInterval = 10

// cacheEvents returns the events after the sequence number. Now and then a
// batch is lost, which shows as a gap.
func (e *Engine) cacheEvents(after uint64) []structs.CacheEvent {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	fresh := e.engine.CacheEvents()
	e.eventGap++
	if e.eventGap%eventLossInterval != 0 {
		e.events = append(e.events, fresh...)
	}
	const kept = 4096
	if excess := len(e.events) - kept; excess > 0 {
		e.events = e.events[excess:]
	}
	for i, event := range e.events {
		if event.Sequence > after {
			return append([]structs.CacheEvent(nil), e.events[i:]...)
		}
	}
	return nil
}

// load follows an order; it returns false if the fence is stale.
func (e *Engine) load(model string, fence int64) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	accepted := !e.ChecksFence || fence >= e.fence
	e.orders = append(e.orders, OrderRecord{Model: model, Fence: fence, Accepted: accepted, At: time.Now()})
	if !accepted {
		return false
	}
	e.fence = max(e.fence, fence)
	for _, held := range e.models {
		if held == model {
			return true
		}
	}
	e.models = append(e.models, model)
	return true
}

// outputTokens draws the length of an answer from the request id, if the
// request does not give one.
func outputTokens(id string, wanted, limit int) int {
	if wanted > 0 {
		return min(wanted, max(limit, 1))
	}
	digest := fnv.New32a()
	_, _ = digest.Write([]byte(id)) // never fails
	const shortest, spread = 8, 56
	return min(shortest+int(digest.Sum32()%spread), max(limit, 1))
}

// SetReportLag changes the age of the load that the engine reports.
func (e *Engine) SetReportLag(lag time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.ReportLag = lag
}
