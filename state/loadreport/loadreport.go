// Package loadreport reads the load reports that replicas send in their responses. It has no I/O and no
// clock.
package loadreport

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Report is the load of a replica when it started a response.
type Report struct {
	// Running and Waiting count the requests at the replica, and Slots those that it can run at a time.
	Running, Waiting, Slots int
	// WorkTime is the time that work takes at this moment, in percent of the usual. It is zero if the
	// replica doesn't report it.
	WorkTime int
}

// InFlight returns the number of requests at the replica, running or not.
func (r Report) InFlight() int { return r.Running + r.Waiting }

const (
	// maxCount is the highest plausible number of requests or slots.
	maxCount = 100_000
	// maxWorkTime is the longest plausible work time.
	maxWorkTime = 10_000
	// minFigures is the number of figures without which a report is incomplete.
	minFigures = 3
	// maxErrorText bounds what errors quote of a figure.
	maxErrorText = 40
)

// Reasons why a report can't be read; errors of Parse match them with errors.Is.
var (
	// ErrTooFewFigures means that the report has fewer than three figures.
	ErrTooFewFigures = errors.New("fewer than 3 figures")
	// ErrNotAnInteger means that a figure is no decimal integer, or one that is too long.
	ErrNotAnInteger = errors.New("not an integer")
	// ErrNegative means that a figure is negative.
	ErrNegative = errors.New("negative")
	// ErrImplausible means that a figure is out of the range that replicas can mean.
	ErrImplausible = errors.New("out of range")
)

// FigureError says which figure of a report can't be read.
type FigureError struct {
	// Figure names the figure and Text is its text, shortened.
	Figure, Text string
	// Reason is one of the reasons above.
	Reason error
}

func (e *FigureError) Error() string {
	return fmt.Sprintf("parse load report: %s %q: %v", e.Figure, e.Text, e.Reason)
}

func (e *FigureError) Unwrap() error { return e.Reason }

// Parse reads a report of three or four integers joined by commas. Figures after the fourth are
// ignored, so that replicas can add some.
func Parse(text string) (Report, error) {
	figures := strings.SplitN(text, ",", minFigures+2)
	if len(figures) < minFigures {
		return Report{}, fmt.Errorf("parse load report: %w", ErrTooFewFigures)
	}
	var report Report
	for i, field := range []struct {
		name             string
		value            *int
		minimum, maximum int
	}{
		{"running", &report.Running, 0, maxCount},
		{"waiting", &report.Waiting, 0, maxCount},
		{"slots", &report.Slots, 0, maxCount},
		{"work time", &report.WorkTime, 1, maxWorkTime},
	} {
		if i >= len(figures) {
			break
		}
		value, reason := parseFigure(figures[i], field.minimum, field.maximum)
		if reason != nil {
			return Report{}, &FigureError{Figure: field.name, Text: fmt.Sprintf("%.*s", maxErrorText, figures[i]), Reason: reason}
		}
		*field.value = value
	}
	return report, nil
}

func parseFigure(text string, minimum, maximum int) (int, error) {
	value, err := strconv.Atoi(strings.TrimSpace(text))
	switch {
	case err != nil:
		return 0, ErrNotAnInteger
	case value < 0:
		return 0, ErrNegative
	case value < minimum || value > maximum:
		return 0, ErrImplausible
	}
	return value, nil
}
