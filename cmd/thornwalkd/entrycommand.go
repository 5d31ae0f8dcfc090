package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/thornwalk/thornwalk/entry"
)

// runEntryCommand runs 'thornwalkd entry' and what stands below it.
func runEntryCommand(arguments []string, output io.Writer) error {
	check := &ffcli.Command{
		Name: "check-settings", ShortUsage: "thornwalkd entry check-settings [FILE]",
		ShortHelp: "check a settings file, by default the one that " + settingsVariable + " names",
		Exec:      func(_ context.Context, files []string) error { return checkSettings(files, output) },
	}
	root := &ffcli.Command{
		Name: "entry", ShortUsage: "thornwalkd entry [check-settings]",
		ShortHelp: "serve callers behind a balancer, by the settings file that " + settingsVariable + " names",
		FlagSet:   flag.NewFlagSet("entry", flag.ContinueOnError), Subcommands: []*ffcli.Command{check},
		Exec: func(_ context.Context, rest []string) error {
			if len(rest) > 0 {
				return fmt.Errorf("%q is no command of thornwalkd entry: see thornwalkd entry -h", rest[0])
			}
			return runEntry()
		},
	}
	return root.ParseAndRun(context.Background(), arguments)
}

// checkSettings tells whether the file could be taken into force.
func checkSettings(files []string, output io.Writer) error {
	path := os.Getenv(settingsVariable)
	if len(files) > 0 {
		path = files[0]
	}
	settings, err := entry.LoadSettings(path)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(output, "%s: valid, node %s in zone %s\n", path, settings.Name, settings.Zone)
	return err
}

// printVersion tells which sources the program was built from.
func printVersion(output io.Writer) error {
	info, found := debug.ReadBuildInfo()
	if !found {
		return fmt.Errorf("the program holds no build information: build it with the go command")
	}
	revision := "unknown"
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			revision = setting.Value
		}
	}
	_, err := fmt.Fprintf(output, "thornwalkd %s, revision %s, %s\n", info.Main.Version, revision, info.GoVersion)
	return err
}
