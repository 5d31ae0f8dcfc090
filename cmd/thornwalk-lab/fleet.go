package main

import (
	"context"
	"encoding/json"
	"flag"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/thornwalk/thornwalk/internal/logging"
	"github.com/thornwalk/thornwalk/lab/fleet"
)

// fleetCommand measures the cost of coordination between many nodes in one process and prints it
// as JSON.
func fleetCommand() *ffcli.Command {
	flags := flag.NewFlagSet("fleet", flag.ExitOnError)
	options := fleet.Options{Progress: func(text string) { _, _ = os.Stderr.WriteString("• " + text + "\n") }}
	flags.IntVar(&options.Nodes, "nodes", 56, "hollow nodes")
	flags.IntVar(&options.Replicas, "replicas", 101, "hollow replicas")
	flags.IntVar(&options.Zones, "zones", 1, "zones")
	flags.IntVar(&options.Tenants, "tenants", 100, "tenants in the settings")
	flags.Float64Var(&options.Rate, "rate", 20, "keyed requests a second that must not be repeated")
	flags.DurationVar(&options.Duration, "duration", 10*time.Second, "time of the measurement")
	flags.DurationVar(&options.WarmUp, "warm-up", 15*time.Second, "time before the measurement")
	flags.DurationVar(&options.PollInterval, "poll-interval", time.Second, "setting poll_interval")
	flags.DurationVar(&options.Heartbeat, "heartbeat-interval", 500*time.Millisecond, "setting heartbeat_interval")
	return &ffcli.Command{
		Name: "fleet", ShortUsage: "thornwalk-lab fleet [flags]", FlagSet: flags,
		ShortHelp: "run many hollow nodes in one process and measure what control costs",
		Exec: func(ctx context.Context, _ []string) error {
			logging.Discard()
			result, err := fleet.Run(ctx, options)
			if err != nil {
				return err
			}
			encoder := json.NewEncoder(os.Stdout)
			encoder.SetIndent("", "  ")
			return encoder.Encode(result)
		},
	}
}
