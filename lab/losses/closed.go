package losses

import (
	"fmt"
	"io"
	"strings"
)

// PrintClosed writes as Markdown, for each reason, how many answers were closed unfinished at their callers, with and
// without a search for another replica before.
func (l *Lines) PrintClosed(writer io.Writer) error {
	type counts struct{ searched, others int }
	reasons := map[string]counts{}
	for _, request := range l.Requests {
		if request.End == nil || !request.End.IsClosed {
			continue
		}
		row := reasons[request.End.Reason]
		if request.IsSearched {
			row.searched++
		} else {
			row.others++
		}
		reasons[request.End.Reason] = row
	}
	text := &strings.Builder{}
	text.WriteString("| reason | closed | after a search | without a search |\n|---|---|---|---|\n")
	for _, reason := range sortedKeys(reasons) {
		row := reasons[reason]
		fmt.Fprintf(text, "| %s | %d | %d | %d |\n", reason, row.searched+row.others, row.searched, row.others)
	}
	_, err := io.WriteString(writer, text.String())
	return err
}
