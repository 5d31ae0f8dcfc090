package losses

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// Report is the used part of the benchmark's report on a day.
type Report struct {
	// Parts are the day's measures, each with name, weight and value.
	Parts   [][3]any        `json:"parts"`
	Windows []WindowFigures `json:"windows"`
	// Ends counts the attempts by their outcome at the caller.
	Ends map[string]int `json:"ends"`
	// readRequests is the number of requests that the nodes read, by start of the window.
	readRequests map[time.Duration]int
}

// WindowFigures are the figures of one window. Name is the window's start in seconds.
type WindowFigures struct {
	Name     string  `json:"name"`
	Requests int     `json:"n"`
	Worth    float64 `json:"worth"`
}

// ReadReport reads a report from JSON and counts the requests in the lines by window.
func ReadReport(reader io.Reader, lines *Lines) (*Report, error) {
	report := &Report{readRequests: map[time.Duration]int{}}
	if err := json.NewDecoder(reader).Decode(report); err != nil {
		return nil, fmt.Errorf("read report: %w", err)
	}
	scale := lines.answeredScale()
	counts := map[time.Duration]float64{}
	for _, request := range lines.Requests {
		start := request.At.Truncate(windowLength)
		if request.End != nil && request.End.Outcome == "answered" {
			counts[start] += scale[start]
		} else {
			counts[start]++
		}
	}
	for start, count := range counts {
		report.readRequests[start] = int(count)
	}
	return report, nil
}

// figures returns the figures of the window with the start, if the report contains them. The report may be
// nil.
func (r *Report) figures(start time.Duration) (WindowFigures, bool) {
	if r == nil {
		return WindowFigures{}, false
	}
	for _, figures := range r.Windows {
		if second, err := strconv.Atoi(figures.Name); err == nil && time.Duration(second)*time.Second == start {
			return figures, true
		}
	}
	return WindowFigures{}, false
}

// unread returns by how much the requests of a window exceed those that nodes read in it, which is the
// minimum number that reached no node. It returns false if the report doesn't cover the window.
func (r *Report) unread(start time.Duration) (int, bool) {
	figures, found := r.figures(start)
	if !found {
		return 0, false
	}
	return max(figures.Requests-r.readRequests[start], 0), true
}

// formatParts returns the day's measures in one line, or "" without a report.
func (r *Report) formatParts() string {
	if r == nil {
		return ""
	}
	var texts []string
	for _, part := range r.Parts {
		texts = append(texts, fmt.Sprintf("%v %v (weight %v)", part[0], part[2], part[1]))
	}
	return strings.Join(texts, ", ")
}
