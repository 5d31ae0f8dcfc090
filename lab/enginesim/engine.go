// Package enginesim simulates a model engine with continuous batching: it prefills
// prompts in chunks while it decodes running sequences, keeps a limited prefix cache
// and admits waiting requests by rank. The caller executes the steps with BeginStep and
// EndStep, under real or virtual time. It does not simulate the content of answers.
package enginesim

import (
	"container/heap"
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// Spec describes the hardware and limits of an engine.
type Spec struct {
	Generation string
	// Accelerators is the number of accelerators that the replica spans.
	Accelerators int
	// Slots is the maximum number of sequences in the batch.
	Slots int
	// BaseStep is the duration of a step with an empty batch. PerSequence is added for
	// each decoding sequence and PerPrefillToken for each prompt token.
	BaseStep        time.Duration
	PerSequence     time.Duration
	PerPrefillToken time.Duration
	// ChunkTokens is the maximum number of prompt tokens in a step.
	ChunkTokens int
	// CacheBlocks is the capacity of the prefix cache.
	CacheBlocks int
	// KVTokens is the maximum number of prompt and answer tokens in the batch. Zero
	// means no limit.
	KVTokens int
}

// Job is a request at an engine. The caller sets the fields of the first group; the
// engine maintains the others.
type Job struct {
	ID           string
	Rank         structs.Rank
	PromptTokens int
	// OutputTokens is the length of the answer.
	OutputTokens int
	Chain        []uint64

	// Cached is the number of prompt tokens that were found in the cache.
	Cached int
	// Prefilled counts the prompt tokens that were computed, Emitted the answer tokens.
	Prefilled int
	Emitted   int
	// Recomputed counts the computed prompt tokens that an engine of the zone had
	// cached.
	Recomputed int

	cancelled bool
	running   bool
	sequence  uint64
}

// isPrefilled reports whether the whole prompt is cached or computed.
func (j *Job) isPrefilled() bool { return j.Cached+j.Prefilled >= j.PromptTokens }

// Engine is the state of a simulated engine. It is not safe for concurrent use.
type Engine struct {
	Spec Spec
	// Slowdown is the factor by which the duration of each step is multiplied.
	Slowdown float64

	waiting      waitingHeap
	batch        []*Job
	jobs         map[string]*Job
	cache        *blockCache
	kvTokensUsed int
	sequence     uint64
	inStep       bool
	prefills     []prefillShare
	stepTime     time.Duration
	prefillRate  float64
}

// prefillShare is the number of prompt tokens that a step computes for a job.
type prefillShare struct {
	job    *Job
	tokens int
}

// New returns an idle engine. Cached blocks are counted in zone, which may be nil.
func New(spec Spec, zone *ZoneBlocks) *Engine {
	return &Engine{
		Spec: spec, Slowdown: 1, jobs: map[string]*Job{},
		cache:       newBlockCache(spec.CacheBlocks, zone),
		stepTime:    spec.BaseStep,
		prefillRate: initialPrefillRate(spec),
	}
}

func initialPrefillRate(spec Spec) float64 {
	step := spec.BaseStep + time.Duration(spec.ChunkTokens)*spec.PerPrefillToken
	return float64(spec.ChunkTokens) / step.Seconds()
}

// Submit queues the job. It returns false if the engine has a job with the same id.
func (e *Engine) Submit(job *Job) bool {
	if _, exists := e.jobs[job.ID]; exists {
		return false
	}
	e.sequence++
	job.sequence = e.sequence
	e.jobs[job.ID] = job
	heap.Push(&e.waiting, job)
	return true
}

// Cancel removes the job and returns it, or nil if the id is unknown.
func (e *Engine) Cancel(id string) *Job {
	job, found := e.jobs[id]
	if !found {
		return nil
	}
	delete(e.jobs, id)
	job.cancelled = true
	if job.running {
		e.removeFromBatch(job)
	}
	return job
}

// Running returns the number of jobs in the batch.
func (e *Engine) Running() int { return len(e.batch) }

// Waiting returns the number of jobs that are not in the batch.
func (e *Engine) Waiting() int { return len(e.jobs) - len(e.batch) }

// Idle reports whether the engine has no jobs.
func (e *Engine) Idle() bool { return len(e.jobs) == 0 }

// WaitingTokens returns the number of prompt tokens that remain to be computed.
func (e *Engine) WaitingTokens() int {
	tokens := 0
	for _, job := range e.jobs {
		tokens += max(0, job.PromptTokens-job.Cached-job.Prefilled)
	}
	return tokens
}

// IsCached reports whether the block is in the prefix cache.
func (e *Engine) IsCached(block uint64) bool { return e.cache.contains(block) }

// CachedTokens returns the number of tokens in the cached prefix of the chain.
func (e *Engine) CachedTokens(chain []uint64) int { return e.cache.prefixTokens(chain) }

// CacheEvents returns the cache events since the previous call.
func (e *Engine) CacheEvents() []structs.CacheEvent { return e.cache.takeEvents() }

// Import adds blocks to the prefix cache.
func (e *Engine) Import(chain []uint64) { e.cache.insert(chain) }

// Report returns a load report without the fields that identify the replica.
func (e *Engine) Report() structs.LoadReport {
	kvFree := 1.0
	if e.Spec.KVTokens > 0 {
		kvFree = 1 - float64(e.kvTokensUsed)/float64(e.Spec.KVTokens)
	}
	return structs.LoadReport{
		Running: e.Running(), Waiting: e.Waiting(), WaitingTokens: e.WaitingTokens(),
		Slots: e.Spec.Slots, KVFree: kvFree, PrefillRate: e.prefillRate, StepTime: e.stepTime,
	}
}

// BeginStep admits waiting jobs, composes the next step and returns its duration. It
// returns false if there are no jobs or a step is in progress.
func (e *Engine) BeginStep() (time.Duration, bool) {
	if e.inStep {
		return 0, false
	}
	e.admit()
	if len(e.batch) == 0 {
		return 0, false
	}
	e.inStep = true
	decoding, tokens := e.composeStep()
	duration := e.Spec.BaseStep + time.Duration(decoding)*e.Spec.PerSequence + time.Duration(tokens)*e.Spec.PerPrefillToken
	duration = time.Duration(float64(duration) * e.Slowdown)
	e.updateRates(duration, tokens)
	return duration, true
}

// composeStep assigns the chunk to jobs that need prefill, in the order of the batch.
// It returns the number of decoding sequences and of prompt tokens in the step.
func (e *Engine) composeStep() (decoding, tokens int) {
	e.prefills = e.prefills[:0]
	budget := e.Spec.ChunkTokens
	for _, job := range e.batch {
		if job.isPrefilled() {
			decoding++
			continue
		}
		share := min(budget, job.PromptTokens-job.Cached-job.Prefilled)
		if share == 0 {
			continue
		}
		budget -= share
		tokens += share
		e.prefills = append(e.prefills, prefillShare{job, share})
	}
	return decoding, tokens
}

// updateRates updates the moving averages of step time and prefill rate for reports.
func (e *Engine) updateRates(duration time.Duration, tokens int) {
	const gain = 0.1
	e.stepTime += time.Duration(gain * float64(duration-e.stepTime))
	if tokens > 0 {
		fullChunkRate := float64(e.Spec.ChunkTokens) / (duration + time.Duration(float64(e.Spec.ChunkTokens-tokens)*float64(e.Spec.PerPrefillToken)*e.Slowdown)).Seconds()
		e.prefillRate += gain * (fullChunkRate - e.prefillRate)
	}
}

// Progress is the result of a step for a job that got a token.
type Progress struct {
	Job *Job
	// First and Done are true for the first and the last token of the answer.
	First, Done bool
}

// EndStep completes the step and appends an entry to progress for each job that got a
// token.
func (e *Engine) EndStep(progress []Progress) []Progress {
	e.inStep = false
	for _, share := range e.prefills {
		e.finishPrefill(share)
	}
	for index := 0; index < len(e.batch); {
		job := e.batch[index]
		if !job.isPrefilled() {
			index++
			continue
		}
		job.Emitted++
		entry := Progress{Job: job, First: job.Emitted == 1, Done: job.Emitted >= job.OutputTokens}
		progress = append(progress, entry)
		if entry.Done {
			delete(e.jobs, job.ID)
			e.removeFromBatch(job)
			continue
		}
		index++
	}
	return progress
}

func (e *Engine) finishPrefill(share prefillShare) {
	if share.job.cancelled {
		return
	}
	job := share.job
	job.Recomputed += e.cache.recomputedTokens(job.Chain, job.Cached+job.Prefilled, share.tokens)
	job.Prefilled += share.tokens
	e.cache.insert(job.Chain[:min(len(job.Chain), (job.Cached+job.Prefilled)/structs.BlockTokens)])
}

// admit moves waiting jobs into the batch while slots and KV memory are available. An
// empty batch admits a job of any size.
func (e *Engine) admit() {
	for len(e.batch) < e.Spec.Slots && len(e.waiting) > 0 {
		job := e.waiting[0]
		if job.cancelled {
			heap.Pop(&e.waiting)
			continue
		}
		requiredTokens := job.PromptTokens + job.OutputTokens
		if e.Spec.KVTokens > 0 && e.kvTokensUsed+requiredTokens > e.Spec.KVTokens && len(e.batch) > 0 {
			return
		}
		heap.Pop(&e.waiting)
		job.running = true
		// The first answer token requires that the last prompt token is computed.
		job.Cached = min(e.cache.prefixTokens(job.Chain), job.PromptTokens-1)
		e.kvTokensUsed += requiredTokens
		e.batch = append(e.batch, job)
	}
}

func (e *Engine) removeFromBatch(job *Job) {
	for index, other := range e.batch {
		if other == job {
			e.batch = append(e.batch[:index], e.batch[index+1:]...)
			break
		}
	}
	job.running = false
	e.kvTokensUsed -= job.PromptTokens + job.OutputTokens
}

// waitingHeap orders jobs by rank, then by arrival.
type waitingHeap []*Job

func (h waitingHeap) Len() int { return len(h) }
func (h waitingHeap) Less(i, j int) bool {
	if h[i].Rank != h[j].Rank {
		return h[i].Rank < h[j].Rank
	}
	return h[i].sequence < h[j].sequence
}
func (h waitingHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *waitingHeap) Push(x any)   { *h = append(*h, x.(*Job)) }
func (h *waitingHeap) Pop() any {
	last := len(*h) - 1
	job := (*h)[last]
	*h = (*h)[:last]
	return job
}
