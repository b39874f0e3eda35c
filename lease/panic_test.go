package lease_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/lease"
	"github.com/guavagauge/guavagauge/store"
	"github.com/guavagauge/guavagauge/storetest"
)

// panickingClient panics in each renewal and revocation while panics is set.
type panickingClient struct {
	store.Client
	panics bool
}

func (c *panickingClient) KeepAlive(ctx context.Context, id store.LeaseID) (granted time.Duration, err error) {
	if c.panics {
		panic("unexpected")
	}
	return c.Client.KeepAlive(ctx, id)
}

func (c *panickingClient) Revoke(ctx context.Context, id store.LeaseID) (err error) {
	if c.panics {
		panic("unexpected")
	}
	return c.Client.Revoke(ctx, id)
}

// Guards against an unexpected error of the store's client that ends the process,
// and against a holder that keeps a lease which isn't renewed any more.
func TestPanicOfStoreClientLosesLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &panickingClient{Client: storetest.New(storetest.Options{}).Client("n1"), panics: true}
		held, err := lease.Acquire(t.Context(), client, lease.Options{Key: key, Holder: "n1", TTL: ttl})
		if err != nil {
			t.Fatal(err)
		}
		<-time.After(ttl)
		if err = held.Check(); !errors.Is(err, lease.ErrLost) || held.Context().Err() == nil {
			t.Errorf("Check: %v, context: %v, want a lost lease", err, held.Context().Err())
		}
		if err = held.Release(t.Context()); err == nil {
			t.Error("Release reports success though the revocation panicked")
		}
	})
}
