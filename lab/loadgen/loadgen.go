// Package loadgen sends an open-loop workload to a running deployment on loopback and
// measures the results from the view of the callers. It rejects addresses that are not
// on loopback.
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

// Limits of a run. Options beyond them are reduced.
const (
	MaxRequests = 100_000
	MaxDuration = 10 * time.Minute
)

// Options are the options of a run.
type Options struct {
	Deployment workload.Deployment
	// Addresses are the caller addresses of the nodes. Requests are distributed
	// round-robin.
	Addresses []string
	// TenantKeys are the bearer keys of the tenants, in the order of their shares.
	TenantKeys []string
	Load       float64
	Duration   time.Duration
	Seed       uint64
}

// Row is the result of one tier.
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

// tierCount accumulates the result of one tier.
type tierCount struct {
	row       Row
	inTime    int
	histogram *hdrhistogram.Histogram
}

// Run sends the deployment's workload, blocks until all requests have ended and returns
// a row for each tier in the order of the kinds. If the context ends, it sends no
// further requests. The error is of kind BadRequest if an address is not on loopback.
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
	start := time.Now()
	for i := range arrivals {
		time.Sleep(time.Until(start.Add(arrivals[i].At)))
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
		return errkind.New(errkind.BadRequest, "check target address: %q is not an address on loopback", address)
	}
	return nil
}

// newSubmission returns the request of an arrival. Prompts of a conversation share a
// prefix; a token becomes bytesPerToken bytes.
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

// repeatToLength repeats the text up to the length in bytes.
func repeatToLength(text string, length int) string {
	return strings.Repeat(text, length/len(text)+1)[:length]
}

// maxAnswerMicros is the upper bound of the histogram of answer times.
const maxAnswerMicros = int64(time.Hour / time.Microsecond)

func countObservation(counts map[string]*tierCount, o *checker.Observation) {
	entry, found := counts[o.Tier]
	if !found {
		entry = &tierCount{row: Row{Tier: o.Tier}, histogram: hdrhistogram.New(1, maxAnswerMicros, 3)}
		counts[o.Tier] = entry
	}
	entry.row.Sent++
	switch {
	case o.InTime():
		entry.inTime++
	case o.Outcome == structs.OutcomeAnswered && !o.Complete:
		entry.row.WrongOrPartial++
	case o.Outcome == structs.OutcomeAnswered:
		entry.row.AnsweredLate++
	case o.Outcome == structs.OutcomeNotRun:
		entry.row.NotRun++
	default:
		entry.row.Unknown++
	}
	if o.Outcome == structs.OutcomeAnswered {
		_ = entry.histogram.RecordValue(min(o.EndedAt.Sub(o.SentAt).Microseconds(), maxAnswerMicros)) // always in range
	}
}

func tierRows(deployment *workload.Deployment, counts map[string]*tierCount) []Row {
	var tiers []Row
	for _, kind := range deployment.Kinds {
		entry, found := counts[kind.Tier]
		if !found {
			continue
		}
		entry.row.Goodput = float64(entry.inTime) / float64(entry.row.Sent)
		entry.row.AnswerP50MS = float64(entry.histogram.ValueAtQuantile(50)) / 1000
		entry.row.AnswerP95MS = float64(entry.histogram.ValueAtQuantile(95)) / 1000
		tiers = append(tiers, entry.row)
	}
	return tiers
}
