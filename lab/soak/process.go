package soak

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/thornwalk/thornwalk/entry"
	"github.com/thornwalk/thornwalk/internal/entrydaemon"
	"github.com/thornwalk/thornwalk/lab/pathfault"
)

// restartDelay is the time from the exit of a process to its next start.
const restartDelay = 200 * time.Millisecond

// process is one daemon, which is restarted whenever it exits.
type process struct {
	// daemon is the path of the version that is started next, alternate that of the other version.
	daemon, alternate string
	settings          *entry.Settings
	// path is that of the settings file, and cutsPath that of the file with the cuts of its paths, which
	// only the daemon of thornwalk-lab reads.
	path, cutsPath string
	log            io.Writer

	mutex   sync.Mutex
	command *exec.Cmd
	// exitExpected is true after a signal that ends the process.
	exitExpected bool
	closed       bool
	// exited is closed once the running process is gone.
	exited chan struct{}
	// peakBytes is the highest resident memory of any process so far.
	peakBytes int64
	// failures describe unexpected exits and failed starts.
	failures    []string
	supervisors sync.WaitGroup
}

// newProcess writes the settings file into the folder and starts the daemon.
func newProcess(daemon, alternate, folder string, settings *entry.Settings, log io.Writer) (*process, error) {
	p := &process{daemon: daemon, alternate: alternate, settings: settings, path: filepath.Join(folder, settings.Name+".yaml"), cutsPath: filepath.Join(folder, settings.Name+".cuts"), log: log}
	if err := p.writeSettings(); err != nil {
		return nil, err
	}
	return p, p.start()
}

func (p *process) writeSettings() error {
	content, err := yaml.Marshal(p.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(p.path, content, 0o600)
}

// start starts the daemon and a goroutine that awaits its exit.
func (p *process) start() error {
	p.mutex.Lock()
	daemon := p.daemon
	p.mutex.Unlock()
	command := exec.Command(daemon, "entry")
	command.Env = append(os.Environ(), entrydaemon.SettingsPathVariable+"="+p.path, pathfault.FileVariable+"="+p.cutsPath)
	command.Stdout, command.Stderr = p.log, p.log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.mutex.Lock()
	p.command, p.exitExpected, p.exited = command, false, exited
	p.mutex.Unlock()
	p.supervisors.Go(func() { p.awaitExit(command, exited) })
	return nil
}

// awaitExit waits for the exit, records an unexpected one and starts the daemon again unless the
// process is closed.
func (p *process) awaitExit(command *exec.Cmd, exited chan struct{}) {
	err := command.Wait()
	close(exited)
	p.mutex.Lock()
	if !p.exitExpected {
		p.failures = append(p.failures, fmt.Sprintf("%s ended by itself: %v", p.settings.Name, err))
	}
	closed := p.closed
	p.settings.FirstStart = false
	p.mutex.Unlock()
	if closed {
		return
	}
	time.Sleep(restartDelay)
	p.mutex.Lock()
	closed = p.closed
	p.mutex.Unlock()
	if closed {
		return
	}
	if err := p.writeSettings(); err != nil {
		p.recordFailure(err)
		return
	}
	if err := p.start(); err != nil {
		p.recordFailure(err)
	}
}

func (p *process) recordFailure(err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.failures = append(p.failures, err.Error())
}

// signal sends a signal to the running process; exits says that the process exits on it.
func (p *process) signal(which syscall.Signal, exits bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.exitExpected = p.exitExpected || exits
	_ = p.command.Process.Signal(which)
}

// stopWithin sends SIGTERM to the running process, again after the time of a second signal unless that is 0, and kills it
// if it is still there at the end of the grace, as the platform does. It returns once the process is gone. It does
// nothing if the process is ending already.
func (p *process) stopWithin(grace, second time.Duration, begun func(at time.Time)) (isBegun, isKilled bool) {
	p.mutex.Lock()
	command, exited := p.command, p.exited
	if p.exitExpected || p.closed {
		p.mutex.Unlock()
		return false, false
	}
	p.exitExpected = true
	begun(time.Now())
	_ = command.Process.Signal(syscall.SIGTERM)
	p.mutex.Unlock()
	if second > 0 {
		again := time.AfterFunc(second, func() { _ = command.Process.Signal(syscall.SIGTERM) })
		defer again.Stop()
	}
	select {
	case <-exited:
	case <-time.After(grace):
		isKilled = true
		_ = command.Process.Kill()
		<-exited
	}
	return true, isKilled
}

// replace stops the running version, so that the other version starts in its place.
func (p *process) replace() {
	p.mutex.Lock()
	p.daemon, p.alternate = p.alternate, p.daemon
	p.mutex.Unlock()
	p.signal(syscall.SIGTERM, true)
}

// close kills the process without a restart and waits until it is gone.
func (p *process) close() {
	p.mutex.Lock()
	p.closed, p.exitExpected = true, true
	_ = p.command.Process.Signal(syscall.SIGCONT)
	_ = p.command.Process.Kill()
	p.mutex.Unlock()
	p.supervisors.Wait()
}
