package emulator

import (
	"math"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/thornwalk/thornwalk/structs"
)

// ShedGuard is the time after the rejection of a request for overload during which the
// zone must not admit a request of a lower tier. See Result.ShedInversions.
const ShedGuard = 100 * time.Millisecond

// Result is the result of one policy in an experiment. Shares are from 0 to 1.
type Result struct {
	Policy     string  `json:"policy"`
	Deployment string  `json:"deployment"`
	Load       float64 `json:"load"`
	Seed       uint64  `json:"seed"`
	// Goodput is the share of the requests of each tier that were answered within their
	// deadline, GoodputTotal that of all requests.
	Goodput      map[string]float64 `json:"goodput"`
	GoodputTotal float64            `json:"goodput_total"`
	// WastedPrefillTokens counts computed prompt tokens of requests that were not
	// answered within their deadline, and those that an engine of the zone had cached.
	WastedPrefillTokens int     `json:"wasted_prefill_tokens"`
	WastedPrefillShare  float64 `json:"wasted_prefill_share"`
	TTFTP95MS           float64 `json:"ttft_p95_ms"`
	DispatchedTwice     int     `json:"dispatched_twice"`
	FalseNotRun         int     `json:"false_not_run"`
	// ShedInversions counts rejections for overload at a time when a request of a lower
	// tier of the zone was queued and was dispatched later, or less than ShedGuard
	// before such a request was admitted.
	ShedInversions int `json:"shed_inversions"`
	Requests       int `json:"requests"`
}

// maxTTFTMicros is the upper bound of the histogram of times to the first token.
const maxTTFTMicros = int64(time.Hour / time.Microsecond)

func (s *simulation) result(policy string, load float64, seed uint64) Result {
	result := Result{Policy: policy, Deployment: s.deployment.Name, Load: load, Seed: seed, Goodput: map[string]float64{}, Requests: len(s.records)}
	sent := map[string]int{}
	inTime := map[string]int{}
	firstTokens := hdrhistogram.New(1, maxTTFTMicros, 3)
	inTimeTotal, computed := 0, 0
	for i := range s.records {
		r := &s.records[i]
		tier := s.kind(r).Tier
		sent[tier]++
		answeredInTime := r.answered && r.answeredAt-r.admittedAt <= s.kind(r).Deadline
		if answeredInTime {
			inTime[tier]++
			inTimeTotal++
		}
		computed += r.job.Prefilled
		result.WastedPrefillTokens += wastedTokens(r, answeredInTime)
		if r.firstTokenAt > 0 {
			_ = firstTokens.RecordValue(min((r.firstTokenAt - r.admittedAt).Microseconds(), maxTTFTMicros)) // always in range
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
	result.GoodputTotal = roundShare(float64(inTimeTotal) / float64(max(1, len(s.records))))
	result.WastedPrefillShare = roundShare(float64(result.WastedPrefillTokens) / float64(max(1, computed)))
	result.TTFTP95MS = math.Round(float64(firstTokens.ValueAtQuantile(95))/100) / 10
	result.ShedInversions = s.countShedInversions()
	return result
}

func wastedTokens(r *record, answeredInTime bool) int {
	if answeredInTime {
		return r.job.Recomputed
	}
	return r.job.Prefilled
}

func roundShare(share float64) float64 { return math.Round(share*10000) / 10000 }

// span is the time during which the rejection of a higher tier counts as an inversion
// because of one dispatched request.
type span struct{ start, end time.Duration }

// countShedInversions counts the shed inversions of all zones and tiers, as defined at
// Result.ShedInversions.
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

// lowerTierSpans returns the spans of the tiers below rank, sorted by start. The end of
// each span is the maximum of the ends up to it, as isCovered requires.
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

// isCovered reports whether any of the spans contains the time.
func isCovered(spans []span, at time.Duration) bool {
	firstAfter := sort.Search(len(spans), func(i int) bool { return spans[i].start > at })
	return firstAfter > 0 && spans[firstAfter-1].end > at
}
