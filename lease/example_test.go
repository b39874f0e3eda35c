package lease_test

import (
	"context"
	"fmt"
	"time"

	"github.com/guavagauge/guavagauge/lease"
	"github.com/guavagauge/guavagauge/storetest"
)

func ExampleAcquire() {
	ctx := context.Background()
	client := storetest.New(storetest.Options{}).Client("node-a")
	held, err := lease.Acquire(ctx, client, lease.Options{Key: "lease/planner/mbeya-a", Holder: "node-a"})
	if err != nil {
		fmt.Println(err)
		return
	}
	err = held.Do(ctx, func(context.Context) error {
		fmt.Println("order sent with a fencing token:", held.Epoch() > 0)
		return nil
	})
	fmt.Println(err)
	held.Release(ctx)
	fmt.Println(held.Check())
	// Output:
	// order sent with a fencing token: true
	// <nil>
	// lease released
}

func ExampleRun() {
	ctx, cancel := context.WithCancel(context.Background())
	client := storetest.New(storetest.Options{}).Client("node-a")
	options := lease.Options{
		Key: "lease/planner/mbeya-a", Holder: "node-a",
		MaxOperationTime: time.Millisecond, WriteTimeout: time.Millisecond,
	}
	err := lease.Run(ctx, client, options, func(ctx context.Context, held *lease.Lease) error {
		fmt.Println("settled:", held.Check() == nil)
		cancel() // ends work and Run
		return ctx.Err()
	})
	fmt.Println(err)
	// Output:
	// settled: true
	// context canceled
}
