package losses

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"time"
)

// Reasons in addition to those in the nodes' logs.
const (
	reasonInTime         = "in time"
	reasonLateFirstEvent = "first event late"
	reasonPause          = "pause"
	reasonLate           = "late"
	reasonReplicaFailed  = "replica failed"
	reasonNodeEnded      = "node ended"
	retryPrefix          = "again: "
)

// windowLength is the length of the windows that the day is divided into.
const windowLength = 2 * time.Second

// linesPerAnswered is the number of lines of a request that is answered at the first attempt: received,
// placed, sent, ended.
const linesPerAnswered = 4

// clockSlack is how much of a first attempt's time may have passed when a node reads it.
const clockSlack = 250 * time.Millisecond

// Table is the worth by reason, for each window, each kind and the day.
type Table struct {
	// Windows is keyed by the start of the window, Kinds by the name of the kind.
	Windows map[time.Duration]map[string]float64
	Kinds   map[string]map[string]float64
	Total   map[string]float64
}

// Tabulate sums the worth of all requests by the reason of their end. kinds must not be empty.
func Tabulate(lines *Lines, kinds []Kind) *Table {
	table := &Table{Windows: map[time.Duration]map[string]float64{}, Kinds: map[string]map[string]float64{}, Total: map[string]float64{}}
	byRoute := kindsOfRoutes(lines.Requests, kinds)
	scale := lines.answeredScale()
	maxLeft := maxTimesLeft(lines.Requests)
	for _, request := range lines.Requests {
		kind := byRoute[request.Route]
		reason := kind.reason(request)
		if reason == "no-route" || reason == "unknown-key" {
			continue // no answer is due for these
		}
		worth := kind.worth(request.Prompt, request.Answer)
		start := request.At.Truncate(windowLength)
		if request.End != nil && request.End.Outcome == "answered" {
			worth *= scale[start]
		}
		if kind.MaxPauseMS > 0 && request.Left < maxLeft[routeWindow{request.Route, start}]-clockSlack.Milliseconds() {
			reason = retryPrefix + reason
		}
		addWorth(table.Windows, start, reason, worth)
		addWorth(table.Kinds, kind.Name, reason, worth)
		table.Total[reason] += worth
	}
	return table
}

func addWorth[K comparable](rows map[K]map[string]float64, key K, reason string, worth float64) {
	if rows[key] == nil {
		rows[key] = map[string]float64{}
	}
	rows[key][reason] += worth
}

// kindsOfRoutes returns the kind of each route, found by the longest time left and the mean prompt of the
// route's requests.
func kindsOfRoutes(requests []*Request, kinds []Kind) map[string]*Kind {
	type routeStats struct {
		deadline       int64
		prompts, count float64
	}
	routes := map[string]*routeStats{}
	for _, request := range requests {
		route, found := routes[request.Route]
		if !found {
			route = &routeStats{}
			routes[request.Route] = route
		}
		route.deadline = max(route.deadline, request.Left)
		route.prompts += float64(request.Prompt)
		route.count++
	}
	byRoute := map[string]*Kind{}
	for name, route := range routes {
		byRoute[name] = closestKind(kinds, route.deadline, route.prompts/route.count)
	}
	return byRoute
}

// answeredScale returns, by start of the window, the number of answered requests for each one whose
// lines were logged.
func (l *Lines) answeredScale() map[time.Duration]float64 {
	logged, omitted := map[time.Duration]float64{}, map[time.Duration]float64{}
	for _, request := range l.Requests {
		if request.End != nil && request.End.Outcome == "answered" {
			logged[request.At.Truncate(windowLength)]++
		}
	}
	for _, sample := range l.sampledOut {
		omitted[(sample.at - windowLength/2).Truncate(windowLength)] += float64(sample.lines) / linesPerAnswered
	}
	scale := map[time.Duration]float64{}
	for start, count := range logged {
		scale[start] = (count + omitted[start]) / count
	}
	return scale
}

type routeWindow struct {
	route string
	start time.Duration
}

// maxTimesLeft returns the longest time left, in milliseconds, of the requests of each route and window.
// It is taken as the time left of a first attempt; a request with clearly less time is a retry.
func maxTimesLeft(requests []*Request) map[routeWindow]int64 {
	maxLeft := map[routeWindow]int64{}
	for _, request := range requests {
		key := routeWindow{request.Route, request.At.Truncate(windowLength)}
		maxLeft[key] = max(maxLeft[key], request.Left)
	}
	return maxLeft
}

// reason returns the reason of the request's end: one of the constants or the one that the node logged.
func (k *Kind) reason(request *Request) string {
	end := request.End
	switch {
	case end == nil:
		return reasonNodeEnded
	case end.Outcome != "answered":
		return end.Reason
	case end.Status >= http.StatusInternalServerError:
		return reasonReplicaFailed
	case k.MaxPauseMS > 0 && request.Placed+end.FirstEventMS > k.TargetMS:
		return reasonLateFirstEvent
	case k.MaxPauseMS > 0 && end.MaxPauseMS > k.MaxPauseMS:
		return reasonPause
	case k.MaxPauseMS == 0 && end.TookMS > k.TargetMS:
		return reasonLate
	}
	return reasonInTime
}

const maxReasonsShown = 8

// Print writes the table as Markdown, with the report's figures of each window. The report may be nil.
func (t *Table) Print(writer io.Writer, report *Report) error {
	text := &strings.Builder{}
	text.WriteString("| from second | worth seen | report | never read | reasons |\n|---|---|---|---|---|\n")
	for _, start := range sortedKeys(t.Windows) {
		reported, unread := "", ""
		if figures, found := report.figures(start); found {
			reported = fmt.Sprintf("%.2f", figures.Worth)
		}
		if count, found := report.unread(start); found {
			unread = fmt.Sprint(count)
		}
		row := t.Windows[start]
		fmt.Fprintf(text, "| %.0f | %.0f | %s | %s | %s |\n", start.Seconds(), sumOf(row), reported, unread, shares(row))
	}
	for _, name := range sortedKeys(t.Kinds) {
		fmt.Fprintf(text, "| %s | %.0f | | | %s |\n", name, sumOf(t.Kinds[name]), shares(t.Kinds[name]))
	}
	fmt.Fprintf(text, "| whole day | %.0f | %s | | %s |\n", sumOf(t.Total), report.formatParts(), shares(t.Total))
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

func sumOf(row map[string]float64) float64 {
	sum := 0.0
	for _, worth := range row {
		sum += worth
	}
	return sum
}

// shares formats the maxReasonsShown largest shares of the row.
func shares(row map[string]float64) string {
	reasons := sortedKeys(row)
	sort.SliceStable(reasons, func(i, j int) bool { return row[reasons[i]] > row[reasons[j]] })
	var parts []string
	for _, reason := range reasons[:min(maxReasonsShown, len(reasons))] {
		parts = append(parts, fmt.Sprintf("%s %.3f", reason, row[reason]/max(sumOf(row), 1e-9)))
	}
	return strings.Join(parts, ", ")
}
