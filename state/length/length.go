// Package length predicts the length of answers in tokens from earlier answers of
// the same route and tenant. Lengths vary widely, so predictions are percentiles
// instead of means.
package length

import (
	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/thornwalk/thornwalk/structs"
)

const (
	// maxRecordedTokens is the highest length that a histogram distinguishes.
	maxRecordedTokens = 1 << 17
	// significantFigures is the precision of the histograms in decimal digits.
	significantFigures = 1
	// minSamples is the number of samples from which a histogram is used.
	minSamples = 8
	// windowSamples is the number of samples after which a new histogram is
	// started, so that predictions follow changes of the traffic.
	windowSamples = 512
	// fallbackShare is the share of MaxTokens predicted without a usable histogram.
	fallbackShare = 0.5
)

// key identifies a route and tenant, or all tenants of a route if tenant is empty.
type key struct{ route, tenant string }

// windowedHistogram holds the current and the previous window of one key; previous
// may be nil.
type windowedHistogram struct {
	current, previous *hdrhistogram.Histogram
}

// Estimator predicts answer lengths from earlier answers.
type Estimator interface {
	// Percentile returns the length in tokens that the share (0 to 1) of answers to
	// such requests does not exceed.
	Percentile(request *structs.Request, share float64) int
	// Observe records the length of a complete answer in tokens.
	Observe(request *structs.Request, tokens int)
}

// Predictor is an Estimator that keeps histograms per route and tenant. It is not safe
// for concurrent use.
type Predictor struct {
	histograms *simplelru.LRU[key, *windowedHistogram]
}

// NewPredictor returns a predictor that keeps histograms for at most maxKeys pairs of
// route and tenant, and evicts the least recently used.
func NewPredictor(maxKeys int) *Predictor {
	histograms, err := simplelru.NewLRU[key, *windowedHistogram](max(maxKeys, 1), nil)
	if err != nil {
		panic(err) // unreachable: the size is positive
	}
	return &Predictor{histograms: histograms}
}

// Observe records the length of a complete answer in tokens.
func (p *Predictor) Observe(request *structs.Request, tokens int) {
	p.record(key{request.Route, request.Tenant}, tokens)
	p.record(key{route: request.Route}, tokens)
}

func (p *Predictor) record(k key, tokens int) {
	entry, found := p.histograms.Get(k)
	if !found {
		entry = &windowedHistogram{current: newHistogram()}
		p.histograms.Add(k, entry)
	}
	if entry.current.TotalCount() >= windowSamples {
		entry.previous, entry.current = entry.current, newHistogram()
	}
	_ = entry.current.RecordValue(int64(min(max(tokens, 1), maxRecordedTokens))) // the value is clamped to the valid range
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedTokens, significantFigures)
}

// Percentile returns the length in tokens that the share (0 to 1) of answers of the
// request's route and tenant does not exceed, and at most the request's MaxTokens.
// Without enough samples it uses all tenants of the route, then fallbackShare.
func (p *Predictor) Percentile(request *structs.Request, share float64) int {
	for _, k := range []key{{request.Route, request.Tenant}, {route: request.Route}} {
		entry, found := p.histograms.Get(k)
		if !found {
			continue
		}
		histogram := entry.usable()
		if histogram == nil {
			continue
		}
		return min(int(histogram.ValueAtQuantile(share*100)), request.MaxTokens)
	}
	return max(1, int(fallbackShare*float64(request.MaxTokens)))
}

// usable returns the current window if it has enough samples, else the previous one,
// which may be nil.
func (h *windowedHistogram) usable() *hdrhistogram.Histogram {
	if h.current.TotalCount() >= minSamples {
		return h.current
	}
	return h.previous
}
