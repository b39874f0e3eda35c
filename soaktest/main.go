// Command soaktest runs entry nodes as separate processes on loopback addresses,
// between stand-ins of the platform, under random faults, and checks the promises
// of the system from what callers and upstreams see.
//
// # Usage
//
//	go run ./soaktest --seed 1 --runs 50 --duration 20s
//
// Each run prints its seed. A run that broke a promise keeps its folder with the
// logs of the processes, and the command ends with status 1.
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
	runs := flag.Int("runs", 1, "number of runs, with seeds counting up")
	duration := flag.Duration("duration", 20*time.Second, "time under faults of each run")
	nodes := flag.Int("nodes", 3, "number of processes")
	flag.Parse()
	broken, err := soak(*seed, *runs, *duration, *nodes)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soaktest:", err)
		os.Exit(1)
	}
	if broken > 0 {
		fmt.Printf("%d of %d runs broke a promise\n", broken, *runs)
		os.Exit(1)
	}
}

// soak builds the program once and plays the runs.
func soak(seed uint64, runs int, duration time.Duration, nodes int) (broken int, err error) {
	folder, err := os.MkdirTemp("", "guavagauge-soak-")
	if err != nil {
		return 0, err
	}
	binary := filepath.Join(folder, "guavagauge")
	if text, err := exec.Command("go", "build", "-o", binary, "github.com/guavagauge/guavagauge/cmd/guavagauge").CombinedOutput(); err != nil {
		return 0, fmt.Errorf("build: %w: %s", err, text)
	}
	for i := range runs {
		logs := filepath.Join(folder, fmt.Sprint(seed+uint64(i)))
		if err = os.Mkdir(logs, 0o755); err != nil {
			return broken, err
		}
		r, err := newRun(seed+uint64(i), binary, logs, nodes)
		if err != nil {
			return broken, err
		}
		faults := r.play(context.Background(), duration)
		fmt.Printf("seed %d: %s\n", seed+uint64(i), r.summary())
		for _, fault := range faults {
			fmt.Println("  broken:", fault)
		}
		if len(faults) == 0 {
			os.RemoveAll(logs)
			continue
		}
		broken++
		fmt.Println("  logs in", logs)
	}
	if broken == 0 {
		os.RemoveAll(folder)
	}
	return broken, nil
}
