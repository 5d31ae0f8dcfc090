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

// defaultLoopbackOctet is the third octet of the first worker's loopback addresses; each further
// worker uses the next one.
const defaultLoopbackOctet = 40

// soakCommand injects faults into daemon processes and checks the guarantees to callers, for a
// range of seeds.
func soakCommand() *ffcli.Command {
	flags := flag.NewFlagSet("soak", flag.ExitOnError)
	daemon := flags.String("daemon", "", "path of thornwalkd, or of thornwalk-lab with -cuts, -silence, -spoiled or -replaced; it is built if this is empty")
	first := flags.Uint64("seed", 1, "first seed")
	seeds := flags.Int("seeds", 1, "number of seeds")
	workers := flags.Int("workers", 1, "seeds that are played at the same time")
	traffic := flags.Duration("traffic", 12*time.Second, "time during which requests are sent")
	rate := flags.Float64("rate", 60, "requests a second")
	previous := flags.String("previous", "", "path of another version's thornwalkd, which all nodes run at first and are replaced with forth and back")
	bounds := flags.Bool("bounds", false, "strike what keeps repeats and quotas in bounds, and the store, in place of the usual mix")
	pushback := flags.Bool("pushback", false, "have replicas name rates, leave and ask for pauses in their answers, beside the other faults")
	tenants := flags.Bool("tenants", false, "have a second tenant send more than the engines can answer, and judge the shares of the tenants")
	restore := flags.Bool("restore", false, "restore a store of many entries under steady writes, and judge that replicas which it lists again are used")
	cuts := flags.Bool("cuts", false, "cut the paths of nodes to all replicas, and judge that their callers are served like others")
	versions := flags.Bool("versions", false, "break off streams of a service with two software versions, and judge that they go on at the one that began them")
	moved := flags.Bool("moved", false, "move a route of streams between two services, and judge that streams which callers resume keep to one")
	silence := flags.Bool("silence", false, "stop and continue the processes of replicas beside changes, restarts and cuts, and judge that no answer ends unfinished for it")
	spoiled := flags.Bool("spoiled", false, "have replicas send bytes that are no answer, in all forms, beside restarts and cuts, and judge memory and that no other answer is lost for it")
	replaced := flags.Bool("replaced", false, "end replicas and start them again in place, often with another version, beside outages of the store and the other faults, and judge their streams")
	stops := flags.Bool("stops", false, "stop nodes in series and overlapping under callers that keep their connections until the process is gone, and judge each request")
	octet := flags.Int("octet", defaultLoopbackOctet, "third number of the first worker's loopback addresses; further workers use the next ones, and soaks at the same time need others")
	logs := flags.String("log", "", "folder for the daemons' lines; empty drops them")
	return &ffcli.Command{
		Name: "soak", ShortUsage: "thornwalk-lab soak [flags]", FlagSet: flags,
		ShortHelp: "run daemons as processes, inject faults by signals and proxies, and judge the promises",
		Exec: func(ctx context.Context, _ []string) error {
			command := "thornwalkd"
			if *cuts || *silence || *spoiled || *replaced {
				command = "thornwalk-lab"
			}
			path, cleanup, err := buildDaemon(*daemon, command)
			if err != nil {
				return err
			}
			defer cleanup()
			options := soak.Options{Daemon: path, Traffic: *traffic, Rate: *rate, LogFolder: *logs, Previous: *previous, Bounds: *bounds, Pushback: *pushback, Tenants: *tenants, Restore: *restore, Cuts: *cuts, Versions: *versions, Moved: *moved, Silence: *silence, Spoiled: *spoiled, Replaced: *replaced, Stops: *stops}
			if options.ReplicaProgram, err = os.Executable(); err != nil {
				return err
			}
			return runSoak(ctx, options, *first, *seeds, *workers, *octet)
		},
	}
}

// buildDaemon returns builtPath, or builds the command into a temporary folder if that is empty.
// The caller must call cleanup, which removes the folder, unless it is nil.
func buildDaemon(builtPath, command string) (path string, cleanup func(), err error) {
	if builtPath != "" {
		return builtPath, func() {}, nil
	}
	folder, err := os.MkdirTemp("", "thornwalkd")
	if err != nil {
		return "", nil, err
	}
	cleanup = func() { _ = os.RemoveAll(folder) }
	path = filepath.Join(folder, command)
	build := exec.Command("go", "build", "-o", path, "github.com/thornwalk/thornwalk/cmd/"+command)
	build.Stderr = os.Stderr
	return path, cleanup, build.Run()
}

// runSoak runs the seeds, as many at a time as there are workers. It returns an error if a seed
// failed to run or a guarantee was violated.
func runSoak(ctx context.Context, options soak.Options, first uint64, seeds, workers, octet int) error {
	seedQueue := make(chan uint64)
	var group sync.WaitGroup
	var mutex sync.Mutex
	violated, failed := 0, 0
	for worker := range workers {
		group.Go(func() {
			workerOptions := options
			workerOptions.Block = fmt.Sprintf("127.0.%d", octet+worker)
			for seed := range seedQueue {
				workerOptions.Seed = seed
				result, err := soak.Run(ctx, workerOptions)
				mutex.Lock()
				switch {
				case err != nil:
					failed++
					fmt.Printf("seed %d: not played: %v\n", seed, err)
				default:
					if len(result.Violations) > 0 {
						violated++
					}
					printSoakResult(result)
				}
				mutex.Unlock()
			}
		})
	}
	for number := range seeds {
		seedQueue <- first + uint64(number)
	}
	close(seedQueue)
	group.Wait()
	fmt.Printf("%d seeds, %d with a broken promise, %d not played\n", seeds, violated, failed)
	if violated+failed > 0 {
		return fmt.Errorf("a promise was broken or a seed not played: run the seed again with -log and read its lines with thornwalk explain -logs")
	}
	return nil
}

func printSoakResult(result *soak.Result) {
	fmt.Printf("seed %d: %v; at worst %v; %s\n", result.Seed, result.Counts, result.Worst, result.Policies)
	if len(result.Violations) == 0 {
		return
	}
	for _, fault := range result.Faults {
		fmt.Println("   fault", fault)
	}
	for _, violation := range result.Violations {
		fmt.Println("  ", violation)
	}
}
