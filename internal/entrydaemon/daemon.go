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
	"github.com/thornwalk/thornwalk/protocol/errkind"
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
	file, settings, err := openSettings(os.Getenv(SettingsPathVariable))
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
			file.reload(true, log, node.Reload)
		case <-poll.C:
			bootClock.CheckSuspension()
			file.reload(false, log, node.Reload)
		}
	}
}

// settingsFile is the settings file of a running process.
type settingsFile struct {
	path string
	// content is what was last read, valid or not; empty if the file could not be read.
	content string
}

// openSettings reads the settings file. Its errors are those of entry.LoadSettings.
func openSettings(path string) (*settingsFile, *entry.Settings, error) {
	file := &settingsFile{path: path}
	settings, _, err := file.read()
	return file, settings, err
}

// read reads the file and reports whether its content changed since the last read.
func (f *settingsFile) read() (settings *entry.Settings, isChanged bool, err error) {
	content, err := os.ReadFile(f.path)
	isChanged = string(content) != f.content
	f.content = string(content)
	if err != nil {
		return nil, isChanged, errkind.New(errkind.InvalidSettings, "settings file: %v", err)
	}
	settings, err = entry.ParseSettings(content)
	return settings, isChanged, err
}

// reload applies the file if its content changed or if forced is true. A file that can't be read or is invalid is logged
// and leaves the active settings in place.
func (f *settingsFile) reload(forced bool, log *eventlog.Log, apply func(*entry.Settings)) {
	settings, isChanged, err := f.read()
	switch {
	case !isChanged && !forced:
	case err != nil:
		log.Write(eventlog.Event{Kind: "process.reload", Outcome: "kept-out", Detail: fmt.Sprint(err)})
	default:
		apply(settings)
	}
}
