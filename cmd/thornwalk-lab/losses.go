package main

import (
	"context"
	"flag"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/thornwalk/thornwalk/lab/losses"
)

// lossesCommand analyses the event log lines of a recorded run: where answers were lost or late,
// or how long configurations took to reach all nodes.
func lossesCommand() *ffcli.Command {
	flags := flag.NewFlagSet("losses", flag.ExitOnError)
	kinds := flags.String("kinds", "", "YAML file with the kinds of requests")
	lines := flags.String("lines", "", "file with the nodes' lines, each as SECONDS NODE JSON")
	report := flags.String("report", "", "the bench's report on the day; it may be missing")
	versions := flags.Bool("versions", false, "tell instead how long each configuration took to reach all nodes")
	tenants := flags.Bool("tenants", false, "tell instead what the attempts of each tenant got")
	closed := flags.Bool("closed", false, "tell instead how many answers were closed unfinished, by reason")
	return &ffcli.Command{
		Name: "losses", ShortUsage: "thornwalk-lab losses -lines FILE (-versions | -tenants | -closed | -kinds FILE [-report FILE])", FlagSet: flags,
		ShortHelp: "tell where the worth of a played day was lost, by window, kind and reason",
		Exec: func(context.Context, []string) error {
			parsed, err := readLines(*lines)
			if err != nil {
				return err
			}
			if *versions {
				return parsed.PrintVersions(os.Stdout)
			}
			if *tenants {
				return parsed.PrintTenants(os.Stdout)
			}
			if *closed {
				return parsed.PrintClosed(os.Stdout)
			}
			return printLosses(*kinds, parsed, *report)
		},
	}
}

func readLines(path string) (*losses.Lines, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return losses.ReadLines(file)
}

func printLosses(kindsPath string, lines *losses.Lines, reportPath string) error {
	kindsFile, err := os.Open(kindsPath)
	if err != nil {
		return err
	}
	defer kindsFile.Close()
	kinds, err := losses.ReadKinds(kindsFile)
	if err != nil {
		return err
	}
	report, err := openReport(reportPath, lines)
	if err != nil {
		return err
	}
	return losses.Tabulate(lines, kinds).Print(os.Stdout, report)
}

// openReport reads the report; it returns nil if path is empty.
func openReport(path string, lines *losses.Lines) (*losses.Report, error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return losses.ReadReport(file, lines)
}
