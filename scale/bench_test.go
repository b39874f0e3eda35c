package scale_test

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/scale"
)

const (
	benchDuration = 20 * time.Second
	benchChanges  = 4
)

// BenchmarkScale measures processor time, memory and goroutines per node in real
// time. The stand-ins and the in-memory network are included.
func BenchmarkScale(b *testing.B) {
	for _, c := range []struct {
		name   string
		nodes  int
		config scale.Sizes
	}{
		{"9-small", 9, scale.Small},
		{"48-small", 48, scale.Small},
		{"192-small", 192, scale.Small},
		{"390-small", 390, scale.Small},
		{"3-target", 3, scale.Target},
		{"9-target", 9, scale.Target},
	} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				measureFleet(b, c.nodes, c.config)
			}
		})
	}
}

func measureFleet(b *testing.B, nodes int, config scale.Sizes) {
	before := memoryInUse()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f, err := scale.Start(ctx, scale.Options{Nodes: nodes, Config: config.Config()})
	if err != nil {
		b.Fatal(err)
	}
	if _, err = f.AwaitReady(joinLimit); err != nil {
		b.Fatal(err)
	}
	time.Sleep(benchDuration) // until the nodes have connected to each other
	nodeCount := float64(nodes)
	start := cpuTime()
	idle := f.Observe(benchDuration, nil)
	b.ReportMetric(100*(cpuTime()-start).Seconds()/benchDuration.Seconds()/nodeCount, "%core/node")
	b.ReportMetric(controlBytesPerNode(f, idle), "control-B/s/node")
	start = cpuTime()
	slowest := time.Duration(0)
	for range benchChanges {
		slowest = max(slowest, applyChange(b, f))
		time.Sleep(time.Second)
	}
	perChange := (cpuTime() - start).Seconds() / benchChanges / nodeCount
	b.ReportMetric(1000*perChange, "ms/change+s/node")
	b.ReportMetric(slowest.Seconds(), "s-in-force")
	bytesPerNode := float64(memoryInUse()-before) / nodeCount
	b.ReportMetric(bytesPerNode/1e6, "heapMB/node")
	b.ReportMetric(float64(runtime.NumGoroutine())/nodeCount, "goroutines/node")
	fmt.Printf("# %d nodes, %d workspaces: 11,000 changes a day take %.2f%% of a core per node\n",
		nodes, config.Workspaces, 100*perChange*changesPerDay/86400)
	runtime.KeepAlive(f)
}

// BenchmarkScaleLoad measures the processor time per request for several answer
// lengths, from which the time per token follows. Callers and engine stand-ins
// are included.
func BenchmarkScaleLoad(b *testing.B) {
	for _, tokens := range []int{4, 64, 472} { // 472 is the mean of the target in docs/design.md
		b.Run(fmt.Sprint(tokens), func(b *testing.B) {
			for b.Loop() {
				measureLoad(b, tokens)
			}
		})
	}
}

func measureLoad(b *testing.B, tokens int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f, err := scale.Start(ctx, scale.Options{Nodes: 9, Config: scale.Small.Config()})
	if err != nil {
		b.Fatal(err)
	}
	if err = f.ServeEngines(); err != nil {
		b.Fatal(err)
	}
	if _, err = f.AwaitReady(joinLimit); err != nil {
		b.Fatal(err)
	}
	start := cpuTime()
	f.Observe(benchDuration, nil)
	idleTime := cpuTime() - start
	answered, failed := f.Load(ctx, scale.LoadPerNode, tokens)
	time.Sleep(benchDuration) // until as many requests end as begin
	before := answered.Load()
	start = cpuTime()
	cost := f.Observe(benchDuration, nil)
	used := cpuTime() - start - idleTime
	n := float64(answered.Load() - before)
	b.ReportMetric(n/benchDuration.Seconds(), "requests/s")
	b.ReportMetric(float64(failed.Load()), "failed")
	b.ReportMetric(1000*used.Seconds()/n, "ms/request")
	b.ReportMetric(float64(cost.Peers["Steward"].Messages)/n, "steward-messages/request")
	b.ReportMetric(float64(cost.Peers["Steward"].Bytes)/n, "steward-B/request")
	b.ReportMetric(float64(cost.Peers["Usage"].Bytes)/n, "usage-B/request")
}

// memoryInUse returns the size of the live heap and the stacks.
func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// cpuTime returns the processor time that this process has used so far.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
