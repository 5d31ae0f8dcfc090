package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/olekukonko/tablewriter"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/thornwalk/thornwalk/lab/loadgen"
	"github.com/thornwalk/thornwalk/lab/workload"
)

// exampleTenants are the tenants of the example settings by deployment, the largest first. The
// API key of a tenant is its name followed by "-key".
var exampleTenants = map[string][]string{
	"agency": {"couriers", "restaurants", "officers", "inspectors", "public"},
	"coop":   {"installers", "north-district", "south-district", "commissioning", "members"},
}

// loadCommand sends open-loop traffic to running daemons and prints the outcomes by tier.
func loadCommand() *ffcli.Command {
	flags := flag.NewFlagSet("load", flag.ExitOnError)
	deployment := flags.String("deployment", "agency", "agency or coop, whose example settings the nodes must have")
	addresses := flags.String("callers", "127.0.0.1:8100,127.0.0.1:8101,127.0.0.1:8102,127.0.0.1:8103,127.0.0.1:8104,127.0.0.1:8105,127.0.0.1:8106,127.0.0.1:8107", "callers' addresses of the nodes, on loopback")
	load := flags.Float64("load", 0.3, "offered work as a multiple of the engines' capacity")
	duration := flags.Duration("duration", 20*time.Second, "time during which requests are sent")
	seed := flags.Uint64("seed", 1, "seed of the arrivals")
	format := flags.String("format", "table", "table or json")
	return &ffcli.Command{
		Name: "load", ShortUsage: "thornwalk-lab load [flags]", FlagSet: flags,
		ShortHelp: "send open-loop arrivals at running daemons on loopback",
		Exec: func(ctx context.Context, _ []string) error {
			selected, known := workload.ByName(*deployment)
			if !known {
				return fmt.Errorf("unknown deployment %q: choose agency or coop", *deployment)
			}
			options := loadgen.Options{Deployment: selected, Addresses: strings.Split(*addresses, ","), Load: *load, Duration: *duration, Seed: *seed}
			for _, tenant := range exampleTenants[*deployment] {
				options.TenantKeys = append(options.TenantKeys, tenant+"-key")
			}
			rows, err := loadgen.Run(ctx, options)
			if err != nil {
				return err
			}
			return printLoadRows(rows, *format)
		},
	}
}

func printLoadRows(rows []loadgen.Row, format string) error {
	if format == "json" {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(rows)
	}
	table := tablewriter.NewWriter(os.Stdout)
	table.Header("tier", "sent", "goodput", "late", "not run", "unknown", "p50 ms", "p95 ms", "wrong or partial")
	for _, row := range rows {
		cells := []string{row.Tier, fmt.Sprint(row.Sent), fmt.Sprintf("%.4f", row.Goodput), fmt.Sprint(row.AnsweredLate), fmt.Sprint(row.NotRun),
			fmt.Sprint(row.Unknown), fmt.Sprintf("%.0f", row.AnswerP50MS), fmt.Sprintf("%.0f", row.AnswerP95MS), fmt.Sprint(row.WrongOrPartial)}
		if err := table.Append(cells); err != nil {
			return err
		}
	}
	return table.Render()
}
