package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/olekukonko/tablewriter"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/thornwalk/thornwalk/internal/logging"
	"github.com/thornwalk/thornwalk/lab/cluster"
	"github.com/thornwalk/thornwalk/lab/demo"
)

// demoCommand runs a cluster of package node on embedded stand-ins under mixed traffic and checks
// the guarantees to callers.
func demoCommand() *ffcli.Command {
	flags := flag.NewFlagSet("demo", flag.ExitOnError)
	duration := flags.Duration("duration", 12*time.Second, "time during which requests are sent")
	rate := flags.Float64("rate", 120, "requests a second over all zones")
	seed := flags.Uint64("seed", 1, "seed of the traffic")
	keep := flags.Bool("keep", false, "go on serving at the end and print a command that works")
	jsonFile := flags.String("json", "", "write the result to this file")
	verbose := flags.Bool("log", false, "log every decision as a JSON line on standard error")
	return &ffcli.Command{
		Name: "demo", ShortUsage: "thornwalk-lab demo [flags]", FlagSet: flags,
		ShortHelp: "run three zones of three nodes with mixed traffic and judge the promises",
		Exec: func(ctx context.Context, _ []string) error {
			return runDemo(ctx, demo.Options{Duration: *duration, Rate: *rate, Seed: *seed, Progress: printProgress}, *keep, *jsonFile, *verbose)
		},
	}
}

func printProgress(text string) { fmt.Println("•", text) }

func runDemo(ctx context.Context, options demo.Options, keep bool, jsonFile string, verbose bool) error {
	logging.Discard()
	if verbose {
		if err := logging.ToJSON(os.Stderr, 0); err != nil {
			return err
		}
	}
	printProgress("starting 3 zones × 3 nodes, engines, services, store and machine list on loopback")
	c, err := demo.StartCluster(ctx, options.Seed, verbose)
	if err != nil {
		return err
	}
	defer c.Stop()
	result, err := demo.Run(ctx, c, options)
	if err != nil {
		return err
	}
	if err := printResult(&result, jsonFile); err != nil {
		return err
	}
	if keep {
		serveUntilInterrupted(ctx, c)
	}
	if len(result.Violations) > 0 {
		return fmt.Errorf("%d promises were broken", len(result.Violations))
	}
	if !result.DrainedCleanly {
		return errors.New("the planned stop did not end cleanly")
	}
	return nil
}

// printResult prints the result and, unless jsonFile is empty, writes it there as JSON.
func printResult(result *demo.Result, jsonFile string) error {
	table := tablewriter.NewWriter(os.Stdout)
	table.Header("tier", "sent", "answered in time", "answered late", "not run", "unknown", "wasted prefill tokens")
	for _, row := range result.Rows {
		cells := []string{row.Tier}
		for _, number := range []int{row.Sent, row.AnsweredInTime, row.AnsweredLate, row.NotRun, row.Unknown, row.WastedPrefill} {
			cells = append(cells, strconv.Itoa(number))
		}
		if err := table.Append(cells); err != nil {
			return err
		}
	}
	if err := table.Render(); err != nil {
		return err
	}
	for _, violation := range result.Violations {
		fmt.Println("BROKEN:", violation)
	}
	fmt.Printf("settings change in force after %s; %s drained cleanly: %v; broken promises: %d\n", result.ChangeInForce, result.DrainedNode, result.DrainedCleanly, len(result.Violations))
	if jsonFile == "" {
		return nil
	}
	content, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(jsonFile, append(content, '\n'), 0o644)
}

// serveUntilInterrupted prints example commands for the cluster and blocks until ctx is done.
func serveUntilInterrupted(ctx context.Context, c *cluster.Cluster) {
	address := c.Node(cluster.NodeName(demo.Zones[0], 0)).CallerAddress()
	operator := c.Node(cluster.NodeName(demo.Zones[0], 0)).OperatorAddress()
	fmt.Printf("\nServing until interrupted. Try:\n\n  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer couriers-key' -H 'Content-Type: application/json' \\\n    -d '{\"model\":\"ruling\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"May I cross zone 4?\"}]}'\n\n", address)
	fmt.Printf("Operators: THORNWALK_OPERATOR=%s THORNWALK_TOKEN=%s go run ./cmd/thornwalk status\n", operator, cluster.OperatorToken)
	<-ctx.Done()
}
