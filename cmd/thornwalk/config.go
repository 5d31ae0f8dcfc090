package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/user"
	"sort"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/thornwalk/thornwalk/coordination/settingsync"
	"github.com/thornwalk/thornwalk/node"
	"github.com/thornwalk/thornwalk/state/settings"
)

func configCommand(o *options) *ffcli.Command {
	return &ffcli.Command{
		Name: "config", ShortUsage: "thornwalk config <subcommand>", ShortHelp: "read and change the settings tree",
		Subcommands: []*ffcli.Command{
			getCommand(o), setCommand(o), unsetCommand(o), applyCommand(o), diffCommand(o), historyCommand(o), validateCommand(), schemaCommand(o), referenceCommand(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func getCommand(o *options) *ffcli.Command {
	return &ffcli.Command{
		Name: "get", ShortUsage: "thornwalk config get [PATH [KEY]]", ShortHelp: "show the tree as YAML, a branch, or the value in force with its origin", FlagSet: o.flagSet("get"),
		Exec: func(ctx context.Context, arguments []string) error {
			tree, _, err := o.client().Settings(ctx)
			if err != nil {
				return err
			}
			switch len(arguments) {
			case 0:
				content, err := settings.FormatYAML(tree)
				if err != nil {
					return err
				}
				_, err = os.Stdout.Write(content)
				return err
			case 1:
				return o.printBranch(tree, arguments[0])
			default:
				value, origin, err := tree.Lookup(arguments[0], arguments[1])
				if err != nil {
					return err
				}
				fmt.Printf("%s (%s)\n", value, origin)
				return nil
			}
		},
	}
}

// printBranch prints every key of a branch with its effective value and where that is set.
func (o *options) printBranch(tree *settings.Tree, path string) error {
	type row struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Origin string `json:"origin"`
	}
	var values []row
	var rows [][]string
	for _, spec := range settings.Schema() {
		value, origin, err := tree.Lookup(path, spec.Key)
		if err != nil {
			return err
		}
		values = append(values, row{spec.Key, value, origin})
		rows = append(rows, []string{spec.Key, value, origin})
	}
	return o.print(values, []string{"key", "value", "set at"}, rows)
}

func setCommand(o *options) *ffcli.Command {
	set := o.flagSet("set")
	wait := set.Bool("wait", true, "wait until the change is in force and say where")
	return &ffcli.Command{
		Name: "set", ShortUsage: "thornwalk config set PATH KEY=VALUE...", ShortHelp: "set values of a branch", FlagSet: set,
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) < 2 {
				return errors.New("missing arguments: name a path and at least one KEY=VALUE")
			}
			var edits []settingsync.Edit
			for _, argument := range arguments[1:] {
				key, text, found := strings.Cut(argument, "=")
				if !found {
					return fmt.Errorf("argument %q does not have the form KEY=VALUE", argument)
				}
				edits = append(edits, settingsync.Edit{Path: arguments[0], Key: key, Text: text})
			}
			return o.submitEdits(ctx, *wait, edits...)
		},
	}
}

func unsetCommand(o *options) *ffcli.Command {
	set := o.flagSet("unset")
	wait := set.Bool("wait", true, "wait until the change is in force and say where")
	return &ffcli.Command{
		Name: "unset", ShortUsage: "thornwalk config unset PATH [KEY...]", ShortHelp: "let a branch inherit keys again, or remove it", FlagSet: set,
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) == 0 {
				return errors.New("missing argument: name a path")
			}
			if len(arguments) == 1 {
				return o.submitEdits(ctx, *wait, settingsync.Edit{Path: arguments[0], Remove: true})
			}
			var edits []settingsync.Edit
			for _, key := range arguments[1:] {
				edits = append(edits, settingsync.Edit{Path: arguments[0], Key: key, Unset: true})
			}
			return o.submitEdits(ctx, *wait, edits...)
		},
	}
}

func applyCommand(o *options) *ffcli.Command {
	set := o.flagSet("apply")
	wait := set.Bool("wait", true, "wait until the change is in force and say where")
	return &ffcli.Command{
		Name: "apply", ShortUsage: "thornwalk config apply FILE", ShortHelp: "make the tree equal to a YAML file", FlagSet: set,
		Exec: func(ctx context.Context, arguments []string) error {
			target, err := readTreeFile(arguments)
			if err != nil {
				return err
			}
			tree, reply, err := o.client().Settings(ctx)
			if err != nil {
				return err
			}
			edits := editsBetween(tree, target)
			if len(edits) == 0 {
				fmt.Println("no difference")
				return nil
			}
			return o.submitChange(ctx, *wait, reply.Generation, edits)
		},
	}
}

// editsBetween returns the edits that make tree equal to target.
func editsBetween(tree, target *settings.Tree) []settingsync.Edit {
	var edits []settingsync.Edit
	for _, branch := range tree.Branches() {
		if _, kept := target.Branch(branch.Path); !kept {
			edits = append(edits, settingsync.Edit{Path: branch.Path, Remove: true})
		}
	}
	for _, branch := range target.Branches() {
		before, existed := tree.Branch(branch.Path)
		if !existed && len(branch.Settings) == 0 {
			// No edit creates a branch without own values: set a value and unset it again.
			edits = append(edits, settingsync.Edit{Path: branch.Path, Key: "weight", Text: "1"}, settingsync.Edit{Path: branch.Path, Key: "weight", Unset: true})
		}
		for _, setting := range branch.Settings {
			if text, set := before.Get(setting.Key); !set || text != setting.Text {
				edits = append(edits, settingsync.Edit{Path: branch.Path, Key: setting.Key, Text: setting.Text})
			}
		}
		for _, setting := range before.Settings {
			if _, kept := branch.Get(setting.Key); !kept {
				edits = append(edits, settingsync.Edit{Path: branch.Path, Key: setting.Key, Unset: true})
			}
		}
	}
	return edits
}

