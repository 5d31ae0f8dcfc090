package emulator

import (
	"math"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/thornwalk/thornwalk/structs"
)

// ShedGuard is the time after a refusal for load in which no lower tier of the
// zone may be admitted; one that is admitted sooner, or was waiting at the
// time and was dispatched later, is a shed inversion.
const ShedGuard = 100 * time.Millisecond

// Result is the outcome of one policy on one run. Shares are 0 to 1.
type Result struct {
	Policy     string             `json:"policy"`
	Deployment string             `json:"deployment"`
	Load       float64            `json:"load"`
	Seed       uint64             `json:"seed"`
	Goodput    map[string]float64 `json:"goodput"`
	// GoodputTotal is the share of all requests answered in time.
	GoodputTotal float64 `json:"goodput_total"`
	// WastedPrefillTokens counts prompt tokens computed whose request was not
	// answered in time, or that were cached in the zone when computed again.
	WastedPrefillTokens int     `json:"wasted_prefill_tokens"`
	WastedPrefillShare  float64 `json:"wasted_prefill_share"`
	TTFTP95MS           float64 `json:"ttft_p95_ms"`
	DispatchedTwice     int     `json:"dispatched_twice"`
	FalseNotRun         int     `json:"false_not_run"`
	ShedInversions      int     `json:"shed_inversions"`
	Requests            int     `json:"requests"`
}

// maximumTTFT bounds the histogram of times to the first token, in microseconds.
const maxTTFTMicros = int64(time.Hour / time.Microsecond)

func (s *simulation) result(policy string, load float64, seed uint64) Result {
	result := Result{Policy: policy, Deployment: s.deployment.Name, Load: load, Seed: seed, Goodput: map[string]float64{}, Requests: len(s.records)}
	sent := map[string]int{}
	inTime := map[string]int{}
	firstTokens := hdrhistogram.New(1, maxTTFTMicros, 3)
	total, computed := 0, 0
	for i := range s.records {
		r := &s.records[i]
		tier := s.kind(r).Tier
		sent[tier]++
		good := r.answered && r.answeredAt-r.admittedAt <= s.kind(r).Deadline
		if good {
			inTime[tier]++
			total++
		}
		computed += r.job.Prefilled
		result.WastedPrefillTokens += wastedTokens(r, good)
		if r.firstTokenAt > 0 {
			_ = firstTokens.RecordValue(min((r.firstTokenAt - r.admittedAt).Microseconds(), maxTTFTMicros)) // clamped
		}
		if r.dispatches > 1 {
			result.DispatchedTwice++
		}
		if r.rejected && r.dispatches > 0 {
			result.FalseNotRun++
		}
	}
	for tier, count := range sent {
		result.Goodput[tier] = roundShare(float64(inTime[tier]) / float64(count))
	}
	result.GoodputTotal = roundShare(float64(total) / float64(max(1, len(s.records))))
	result.WastedPrefillShare = roundShare(float64(result.WastedPrefillTokens) / float64(max(1, computed)))
	result.TTFTP95MS = math.Round(float64(firstTokens.ValueAtQuantile(95))/100) / 10
	result.ShedInversions = s.countShedInversions()
	return result
}

func wastedTokens(r *record, good bool) int {
	if good {
		return r.job.Recomputed
	}
	return r.job.Prefilled
}

func roundShare(share float64) float64 { return math.Round(share*10000) / 10000 }

// span is the time in which a shedding of a higher tier would have been an
// inversion with respect to one dispatched request.
type span struct{ start, end time.Duration }

// inversions counts refusals for load while a lower tier of the same zone was
// waiting and later dispatched, or was admitted within ShedGuard.
func (s *simulation) countShedInversions() int {
	count := 0
	for zone := range s.zones {
		for rank := structs.Rank(0); rank < s.deployment.LowestRank(); rank++ {
			spans := s.lowerTierSpans(zone, rank)
			for i := range s.records {
				r := &s.records[i]
				if r.arrival.Zone == zone && s.kind(r).Rank == rank && isShedForLoad(r) && isCovered(spans, r.rejectedAt) {
					count++
				}
			}
		}
	}
	return count
}

func isShedForLoad(r *record) bool {
	if !r.rejected {
		return false
	}
	switch r.reason {
	case structs.ReasonShed, structs.ReasonFloor, structs.ReasonQueueFull, structs.ReasonExpired:
		return true
	}
	return false
}

// lowerSpans returns the spans of lower tiers by start, with running maxima of
// the ends.
func (s *simulation) lowerTierSpans(zone int, rank structs.Rank) []span {
	var spans []span
	for i := range s.records {
		r := &s.records[i]
		if r.arrival.Zone == zone && s.kind(r).Rank > rank && r.dispatched {
			spans = append(spans, span{r.admittedAt - ShedGuard, r.dispatchedAt})
		}
	}
	sort.Slice(spans, func(i, j int) bool { return spans[i].start < spans[j].start })
	for i := 1; i < len(spans); i++ {
		spans[i].end = max(spans[i].end, spans[i-1].end)
	}
	return spans
}

func isCovered(spans []span, at time.Duration) bool {
	after := sort.Search(len(spans), func(i int) bool { return spans[i].start > at })
	return after > 0 && spans[after-1].end > at
}
