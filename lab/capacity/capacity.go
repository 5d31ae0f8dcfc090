// Package capacity extrapolates the cost of control to the target size from recorded
// fleet measurements by linear fits, and compares it with the budgets. It does not
// measure.
package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"gonum.org/v1/gonum/stat"

	"github.com/thornwalk/thornwalk/lab/fleet"
)

// Target is the target size, for one of seven zones, and the budgets of a node.
// StoreReads and StoreWrites are the store's budgets of calls per second for all zones.
var Target = struct {
	Nodes, Replicas, Tenants                     float64
	ClaimsPerZone                                float64
	CPUShare, HeapBytes, BytesPerSecond          float64
	StoreReads, StoreWrites, Zones, InForceLimit float64
}{
	Nodes: 56, Replicas: 101, Tenants: 1800, ClaimsPerZone: 31,
	CPUShare: 0.039, HeapBytes: 128e6, BytesPerSecond: 21000,
	StoreReads: 16000, StoreWrites: 3200, Zones: 7, InForceLimit: 5,
}

// Measurement is the recorded result of a fleet run.
type Measurement struct {
	File string
	fleet.Result
}

// Load returns the measurements in the folder, sorted by file name.
func Load(folder string) ([]Measurement, error) {
	files, err := filepath.Glob(filepath.Join(folder, "fleet-*.json"))
	if err != nil {
		return nil, err
	}
	sort.Strings(files)
	var measurements []Measurement
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		m := Measurement{File: filepath.Base(file)}
		if err := json.Unmarshal(content, &m.Result); err != nil {
			return nil, fmt.Errorf("decode measurement %s: %w", file, err)
		}
		measurements = append(measurements, m)
	}
	return measurements, nil
}

// metric is a figure of a measurement with its budget, both in the unit.
type metric struct {
	name, unit string
	value      func(*Measurement) float64
	budget     float64
}

var metrics = []metric{
	{"processor, share of a core", "%", func(m *Measurement) float64 { return 100 * m.CPUShare }, 100 * Target.CPUShare},
	{"live heap", "MB", func(m *Measurement) float64 { return float64(m.HeapBytes) / 1e6 }, Target.HeapBytes / 1e6},
	{"bytes in and out", "KB/s", func(m *Measurement) float64 { return (m.InBytes + m.OutBytes) / 1000 }, Target.BytesPerSecond / 1000},
	{"store writes of the zone", "/s", writes, Target.StoreWrites / Target.Zones},
	{"store reads of the zone", "/s", reads, Target.StoreReads / Target.Zones},
	{"a change in force everywhere", "s", func(m *Measurement) float64 { return m.ChangeInForce.Seconds() }, Target.InForceLimit},
}

func writes(m *Measurement) float64 {
	return m.StoreCalls["/v3/kv/txn"] + m.StoreCalls["/v3/lease/grant"] + m.StoreCalls["/v3/lease/revoke"]
}

func reads(m *Measurement) float64 {
	return m.StoreCalls["/v3/kv/range"] + m.StoreCalls["/v3/watch"] + m.StoreCalls["/v3/lease/keepalive"]
}

// series is a set of measurements in which one size varies.
type series struct {
	name     string
	prefixes []string
	size     func(*Measurement) float64
	target   float64
}

var allSeries = []series{
	{"nodes of a zone", []string{"fleet-nodes-"}, func(m *Measurement) float64 { return float64(m.Nodes) }, Target.Nodes},
	{"tenants", []string{"fleet-tenants-", "fleet-nodes-56"}, func(m *Measurement) float64 { return float64(m.Tenants) }, Target.Tenants},
	{"claims a second in a zone", []string{"fleet-rate-", "fleet-nodes-56"}, func(m *Measurement) float64 { return m.Rate }, Target.ClaimsPerZone},
}

// Fit is a straight line fitted to the measurements of a metric.
type Fit struct {
	Intercept, Slope float64
	// Residual is the root mean square distance of the measurements from the line.
	Residual float64
}

