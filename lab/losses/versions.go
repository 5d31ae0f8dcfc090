package losses

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/thornwalk/thornwalk/internal/eventlog"
)

// versionTimes is, by configuration version, the times at which nodes activated it.
type versionTimes map[int64][]time.Duration

func (v versionTimes) add(at time.Duration, event *eventlog.Event) {
	if event.Outcome == "in-force" {
		v[event.Version] = append(v[event.Version], at)
	}
}

// PrintVersions writes as Markdown, for each configuration, how many processes activated it and how long
// after the first of them half, nine in ten and all of them did. Processes that started later or were
// partitioned count too.
func (l *Lines) PrintVersions(writer io.Writer) error {
	text := &strings.Builder{}
	text.WriteString("| version | first at s | processes | half after ms | nine in ten after ms | last after ms |\n|---|---|---|---|---|---|\n")
	for _, version := range sortedKeys(l.versions) {
		times := slices.Sorted(slices.Values(l.versions[version]))
		first := times[0]
		after := func(index int) int64 { return (times[index] - first).Milliseconds() }
		fmt.Fprintf(text, "| %d | %.2f | %d | %d | %d | %d |\n", version, first.Seconds(), len(times),
			after(len(times)/2), after(len(times)*9/10), after(len(times)-1))
	}
	_, err := io.WriteString(writer, text.String())
	return err
}