func diffCommand(o *options) *ffcli.Command {
	return &ffcli.Command{
		Name: "diff", ShortUsage: "thornwalk config diff FILE", ShortHelp: "show what apply would change", FlagSet: o.flagSet("diff"),
		Exec: func(ctx context.Context, arguments []string) error {
			target, err := readTreeFile(arguments)
			if err != nil {
				return err
			}
			tree, _, err := o.client().Settings(ctx)
			if err != nil {
				return err
			}
			changes := settings.Diff(tree, target)
			var rows [][]string
			for _, change := range changes {
				rows = append(rows, []string{"/" + change.Path, change.Key, change.Before, change.After})
			}
			return o.print(changes, []string{"path", "key", "in force", "file"}, rows)
		},
	}
}

func historyCommand(o *options) *ffcli.Command {
	return &ffcli.Command{
		Name: "history", ShortUsage: "thornwalk config history", ShortHelp: "show the last accepted changes", FlagSet: o.flagSet("history"),
		Exec: func(ctx context.Context, _ []string) error {
			_, reply, err := o.client().Settings(ctx)
			if err != nil {
				return err
			}
			var rows [][]string
			for _, record := range reply.Changes {
				for _, edit := range record.Edits {
					rows = append(rows, []string{fmt.Sprint(record.Generation), time.Unix(record.Unix, 0).UTC().Format(time.RFC3339), record.Author, "/" + edit.Path, edit.Key, edit.Before, edit.After})
				}
			}
			return o.print(reply.Changes, []string{"generation", "time", "author", "path", "key", "before", "after"}, rows)
		},
	}
}

func validateCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "validate", ShortUsage: "thornwalk config validate FILE", ShortHelp: "check a YAML file without a node",
		Exec: func(_ context.Context, arguments []string) error {
			tree, err := readTreeFile(arguments)
			if err != nil {
				return err
			}
			if _, err := tree.Compile(0); err != nil {
				return err
			}
			fmt.Printf("%d branches, no fault\n", len(tree.Branches()))
			return nil
		},
	}
}

func schemaCommand(o *options) *ffcli.Command {
	return &ffcli.Command{
		Name: "schema", ShortUsage: "thornwalk config schema", ShortHelp: "list the keys with their ranges and defaults", FlagSet: o.flagSet("schema"),
		Exec: func(context.Context, []string) error {
			specs := settings.Schema()
			var rows [][]string
			for _, spec := range specs {
				rows = append(rows, []string{spec.Key, string(spec.Type), spec.Range(), spec.Default, spec.Help})
			}
			return o.print(specs, []string{"key", "type", "range", "default", "meaning"}, rows)
		},
	}
}

// readTreeFile parses the YAML file that the only argument names; - means standard input.
func readTreeFile(arguments []string) (*settings.Tree, error) {
	if len(arguments) != 1 {
		return nil, errors.New("name one YAML file, or - for standard input")
	}
	var content []byte
	var err error
	if arguments[0] == "-" {
		content, err = io.ReadAll(os.Stdin)
	} else {
		content, err = os.ReadFile(arguments[0])
	}
	if err != nil {
		return nil, err
	}
	return settings.ParseYAML(content)
}

// currentUser returns the user name that is recorded as the author of changes.
func currentUser() string {
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return "unknown"
}

// Polling for the activation of a change.
const (
	activationTimeout      = 10 * time.Second
	activationPollInterval = 100 * time.Millisecond
)

// awaitActivation polls until the generation is active in every reachable zone, for at most
// activationTimeout, and prints the state of each zone.
func (o *options) awaitActivation(ctx context.Context, generation uint64) error {
	start := time.Now()
	var zones []node.ZoneSpread
	for time.Since(start) < activationTimeout && ctx.Err() == nil {
		var err error
		if zones, err = o.client().Spread(ctx, generation); err != nil {
			return err
		}
		if isActiveEverywhere(zones) {
			break
		}
		time.Sleep(activationPollInterval)
	}
	sort.Slice(zones, func(i, j int) bool { return zones[i].Zone < zones[j].Zone })
	var rows [][]string
	for _, zone := range zones {
		rows = append(rows, []string{zone.Zone, strings.Join(zone.Active, " "), strings.Join(zone.Behind, " "), strings.Join(zone.Unreported, " "), fmt.Sprint(zone.Unreachable)})
	}
	fmt.Printf("after %s:\n", time.Since(start).Round(time.Millisecond))
	return o.print(zones, []string{"zone", "in force", "behind", "not heard of", "cut off"}, rows)
}

// isActiveEverywhere reports whether every reachable zone has nodes with the generation and
// none that are behind.
func isActiveEverywhere(zones []node.ZoneSpread) bool {
	for _, zone := range zones {
		if !zone.Unreachable && (len(zone.Behind) > 0 || len(zone.Active) == 0) {
			return false
		}
	}
	return true
}

// referenceCommand prints the text of docs/SETTINGS.md.
func referenceCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "reference", ShortUsage: "thornwalk config reference", ShortHelp: "write the settings reference as Markdown",
		Exec: func(context.Context, []string) error {
			_, err := os.Stdout.WriteString(settings.Reference())
			return err
		},
	}
}