// At returns the value of the line at the size.
func (f Fit) At(size float64) float64 { return f.Intercept + f.Slope*size }

func fitLine(sizes, values []float64) Fit {
	intercept, slope := stat.LinearRegression(sizes, values, nil, false)
	line := Fit{Intercept: intercept, Slope: slope}
	sum := 0.0
	for i := range sizes {
		distance := values[i] - line.At(sizes[i])
		sum += distance * distance
	}
	line.Residual = math.Sqrt(sum / float64(len(sizes)))
	return line
}

// Write writes Markdown tables with the measurements, the fits and their values at the
// target size for each series.
func Write(writer io.Writer, measurements []Measurement) {
	for _, s := range allSeries {
		runs := s.selectRuns(measurements)
		if len(runs) < 3 {
			fmt.Fprintf(writer, "## By %s\n\nnot measured at three sizes\n\n", s.name)
			continue
		}
		s.write(writer, runs)
	}
	writeMultiZone(writer, measurements)
}

// selectRuns returns the measurements whose file names have one of the prefixes, sorted
// by size.
func (s *series) selectRuns(measurements []Measurement) []Measurement {
	var runs []Measurement
	for _, m := range measurements {
		for _, prefix := range s.prefixes {
			if strings.HasPrefix(m.File, prefix) {
				runs = append(runs, m)
			}
		}
	}
	sort.Slice(runs, func(i, j int) bool { return s.size(&runs[i]) < s.size(&runs[j]) })
	return runs
}

func (s *series) write(writer io.Writer, runs []Measurement) {
	fmt.Fprintf(writer, "## By %s\n\n| metric of a node |", s.name)
	for i := range runs {
		fmt.Fprintf(writer, " %.0f |", s.size(&runs[i]))
	}
	fmt.Fprintf(writer, " fit | residual | at %.0f | budget |\n|---|%s---|---|---|---|\n", s.target, strings.Repeat("---:|", len(runs)))
	for _, m := range metrics {
		sizes, values := make([]float64, len(runs)), make([]float64, len(runs))
		for i := range runs {
			sizes[i], values[i] = s.size(&runs[i]), m.value(&runs[i])
		}
		line := fitLine(sizes, values)
		fmt.Fprintf(writer, "| %s (%s) |", m.name, m.unit)
		for _, value := range values {
			fmt.Fprintf(writer, " %.2f |", value)
		}
		fmt.Fprintf(writer, " %.3g + %.3g·n | %.2g | %.2f | %s |\n", line.Intercept, line.Slope, line.Residual, line.At(s.target), verdict(line.At(s.target), m.budget))
	}
	fmt.Fprintln(writer)
}

func verdict(value, budget float64) string {
	if value > budget {
		return fmt.Sprintf("%.2f **exceeded**", budget)
	}
	return fmt.Sprintf("%.2f", budget)
}

// writeMultiZone writes the measurements with several zones, which serve as a check of
// the fits.
func writeMultiZone(writer io.Writer, measurements []Measurement) {
	fmt.Fprintf(writer, "## Several zones at once\n\n| run | nodes | replicas | zones | claims/s | processor %% | heap MB | KB/s | writes/s | reads/s | change in force s | views agree s |\n|---|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|\n")
	for i := range measurements {
		m := &measurements[i]
		if m.Zones < 2 {
			continue
		}
		fmt.Fprintf(writer, "| %s | %d | %d | %d | %.0f | %.2f | %.2f | %.1f | %.1f | %.1f | %.2f | %.2f |\n", m.File, m.Nodes, m.Replicas, m.Zones, m.Rate,
			100*m.CPUShare, float64(m.HeapBytes)/1e6, (m.InBytes+m.OutBytes)/1000, writes(m), reads(m), m.ChangeInForce.Seconds(), m.ViewsAgree.Seconds())
	}
}
