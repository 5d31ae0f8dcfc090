// Package entrydaemon runs an entry node as a process: it reads the settings file, handles signals and
// connects the node to the operating system.
package entrydaemon

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

// SettingsPathVariable is the environment variable that holds the settings file's path.
const SettingsPathVariable = "THORNWALK_CONFIG"

// silenceLimit is the time after which dialling the store fails, and after which a connection
// without any packet from the other end is broken.
const silenceLimit = 3 * time.Second

// settingsPollInterval is the time between reads of the settings file, which may change
// without a signal.
const settingsPollInterval = 2 * time.Second

// Run serves callers behind a load balancer, with the replica directory in the platform's
// store. It returns after a planned stop, which SIGINT and SIGTERM start; SIGHUP reloads the
// settings. If wrap is not nil, it returns the network by which the node reaches replicas and peers.
func Run(wrap func(network.Network) network.Network) error {
	// Before anything else: an unhandled signal ends the process.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	path := os.Getenv(SettingsPathVariable)
	settings, err := entry.LoadSettings(path)
	if err != nil {
		return err
	}
	log := eventlog.New(settings.Name, os.Stdout)
	defer log.Close()
	bootClock, err := clock.New()
	if err != nil {
		log.Write(eventlog.Event{Kind: "clock", Outcome: "suspensions are not noticed", Detail: err.Error()})
	}
	tcp := network.TCP{SilenceLimit: silenceLimit}
	var reached network.Network = tcp
	if wrap != nil {
		reached = wrap(tcp)
	}
	directory := platform.NewDirectory(network.Bounded{Network: tcp, Limit: silenceLimit}, settings.Store)
	node := entry.New(settings, entry.Dependencies{
		Network: reached, Datagrams: tcp, Directory: directory, Revisions: directory, Rollouts: directory, PoisonRecords: directory, StreamOrigins: directory,
		Headers: platform.Headers(), ParsePushback: platform.ParsePushback, ReportPath: platform.ReportPath, ParseReport: platform.ParseReport, ReadyPath: platform.ReadyPath, Now: bootClock.Now, Log: log, Incarnation: rand.Uint64(),
	})
	if err := node.Start(); err != nil {
		return err
	}
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	for {
		select {
		case received := <-signals:
			if received != syscall.SIGHUP {
				node.Stop()
				return nil
			}
			reloadEntrySettings(node, path, log, true)
		case <-poll.C:
			bootClock.CheckSuspension()
			reloadEntrySettings(node, path, log, false)
		}
	}
}

// lastSettingsContent is the content of the settings file when it was last read.
var lastSettingsContent string

// reloadEntrySettings applies the settings file if its content changed or if forced is true. Unless
// forced, the first call only remembers the content. A file that can't be read or is invalid is
// logged and leaves the active settings in place.
func reloadEntrySettings(node *entry.Node, path string, log *eventlog.Log, forced bool) {
	content, err := os.ReadFile(path)
	if err == nil && string(content) == lastSettingsContent && !forced {
		return
	}
	isFirstRead := lastSettingsContent == ""
	lastSettingsContent = string(content)
	settings, err := entry.LoadSettings(path)
	if err != nil {
		log.Write(eventlog.Event{Kind: "process.reload", Outcome: "kept-out", Detail: fmt.Sprint(err)})
		return
	}
	if !isFirstRead || forced {
		node.Reload(settings)
	}
}
