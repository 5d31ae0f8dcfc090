package losses

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"time"
)

// Reasons beside those that the nodes give.
const (
	inTime    = "in time"
	lateFirst = "first event late"
	pause     = "pause"
	late      = "late"
	failed    = "replica failed"
	nodeEnded = "node ended"
	again     = "again: "
)

// window is the length of the parts of the day that are told.
const window = 2 * time.Second

// linesOfAnswered is how many lines a request writes that is answered at once: received,
// placed, sent, ended.
const linesOfAnswered = 4

// clockSlack is how much of a first try's time may be gone when the node reads it.
const clockSlack = 250 * time.Millisecond

// Table holds the worth by row and reason.
type Table struct {
	// Windows is by start of the window, Kinds by name of the kind.
	Windows map[time.Duration]map[string]float64
	Kinds   map[string]map[string]float64
	Whole   map[string]float64
}

// Tabulate sums the worth of all requests by how they ended.
func Tabulate(lines *Lines, kinds []Kind) *Table {
	table := &Table{Windows: map[time.Duration]map[string]float64{}, Kinds: map[string]map[string]float64{}, Whole: map[string]float64{}}
	byRoute := kindsOfRoutes(lines.Requests, kinds)
	scale := lines.answeredScale()
	longest := longestTimes(lines.Requests)
	for _, request := range lines.Requests {
		kind := byRoute[request.Route]
		reason := kind.reason(request)
		if reason == "no-route" || reason == "unknown-key" {
			continue // nothing is owed for these
		}
		worth := kind.worth(request.Prompt, request.Answer)
		start := request.At.Truncate(window)
		if request.End != nil && request.End.Outcome == "answered" {
			worth *= scale[start]
		}
		if kind.Pause > 0 && request.Left < longest[routeWindow{request.Route, start}]-clockSlack.Milliseconds() {
			reason = again + reason
		}
		add(table.Windows, start, reason, worth)
		add(table.Kinds, kind.Name, reason, worth)
		table.Whole[reason] += worth
	}
	return table
}

func add[K comparable](rows map[K]map[string]float64, key K, reason string, worth float64) {
	if rows[key] == nil {
		rows[key] = map[string]float64{}
	}
	rows[key][reason] += worth
}

// kindsOfRoutes finds the kind of each route by its longest deadline and mean prompt.
func kindsOfRoutes(requests []*Request, kinds []Kind) map[string]*Kind {
	type seen struct {
		deadline       int64
		prompts, count float64
	}
	routes := map[string]*seen{}
	for _, request := range requests {
		route, found := routes[request.Route]
		if !found {
			route = &seen{}
			routes[request.Route] = route
		}
		route.deadline = max(route.deadline, request.Left)
		route.prompts += float64(request.Prompt)
		route.count++
	}
	byRoute := map[string]*Kind{}
	for name, route := range routes {
		byRoute[name] = closest(kinds, route.deadline, route.prompts/route.count)
	}
	return byRoute
}

// answeredScale returns for each window for how many answered requests one stands
// whose lines were kept.
func (l *Lines) answeredScale() map[time.Duration]float64 {
	kept, without := map[time.Duration]float64{}, map[time.Duration]float64{}
	for _, request := range l.Requests {
		if request.End != nil && request.End.Outcome == "answered" {
			kept[request.At.Truncate(window)]++
		}
	}
	for _, one := range l.leftOut {
		without[(one.at - window/2).Truncate(window)] += float64(one.lines) / linesOfAnswered
	}
	scale := map[time.Duration]float64{}
	for start, count := range kept {
		scale[start] = (count + without[start]) / count
	}
	return scale
}

// routeWindow is one route in one window.
type routeWindow struct {
	route string
	start time.Duration
}

// longestTimes returns the longest time, in milliseconds, that was left to any request
// of a route in a window: that of a first try, as operators change the routes' times.
// A caller with clearly less has tried before.
func longestTimes(requests []*Request) map[routeWindow]int64 {
	longest := map[routeWindow]int64{}
	for _, request := range requests {
		key := routeWindow{request.Route, request.At.Truncate(window)}
		longest[key] = max(longest[key], request.Left)
	}
	return longest
}

// reason returns how the request ended.
func (k *Kind) reason(request *Request) string {
	end := request.End
	switch {
	case end == nil:
		return nodeEnded
	case end.Outcome != "answered":
		return end.Reason
	case end.Status >= http.StatusInternalServerError:
		return failed
	case k.Pause > 0 && request.Placed+end.First > k.Target:
		return lateFirst
	case k.Pause > 0 && end.Pause > k.Pause:
		return pause
	case k.Pause == 0 && end.Took > k.Target:
		return late
	}
	return inTime
}

// shownReasons is how many reasons of a row are printed.
const shownReasons = 8

// Print writes the table as Markdown, with the report's figures of each window if there
// are any.
func (t *Table) Print(writer io.Writer, report *Report) error {
	text := &strings.Builder{}
	text.WriteString("| from second | worth seen | report | never read | reasons |\n|---|---|---|---|---|\n")
	for _, start := range sortedKeys(t.Windows) {
		reported, unread := "", ""
		if figures, found := report.window(start); found {
			reported = fmt.Sprintf("%.2f", figures.Worth)
		}
		if count, found := report.unread(start); found {
			unread = fmt.Sprint(count)
		}
		row := t.Windows[start]
		fmt.Fprintf(text, "| %.0f | %.0f | %s | %s | %s |\n", start.Seconds(), total(row), reported, unread, shares(row))
	}
	for _, name := range sortedKeys(t.Kinds) {
		fmt.Fprintf(text, "| %s | %.0f | | | %s |\n", name, total(t.Kinds[name]), shares(t.Kinds[name]))
	}
	fmt.Fprintf(text, "| whole day | %.0f | %s | | %s |\n", total(t.Whole), report.parts(), shares(t.Whole))
	_, err := io.WriteString(writer, text.String())
	return err
}

func sortedKeys[K interface{ ~string | ~int64 }, V any](rows map[K]V) []K {
	keys := make([]K, 0, len(rows))
	for key := range rows {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}

func total(row map[string]float64) float64 {
	sum := 0.0
	for _, worth := range row {
		sum += worth
	}
	return sum
}

// shares returns the largest shares of the row.
func shares(row map[string]float64) string {
	reasons := sortedKeys(row)
	sort.SliceStable(reasons, func(i, j int) bool { return row[reasons[i]] > row[reasons[j]] })
	var parts []string
	for _, reason := range reasons[:min(shownReasons, len(reasons))] {
		parts = append(parts, fmt.Sprintf("%s %.3f", reason, row[reason]/max(total(row), 1e-9)))
	}
	return strings.Join(parts, ", ")
}
