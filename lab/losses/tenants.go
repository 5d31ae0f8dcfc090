package losses

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
)

// TenantTotals counts the attempts of one tenant at one service. The answered ones are scaled up like
// worth, as nodes log only a sample of them under load.
type TenantTotals struct {
	Service, Tenant string
	Answered        float64
	// Refused counts the attempts that ended without an answer, by reason.
	Refused map[string]int
}

// Attempts returns the number of attempts that ended.
func (t *TenantTotals) Attempts() float64 {
	attempts := t.Answered
	for _, count := range t.Refused {
		attempts += float64(count)
	}
	return attempts
}

// Tenants returns the totals by service and tenant, those with the most attempts of a service first.
func (l *Lines) Tenants() []*TenantTotals {
	scale := l.answeredScale()
	totals := map[[2]string]*TenantTotals{}
	for _, request := range l.Requests {
		if request.End == nil || request.End.Service == "" || request.End.Tenant == "" {
			continue
		}
		key := [2]string{request.End.Service, request.End.Tenant}
		if totals[key] == nil {
			totals[key] = &TenantTotals{Service: key[0], Tenant: key[1], Refused: map[string]int{}}
		}
		if request.End.Outcome == "answered" {
			totals[key].Answered += scale[request.At.Truncate(windowLength)]
		} else {
			totals[key].Refused[request.End.Reason]++
		}
	}
	var sorted []*TenantTotals
	for _, total := range totals {
		sorted = append(sorted, total)
	}
	slices.SortFunc(sorted, func(a, b *TenantTotals) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), cmp.Compare(b.Attempts(), a.Attempts()), strings.Compare(a.Tenant, b.Tenant))
	})
	return sorted
}

// maxTenantReasons is the number of reasons in a row of PrintTenants, the most frequent first.
const maxTenantReasons = 3

// PrintTenants writes as Markdown what each tenant's attempts got.
func (l *Lines) PrintTenants(writer io.Writer) error {
	text := &strings.Builder{}
	text.WriteString("| service | tenant | attempts | answered | share | not answered, by reason |\n|---|---|---|---|---|---|\n")
	for _, total := range l.Tenants() {
		attempts := total.Attempts()
		fmt.Fprintf(text, "| %s | %s | %.0f | %.0f | %.2f | %s |\n", total.Service, total.Tenant, attempts, total.Answered, total.Answered/max(attempts, 1), total.formatReasons())
	}
	_, err := io.WriteString(writer, text.String())
	return err
}

func (t *TenantTotals) formatReasons() string {
	reasons := sortedKeys(t.Refused)
	slices.SortStableFunc(reasons, func(a, b string) int { return t.Refused[b] - t.Refused[a] })
	var texts []string
	for _, reason := range reasons[:min(len(reasons), maxTenantReasons)] {
		texts = append(texts, fmt.Sprintf("%s %d", reason, t.Refused[reason]))
	}
	return strings.Join(texts, ", ")
}
