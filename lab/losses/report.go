package losses

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// Report is what is used of the bench's report on a played day.
type Report struct {
	// Parts are the measures of the day: name, weight and value.
	Parts   [][3]any        `json:"parts"`
	Windows []WindowFigures `json:"windows"`
	// Ends counts how tries ended, by what the caller saw.
	Ends map[string]int `json:"ends"`
	// asked is how many requests the nodes read in each window.
	asked map[time.Duration]int
}

// WindowFigures are the figures of one window; Name is its first second.
type WindowFigures struct {
	Name  string  `json:"name"`
	Asked int     `json:"n"`
	Worth float64 `json:"worth"`
}

// ReadReport reads a report. The lines tell how many requests were read.
func ReadReport(reader io.Reader, lines *Lines) (*Report, error) {
	report := &Report{asked: map[time.Duration]int{}}
	if err := json.NewDecoder(reader).Decode(report); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	scale := lines.answeredScale()
	counts := map[time.Duration]float64{}
	for _, request := range lines.Requests {
		start := request.At.Truncate(window)
		if request.End != nil && request.End.Outcome == "answered" {
			counts[start] += scale[start]
		} else {
			counts[start]++
		}
	}
	for start, count := range counts {
		report.asked[start] = int(count)
	}
	return report, nil
}

func (r *Report) window(start time.Duration) (WindowFigures, bool) {
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

// unread returns by how many the requests of a window exceed the tries that nodes read
// in it: at least so many met no node.
func (r *Report) unread(start time.Duration) (int, bool) {
	figures, found := r.window(start)
	if !found {
		return 0, false
	}
	return max(figures.Asked-r.asked[start], 0), true
}

// parts returns the day's measures in one line.
func (r *Report) parts() string {
	if r == nil {
		return ""
	}
	var told []string
	for _, part := range r.Parts {
		told = append(told, fmt.Sprintf("%v %v (weight %v)", part[0], part[2], part[1]))
	}
	return strings.Join(told, ", ")
}
