// Package loadgen sends open-loop arrivals at a running deployment on loopback,
// bounded in count and time, and measures what callers see.
package loadgen

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"github.com/thornwalk/thornwalk/lab/checker"
	"github.com/thornwalk/thornwalk/lab/cluster"
	"github.com/thornwalk/thornwalk/lab/workload"
	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/structs"
	"github.com/thornwalk/thornwalk/transport/network"
)

// Limits of a run, whatever is asked for.
const (
	MaxRequests = 100_000
	MaxDuration = 10 * time.Minute
)

// Options describe a run.
type Options struct {
	Deployment workload.Deployment
	// Addresses are the callers' addresses of the nodes, zone by zone in turn.
	Addresses []string
	// TenantKeys are the bearer keys of the tenants, the largest first.
	TenantKeys []string
	Load       float64
	Duration   time.Duration
	Seed       uint64
}

// Row is what the callers of one tier saw.
type Row struct {
	Tier           string  `json:"tier"`
	Sent           int     `json:"sent"`
	Goodput        float64 `json:"goodput"`
	AnsweredLate   int     `json:"answered_late"`
	NotRun         int     `json:"not_run"`
	Unknown        int     `json:"unknown"`
	AnswerP50MS    float64 `json:"answer_p50_ms"`
	AnswerP95MS    float64 `json:"answer_p95_ms"`
	WrongOrPartial int     `json:"wrong_or_partial"`
}

// tierCount sums one tier while a run goes on.
type tierCount struct {
	row       Row
	inTime    int
	histogram *hdrhistogram.Histogram
}

// Run sends the deployment's arrivals and returns a row for each tier in the
// order of the kinds. The error is of kind BadRequest if an address is not on
// loopback.
func Run(ctx context.Context, options Options) ([]Row, error) {
	for _, address := range options.Addresses {
		if err := checkLoopback(address); err != nil {
			return nil, err
		}
	}
	options.Duration = min(options.Duration, MaxDuration)
	arrivals := workload.Generate(&options.Deployment, options.Load, options.Duration, options.Seed)
	arrivals = arrivals[:min(len(arrivals), MaxRequests)]
	caller := cluster.NewCaller(network.TCP{})
	counts := map[string]*tierCount{}
	var mutex sync.Mutex
	var group sync.WaitGroup
	begun := time.Now()
	for i := range arrivals {
		time.Sleep(time.Until(begun.Add(arrivals[i].At)))
		if ctx.Err() != nil {
			break
		}
		submission := newSubmission(&options, &arrivals[i], i)
		group.Go(func() {
			observation := caller.Send(ctx, submission)
			mutex.Lock()
			defer mutex.Unlock()
			countObservation(counts, &observation)
		})
	}
	group.Wait()
	return tierRows(&options.Deployment, counts), nil
}

func checkLoopback(address string) error {
	host, _, err := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	if err != nil || ip == nil || !ip.IsLoopback() {
		return errkind.New(errkind.BadRequest, "%q is not an address on loopback", address)
	}
	return nil
}

// submission makes a request of an arrival. Prompts of one conversation begin
// alike; lengths in tokens become lengths in bytes.
func newSubmission(options *Options, arrival *workload.Arrival, number int) *cluster.Submission {
	kind := &options.Deployment.Kinds[arrival.Kind]
	s := &cluster.Submission{
		Marker: fmt.Sprintf("load-%d", number), Address: options.Addresses[number%len(options.Addresses)],
		TenantKey: options.TenantKeys[arrival.Tenant%len(options.TenantKeys)], Route: kind.Name, Service: options.Deployment.Service,
		Tier: kind.Tier, Rank: kind.Rank, Prompt: prompt(kind, arrival), OutputTokens: arrival.OutputTokens,
		Stream: number%2 == 0, Deadline: kind.Deadline,
	}
	if !kind.Repeatable {
		s.Key = uuid.Must(uuid.NewV7()).String()
	}
	return s
}

const bytesPerToken = 4

func prompt(kind *workload.Kind, arrival *workload.Arrival) string {
	shared := repeatToLength("Rules of "+kind.Name+". ", kind.SharedTokens*bytesPerToken)
	own := repeatToLength(fmt.Sprintf("Conversation %d goes on. ", arrival.Session), max(0, arrival.PromptTokens-kind.SharedTokens)*bytesPerToken)
	return shared + own
}

func repeatToLength(text string, length int) string {
	return strings.Repeat(text, length/len(text)+1)[:length]
}

// longestAnswer bounds the histogram, in microseconds.
const maxAnswerMicros = int64(time.Hour / time.Microsecond)

func countObservation(counts map[string]*tierCount, o *checker.Observation) {
	entry, known := counts[o.Tier]
	if !known {
		entry = &tierCount{row: Row{Tier: o.Tier}, histogram: hdrhistogram.New(1, maxAnswerMicros, 3)}
		counts[o.Tier] = entry
	}
	entry.row.Sent++
	switch {
	case o.InTime():
		entry.inTime++
	case o.Outcome == structs.OutcomeAnswered && !o.Whole:
		entry.row.WrongOrPartial++
	case o.Outcome == structs.OutcomeAnswered:
		entry.row.AnsweredLate++
	case o.Outcome == structs.OutcomeNotRun:
		entry.row.NotRun++
	default:
		entry.row.Unknown++
	}
	if o.Outcome == structs.OutcomeAnswered {
		_ = entry.histogram.RecordValue(min(o.EndedAt.Sub(o.SentAt).Microseconds(), maxAnswerMicros)) // clamped
	}
}

func tierRows(deployment *workload.Deployment, counts map[string]*tierCount) []Row {
	var all []Row
	for _, kind := range deployment.Kinds {
		entry, found := counts[kind.Tier]
		if !found {
			continue
		}
		entry.row.Goodput = float64(entry.inTime) / float64(entry.row.Sent)
		entry.row.AnswerP50MS = float64(entry.histogram.ValueAtQuantile(50)) / 1000
		entry.row.AnswerP95MS = float64(entry.histogram.ValueAtQuantile(95)) / 1000
		all = append(all, entry.row)
	}
	return all
}
