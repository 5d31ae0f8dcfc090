package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/olekukonko/tablewriter"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/thornwalk/thornwalk/lab/emulator"
	"github.com/thornwalk/thornwalk/lab/report"
	"github.com/thornwalk/thornwalk/lab/workload"
)

// experimentCommand compares scheduling policies in an emulation under virtual time.
func experimentCommand() *ffcli.Command {
	flags := flag.NewFlagSet("experiment", flag.ExitOnError)
	deployment := flags.String("deployment", "agency", "agency or coop")
	load := flags.Float64("load", 1.0, "offered work as a multiple of the engines' capacity")
	seed := flags.Uint64("seed", 1, "seed of the arrivals and disturbances")
	duration := flags.Duration("duration", 120*time.Second, "emulated time during which requests arrive")
	policies := flags.String("policies", strings.Join(emulator.Policies, ","), "policies to compare")
	format := flags.String("format", "table", "table, json or html")
	return &ffcli.Command{
		Name: "experiment", ShortUsage: "thornwalk-lab experiment [flags]", FlagSet: flags,
		ShortHelp: "compare policies under virtual time on the same arrivals",
		Exec: func(context.Context, []string) error {
			selected, known := workload.ByName(*deployment)
			if !known {
				return fmt.Errorf("unknown deployment %q: choose agency or coop", *deployment)
			}
			experiment := emulator.Experiment{
				Deployment: selected, Load: *load, Seed: *seed, Duration: *duration,
				Policies: strings.Split(*policies, ","), Conditions: emulator.DefaultConditions,
			}
			results, err := experiment.Run()
			if err != nil {
				return err
			}
			return writeResults(os.Stdout, *format, experiment.String(), &selected, results)
		},
	}
}

func writeResults(writer io.Writer, format, title string, deployment *workload.Deployment, results []emulator.Result) error {
	switch format {
	case "json":
		encoder := json.NewEncoder(writer)
		encoder.SetIndent("", "  ")
		return encoder.Encode(results)
	case "html":
		return report.Experiment(writer, title, deployment, results)
	case "table":
		return printResultTable(writer, deployment, results)
	}
	return fmt.Errorf("unknown format %q: choose table, json or html", format)
}

func printResultTable(writer io.Writer, deployment *workload.Deployment, results []emulator.Result) error {
	kinds := append([]workload.Kind(nil), deployment.Kinds...)
	sort.SliceStable(kinds, func(i, j int) bool { return kinds[i].Rank < kinds[j].Rank })
	header := []string{"policy", "goodput"}
	for _, kind := range kinds {
		header = append(header, kind.Tier)
	}
	header = append(header, "wasted prefill", "share", "ttft p95 ms", "twice", "false not run", "inversions")
	table := tablewriter.NewWriter(writer)
	table.Header(header)
	for _, result := range results {
		row := []string{result.Policy, fmt.Sprintf("%.4f", result.GoodputTotal)}
		for _, kind := range kinds {
			row = append(row, fmt.Sprintf("%.4f", result.Goodput[kind.Tier]))
		}
		row = append(row, fmt.Sprint(result.WastedPrefillTokens), fmt.Sprintf("%.4f", result.WastedPrefillShare), fmt.Sprintf("%.0f", result.TTFTP95MS),
			fmt.Sprint(result.DispatchedTwice), fmt.Sprint(result.FalseNotRun), fmt.Sprint(result.ShedInversions))
		if err := table.Append(row); err != nil {
			return err
		}
	}
	return table.Render()
}
