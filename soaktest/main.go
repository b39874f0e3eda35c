// Command soaktest runs entry nodes as separate processes on loopback addresses,
// with stand-ins for the store, the platform and the upstreams. It injects random
// faults and checks the system's invariants by what callers and upstreams observe.
// The invariants say what must never happen. How many requests are answered is
// printed and not checked. A node must not exit by itself.
//
// With --restores, the store comes back from older copies, and what the operator and the
// upstreams wrote is written again.
//
// With --planned there are no faults, only planned work: SIGTERM to nodes one at a time,
// at once and in overlapping series, a second SIGTERM or SIGHUP during a stop, restarts
// during a start, new configurations and releases of upstreams. Nodes then run with
// GOMAXPROCS=1, as on a VM with one core. Callers write their requests to connections of
// their own, go on to use them while a node stops, and repeat nothing. Besides the other
// invariants, no request may be lost: once all of it was sent, its connection may end
// without a complete answer only within lossSlack and if no upstream received it. Such a
// request crossed the close and is only counted.
//
// # Usage
//
//	go run ./soaktest --seed 1 --runs 50 --duration 20s
//	go run ./soaktest --restores --seed 1 --runs 50 --duration 40s
//	go run ./soaktest --planned --nodes 8 --conns 40 --seed 1 --runs 5
//
// Each run prints its seed. The folder with the logs of the processes is kept for
// each run that violated an invariant, and the command then exits with status 1.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

func main() {
	seed := flag.Uint64("seed", uint64(time.Now().UnixNano()), "seed of the first run")
	runs := flag.Int("runs", 1, "number of runs, each with the next seed")
	var options runOptions
	flag.DurationVar(&options.duration, "duration", 20*time.Second, "time in which each run injects faults, or does planned work")
	flag.IntVar(&options.nodes, "nodes", 3, "number of entry nodes")
	flag.BoolVar(&options.planned, "planned", false, "planned work only (restarts, SIGHUP, new configurations, releases); also checks that no request is lost")
	flag.BoolVar(&options.restores, "restores", false, "the store comes back from older copies, beside the faults")
	flag.IntVar(&options.conns, "conns", 40, "with --planned: connections that callers keep open to each node")
	flag.Parse()
	failedRuns, err := runSeeds(*seed, *runs, options)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soaktest:", err)
		os.Exit(1)
	}
	if failedRuns > 0 {
		fmt.Printf("%d of %d runs violated an invariant\n", failedRuns, *runs)
		os.Exit(1)
	}
}

// runSeeds builds the program, executes a run for each seed and returns how many of
// them violated an invariant.
func runSeeds(seed uint64, runs int, options runOptions) (failedRuns int, err error) {
	folder, err := os.MkdirTemp("", "guavagauge-soak-")
	if err != nil {
		return 0, err
	}
	binary := filepath.Join(folder, "guavagauge")
	if text, err := exec.Command("go", "build", "-o", binary, "github.com/guavagauge/guavagauge/cmd/guavagauge").CombinedOutput(); err != nil {
		return 0, fmt.Errorf("build guavagauge: %w: %s", err, text)
	}
	for i := range runs {
		logFolder := filepath.Join(folder, fmt.Sprint(seed+uint64(i)))
		if err = os.Mkdir(logFolder, 0o755); err != nil {
			return failedRuns, err
		}
		r, err := newRun(seed+uint64(i), binary, logFolder, options)
		if err != nil {
			return failedRuns, err
		}
		violations := r.execute(context.Background())
		fmt.Printf("seed %d: %s\n", seed+uint64(i), r.summary())
		for _, violation := range violations {
			fmt.Println("  violation:", violation)
		}
		if len(violations) == 0 {
			os.RemoveAll(logFolder)
			continue
		}
		failedRuns++
		fmt.Println("  logs in", logFolder)
	}
	if failedRuns == 0 {
		os.RemoveAll(folder)
	}
	return failedRuns, nil
}
