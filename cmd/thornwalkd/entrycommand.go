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
	"github.com/thornwalk/thornwalk/internal/entrydaemon"
)

// runEntryCommand runs 'thornwalkd entry' or one of its subcommands with the arguments after
// the word entry.
func runEntryCommand(arguments []string, output io.Writer) error {
	check := &ffcli.Command{
		Name: "check-settings", ShortUsage: "thornwalkd entry check-settings [FILE]",
		ShortHelp: "check a settings file, by default the one that " + entrydaemon.SettingsPathVariable + " names",
		Exec:      func(_ context.Context, files []string) error { return checkSettings(files, output) },
	}
	root := &ffcli.Command{
		Name: "entry", ShortUsage: "thornwalkd entry [check-settings]",
		ShortHelp: "serve callers behind a balancer, by the settings file that " + entrydaemon.SettingsPathVariable + " names",
		FlagSet:   flag.NewFlagSet("entry", flag.ContinueOnError), Subcommands: []*ffcli.Command{check},
		Exec: func(_ context.Context, rest []string) error {
			if len(rest) > 0 {
				return fmt.Errorf("unknown subcommand %q of thornwalkd entry: see thornwalkd entry -h", rest[0])
			}
			return entrydaemon.Run(nil)
		},
	}
	return root.ParseAndRun(context.Background(), arguments)
}

// checkSettings validates the named settings file, or the one that entrydaemon.SettingsPathVariable names if
// files is empty.
func checkSettings(files []string, output io.Writer) error {
	path := os.Getenv(entrydaemon.SettingsPathVariable)
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

// printVersion prints the module version, the source revision and the Go version of the build.
func printVersion(output io.Writer) error {
	info, found := debug.ReadBuildInfo()
	if !found {
		return fmt.Errorf("this binary has no build information: build it with the go command")
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
