package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/thornwalk/thornwalk/entry"
	"github.com/thornwalk/thornwalk/internal/clock"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/platform"
	"github.com/thornwalk/thornwalk/transport/network"
)

// settingsVariable names the environment variable with the settings file's path.
const settingsVariable = "THORNWALK_CONFIG"

// silenceLimit is how long an opened connection may hear nothing at all.
const silenceLimit = 3 * time.Second

// settingsPoll is the time between looks at the settings file, which may change
// without a signal.
const settingsPoll = 2 * time.Second

// runEntry serves callers behind a balancer, with the directory in the
// platform's store.
func runEntry() error {
	// First of all, since a signal that nobody waits for ends the process.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	path := os.Getenv(settingsVariable)
	settings, err := entry.LoadSettings(path)
	if err != nil {
		return err
	}
	log := eventlog.New(settings.Name, os.Stdout)
	defer log.Close()
	steady, err := clock.New()
	if err != nil {
		log.Write(eventlog.Event{Kind: "clock", Outcome: "suspensions are not noticed", Detail: err.Error()})
	}
	outsideNetwork := network.TCP{SilenceLimit: silenceLimit}
	directory := platform.NewDirectory(network.Bounded{Network: outsideNetwork, Limit: silenceLimit}, settings.Store)
	node := entry.New(settings, entry.Dependencies{
		Network: outsideNetwork, Datagrams: outsideNetwork, Directory: directory, Revisions: directory, Rollouts: directory, PoisonRecords: directory,
		Headers: platform.Headers(), ParsePushback: platform.ParsePushback, ReadyPath: platform.ReadyPath, Now: steady.Now, Log: log, Incarnation: rand.Uint64(),
	})
	if err := node.Start(); err != nil {
		return err
	}
	poll := time.NewTicker(settingsPoll)
	defer poll.Stop()
	for {
		select {
		case received := <-signals:
			if received != syscall.SIGHUP {
				node.Stop()
				return nil
			}
			reloadEntry(node, path, log, true)
		case <-poll.C:
			steady.Look()
			reloadEntry(node, path, log, false)
		}
	}
}

// lastContent is the settings file as it was last read.
var lastContent string

// reloadEntry reads the settings file again; a bad one leaves the last in force.
func reloadEntry(node *entry.Node, path string, log *eventlog.Log, asked bool) {
	content, err := os.ReadFile(path)
	if err == nil && string(content) == lastContent && !asked {
		return
	}
	first := lastContent == ""
	lastContent = string(content)
	settings, err := entry.LoadSettings(path)
	if err != nil {
		log.Write(eventlog.Event{Kind: "process.reload", Outcome: "kept-out", Detail: fmt.Sprint(err)})
		return
	}
	if !first || asked {
		node.Reload(settings)
	}
}
