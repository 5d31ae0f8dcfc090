// Command thornwalk is the operators' command line. It calls the operators' interface of a
// node; only validate, schema, reference and explain -logs work without one.
package main

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/thornwalk/thornwalk/internal/command"
	"github.com/thornwalk/thornwalk/operator"
)

// options are the flags that all subcommands share.
type options struct {
	address string
	token   string
	output  string
}

func (o *options) client() *operator.Client { return operator.New(o.address, o.token) }

// addOutputFlag adds the flag -o, which is accepted before and after a subcommand.
func (o *options) addOutputFlag(set *flag.FlagSet) {
	set.StringVar(&o.output, "o", "table", "output: table, json or yaml")
}

// flagSet returns the flags of a subcommand, with only -o defined.
func (o *options) flagSet(name string) *flag.FlagSet {
	set := flag.NewFlagSet(name, flag.ExitOnError)
	o.addOutputFlag(set)
	return set
}

func main() {
	o := &options{}
	set := flag.NewFlagSet("thornwalk", flag.ExitOnError)
	set.StringVar(&o.address, "operator", "127.0.0.1:8081", "operators' address of any node (THORNWALK_OPERATOR)")
	set.StringVar(&o.token, "token", "", "operators' bearer token (THORNWALK_TOKEN)")
	o.addOutputFlag(set)
	root := &ffcli.Command{
		ShortUsage: "thornwalk [flags] <subcommand>", ShortHelp: "operate thornwalk", FlagSet: set,
		Options: []ff.Option{ff.WithEnvVarPrefix("THORNWALK")},
		Subcommands: []*ffcli.Command{
			configCommand(o), statusCommand(o), peersCommand(o), backendsCommand(o), explainCommand(o), tenantsCommand(o), drainCommand(o), placeCommand(o), rolloutCommand(o), barredCommand(o), evacuationsCommand(o), storeCommand(o),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
	command.Run(root)
}
