package scale_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/guavagauge/guavagauge/claim"
	"github.com/guavagauge/guavagauge/storetest"
)

const (
	claimDuration = 30 * time.Second
	storeDelay    = 5 * time.Millisecond
)

// TestScaleClaims prints the number of store calls that claims cause when all
// entry nodes write claims, which is how nodes work. It checks nothing, because
// the design states no rate of claims.
func TestScaleClaims(t *testing.T) {
	if !*full {
		t.Skip("prints a table; run with -full")
	}
	fmt.Println("| claiming nodes | claims/s | granted | not granted | store reads/s | writes/s |\n|---|---|---|---|---|---|")
	for _, nodes := range []int{1, 9, 48, 390} {
		for _, rate := range []int{10, 36, 100, 360} {
			synctest.Test(t, func(*testing.T) { measureClaims(nodes, rate) })
		}
	}
}

// measureClaims prints the table's row for claims at a rate per second that is
// spread over nodes.
func measureClaims(nodes, rate int) {
	ctx, cancel := context.WithCancel(context.Background())
	server := storetest.New(storetest.Options{})
	server.SetDelay(storeDelay)
	var all []*claim.Claims
	for i := range nodes {
		all = append(all, claim.New(ctx, server.Client(fmt.Sprint("entry-", i)), claim.Options{MaxRecordBytes: 4 << 10}))
	}
	var granted, refused atomic.Int64
	random := rand.New(rand.NewPCG(1, 1))
	for i := range rate * int(claimDuration/time.Second) {
		claimer := all[random.IntN(nodes)]
		go func() {
			result, err := claimer.Claim(ctx, claim.Request{Key: fmt.Sprint("key-", i)})
			if g, ok := result.(claim.Granted); ok && err == nil {
				granted.Add(1)
				g.Claim.Finish(ctx, []byte("an answer"))
			} else {
				refused.Add(1)
			}
		}()
		time.Sleep(time.Second / time.Duration(rate))
	}
	time.Sleep(10 * time.Second)
	reads, writes := server.Calls(storetest.Get)+server.Calls(storetest.List), server.Calls(storetest.Put)
	fmt.Printf("| %d | %d | %d | %d | %.1f | %.1f |\n", nodes, rate, granted.Load(), refused.Load(),
		float64(reads)/claimDuration.Seconds(), float64(writes)/claimDuration.Seconds())
	cancel()
	time.Sleep(time.Minute)
}
