package main

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/thornwalk/thornwalk/coordination/tenantstats"
	"github.com/thornwalk/thornwalk/entry"
)

// tenantsCommand shows what the tenants of each service get.
func tenantsCommand(o *options) *ffcli.Command {
	flags := o.flagSet("tenants")
	service := flags.String("service", "", "show this service only")
	return &ffcli.Command{
		Name: "tenants", ShortUsage: "thornwalk tenants [-service SERVICE]", FlagSet: flags,
		ShortHelp: "show what each tenant gets of each service, as the scheduling entry node counts it; those that use most come first",
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) > 0 {
				return fmt.Errorf("got the argument %q, and thornwalk tenants takes none: choose a service with -service", arguments[0])
			}
			table, err := o.client().Tenants(ctx)
			if err != nil {
				return err
			}
			var rows [][]string
			shown := table.Tenants[:0]
			for _, row := range table.Tenants {
				if *service == "" || row.Service == *service {
					shown = append(shown, row)
					rows = append(rows, tenantRow(row))
				}
			}
			table.Tenants = shown
			if o.output == "table" {
				enforced := "on"
				if !table.IsShared {
					enforced = "off: the column share is not enforced"
				}
				fmt.Printf("%s schedules and has counted for %s; tenant_shares is %s\n", table.Scheduler, milliseconds(table.CountedMS), enforced)
			}
			return o.print(table, []string{"service", "tenant", "priority", "weight", "share", "used share", "used", "queued", "running", "answered", "unanswered", "withdrawn", "refused", "longest wait"}, rows)
		},
	}
}

func tenantRow(row tenantstats.Row) []string {
	name := row.Tenant
	switch {
	case row.Others:
		name = "(others)"
	case name == "":
		name = "(none)"
	}
	return []string{
		row.Service, name, fmt.Sprint(row.Priority), fmt.Sprintf("%.2f", row.Weight), fmt.Sprintf("%.3f", row.Share), fmt.Sprintf("%.3f", row.UsedShare), fmt.Sprintf("%.1f s", row.Used),
		fmt.Sprint(row.Queued), fmt.Sprint(row.Running), fmt.Sprint(row.Answered), fmt.Sprint(row.Unanswered), fmt.Sprint(row.Withdrawn), refusedText(row.Refused), milliseconds(row.LongestWaitMS),
	}
}

// refusedText returns the rejections by reason, the most frequent first.
func refusedText(refused map[string]int64) string {
	reasons := slices.SortedFunc(maps.Keys(refused), func(a, b string) int {
		return cmp.Or(cmp.Compare(refused[b], refused[a]), strings.Compare(a, b))
	})
	texts := make([]string, 0, len(reasons))
	for _, reason := range reasons {
		texts = append(texts, fmt.Sprintf("%s %d", reason, refused[reason]))
	}
	return strings.Join(texts, ", ")
}

func milliseconds(count int64) string { return (time.Duration(count) * time.Millisecond).String() }

// printRejections prints why an entry node's scheduling node rejected a request.
func (o *options) printRejections(found *entry.Rejections) error {
	var rows [][]string
	for _, e := range found.Rejections {
		rows = append(rows, []string{
			milliseconds(e.AgoMS), e.Request, e.Content.String(), e.Service, e.Route, e.Tenant, e.Reason, fmt.Sprint(e.QueuedAhead), fmt.Sprint(e.FreeSlots),
			milliseconds(e.ExpectedMS), milliseconds(e.WaitedMS), milliseconds(e.RetryAfterMS),
			fmt.Sprintf("%.3f", e.Share), fmt.Sprintf("%.3f", e.UsedShare), fmt.Sprintf("%.1f s", e.Used), quotaText(e),
		})
	}
	if o.output == "table" {
		fmt.Fprintf(os.Stdout, "decided by %s, which has counted for %s\n", found.Scheduler, milliseconds(found.CountedMS))
	}
	return o.print(found, []string{"ago", "request", "content", "service", "route", "tenant", "reason", "ahead", "free slots", "expected wait", "waited", "retry after", "share", "used share", "used", "quota"}, rows)
}

// quotaText returns the quota that rejected the request, or nothing.
func quotaText(e tenantstats.Explanation) string {
	if e.QuotaRate <= 0 {
		return ""
	}
	return fmt.Sprintf("cost %s of %s per second", decimal(e.Cost), decimal(e.QuotaRate))
}

// decimal returns the number without exponent and with at most two decimals.
func decimal(number float64) string {
	return strconv.FormatFloat(math.Round(100*number)/100, 'f', -1, 64)
}
