package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/olekukonko/tablewriter"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/thornwalk/thornwalk/internal/logging"
	"github.com/thornwalk/thornwalk/lab/entrydemo"
)

// entryDemoCommand runs nodes of package entry on stand-ins of the platform and checks the
// guarantees to callers.
func entryDemoCommand() *ffcli.Command {
	flags := flag.NewFlagSet("entry-demo", flag.ExitOnError)
	duration := flags.Duration("duration", 10*time.Second, "time during which requests are sent")
	rate := flags.Float64("rate", 60, "requests a second")
	verbose := flags.Bool("log", false, "write the nodes' JSON lines to standard error")
	return &ffcli.Command{
		Name: "entry-demo", ShortUsage: "thornwalk-lab entry-demo [flags]", FlagSet: flags,
		ShortHelp: "run three entry nodes over stand-ins of the platform and judge the promises",
		Exec: func(ctx context.Context, _ []string) error {
			logging.Discard()
			options := entrydemo.Options{Duration: *duration, Rate: *rate, Progress: printProgress}
			if *verbose {
				options.Log = os.Stderr
			}
			return runEntryDemo(ctx, options)
		},
	}
}

func runEntryDemo(ctx context.Context, options entrydemo.Options) error {
	result, err := entrydemo.Run(ctx, options)
	if err != nil {
		return err
	}
	table := tablewriter.NewWriter(os.Stdout)
	table.Header("route", "sent", "answered", "refused (not run)", "unknown", "connection lost")
	for _, row := range result.Rows {
		cells := []string{row.Route}
		for _, count := range []int{row.Sent, row.Answered, row.Refused, row.Unknown, row.Dropped} {
			cells = append(cells, strconv.Itoa(count))
		}
		if err := table.Append(cells); err != nil {
			return err
		}
	}
	if err := table.Render(); err != nil {
		return err
	}
	fmt.Printf("ran twice: %d, refused but ran: %d\n", result.RanTwice, result.RefusedButRan)
	if result.RanTwice+result.RefusedButRan > 0 {
		return fmt.Errorf("a promise was broken: run again with -log and read the request with thornwalk explain -logs")
	}
	return nil
}
