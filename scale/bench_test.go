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
	benchWhile   = 20 * time.Second
	benchChanges = 4
)

// BenchmarkScale measures processor time, heap and goroutines of a node in real
// time. The work of the stand-ins and of the in-memory network counts as well.
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
				measure(b, c.nodes, c.config)
			}
		})
	}
}

func measure(b *testing.B, nodes int, config scale.Sizes) {
	before := heap()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f, err := scale.Start(ctx, scale.Options{Nodes: nodes, Config: config.Config()})
	if err != nil {
		b.Fatal(err)
	}
	if _, err = f.AwaitReady(joinLimit); err != nil {
		b.Fatal(err)
	}
	time.Sleep(benchWhile) // connections are made
	of := float64(nodes)
	start := processor()
	quiet := f.Observe(benchWhile, nil)
	b.ReportMetric(100*(processor()-start).Seconds()/benchWhile.Seconds()/of, "%core/node")
	b.ReportMetric(perNode(f, quiet), "control-B/s/node")
	start = processor()
	slowest := time.Duration(0)
	for range benchChanges {
		slowest = max(slowest, change(b, f))
		time.Sleep(time.Second)
	}
	perChange := (processor() - start).Seconds() / benchChanges / of
	b.ReportMetric(1000*perChange, "ms/change+s/node")
	b.ReportMetric(slowest.Seconds(), "s-in-force")
	used := float64(heap()-before) / of
	b.ReportMetric(used/1e6, "heapMB/node")
	b.ReportMetric(float64(runtime.NumGoroutine())/of, "goroutines/node")
	fmt.Printf("# %d nodes, %d workspaces: a change a day 11,000 times takes %.2f%% of a core\n",
		nodes, config.Workspaces, 100*perChange*changesPerDay/86400)
	runtime.KeepAlive(f)
}

// BenchmarkScaleLoad measures the processor time of requests, from which that of
// a token follows. Callers and engine stand-ins count as well.
func BenchmarkScaleLoad(b *testing.B) {
	for _, tokens := range []int{4, 64, 472} { // 472 is the target's mean
		b.Run(fmt.Sprint(tokens), func(b *testing.B) {
			for b.Loop() {
				load(b, tokens)
			}
		})
	}
}

func load(b *testing.B, tokens int) {
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
	start := processor()
	f.Observe(benchWhile, nil)
	idle := processor() - start
	answered, failed := f.Load(ctx, scale.LoadPerNode, tokens)
	time.Sleep(benchWhile) // as many requests begin as end
	before := answered.Load()
	start = processor()
	cost := f.Observe(benchWhile, nil)
	used := processor() - start - idle
	n := float64(answered.Load() - before)
	b.ReportMetric(n/benchWhile.Seconds(), "requests/s")
	b.ReportMetric(float64(failed.Load()), "failed")
	b.ReportMetric(1000*used.Seconds()/n, "ms/request")
	b.ReportMetric(float64(cost.Peers["Steward"].Messages)/n, "steward-messages/request")
	b.ReportMetric(float64(cost.Peers["Steward"].Bytes)/n, "steward-B/request")
	b.ReportMetric(float64(cost.Peers["Usage"].Bytes)/n, "usage-B/request")
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// processor returns the processor time that this process has used.
func processor() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
