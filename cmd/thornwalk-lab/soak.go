package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/thornwalk/thornwalk/lab/soak"
)

// firstBlock is the third number of the loopback addresses of the first worker.
const firstBlock = 40

func soakCommand() *ffcli.Command {
	flags := flag.NewFlagSet("soak", flag.ExitOnError)
	daemon := flags.String("daemon", "", "path of thornwalkd; it is built if this is empty")
	first := flags.Uint64("seed", 1, "first seed")
	seeds := flags.Int("seeds", 1, "number of seeds")
	workers := flags.Int("workers", 1, "seeds that are played at the same time")
	traffic := flags.Duration("traffic", 12*time.Second, "time during which requests are sent")
	rate := flags.Float64("rate", 60, "requests a second")
	previous := flags.String("previous", "", "path of another version's thornwalkd, which all nodes run at first and are replaced with forth and back")
	bounds := flags.Bool("bounds", false, "strike what keeps repeats and quotas in bounds, and the store, in place of the usual mix")
	pushback := flags.Bool("pushback", false, "have replicas name rates, leave and ask for pauses in their answers, beside the other faults")
	logs := flags.String("log", "", "folder for the daemons' lines; empty drops them")
	return &ffcli.Command{
		Name: "soak", ShortUsage: "thornwalk-lab soak [flags]", FlagSet: flags,
		ShortHelp: "run daemons as processes, inject faults by signals and proxies, and judge the promises",
		Exec: func(ctx context.Context, _ []string) error {
			path, clean, err := builtDaemon(*daemon)
			if err != nil {
				return err
			}
			defer clean()
			options := soak.Options{Daemon: path, Traffic: *traffic, Rate: *rate, LogFolder: *logs, Previous: *previous, Bounds: *bounds, Pushback: *pushback}
			return runSoak(ctx, options, *first, *seeds, *workers)
		},
	}
}

// builtDaemon returns the path of the daemon and what removes it.
func builtDaemon(given string) (path string, clean func(), err error) {
	if given != "" {
		return given, func() {}, nil
	}
	folder, err := os.MkdirTemp("", "thornwalkd")
	if err != nil {
		return "", nil, err
	}
	clean = func() { _ = os.RemoveAll(folder) }
	path = filepath.Join(folder, "thornwalkd")
	build := exec.Command("go", "build", "-o", path, "github.com/thornwalk/thornwalk/cmd/thornwalkd")
	build.Stderr = os.Stderr
	return path, clean, build.Run()
}

// runSoak plays the seeds, several at a time, and fails if any broke a promise.
func runSoak(ctx context.Context, options soak.Options, first uint64, seeds, workers int) error {
	work := make(chan uint64)
	var group sync.WaitGroup
	var mutex sync.Mutex
	broken, failed := 0, 0
	for worker := range workers {
		group.Go(func() {
			mine := options
			mine.Block = fmt.Sprintf("127.0.%d", firstBlock+worker)
			for seed := range work {
				mine.Seed = seed
				result, err := soak.Run(ctx, mine)
				mutex.Lock()
				switch {
				case err != nil:
					failed++
					fmt.Printf("seed %d: not played: %v\n", seed, err)
				default:
					if len(result.Violations) > 0 {
						broken++
					}
					printSoak(result)
				}
				mutex.Unlock()
			}
		})
	}
	for number := range seeds {
		work <- first + uint64(number)
	}
	close(work)
	group.Wait()
	fmt.Printf("%d seeds, %d with a broken promise, %d not played\n", seeds, broken, failed)
	if broken+failed > 0 {
		return fmt.Errorf("a promise was broken or a seed not played: play the seed again with -log and read its lines with thornwalk explain -logs")
	}
	return nil
}

func printSoak(result *soak.Result) {
	fmt.Printf("seed %d: %v; at worst %v\n", result.Seed, result.Counts, result.Worst)
	if len(result.Violations) == 0 {
		return
	}
	for _, planned := range result.Faults {
		fmt.Println("   fault", planned)
	}
	for _, broken := range result.Violations {
		fmt.Println("  ", broken)
	}
}
